package experiment

import (
	"fmt"
	"time"

	standin "github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/topology"
)

// Deployment is the back ends that the daemons share, and the daemons.
type Deployment struct {
	Name   string
	Places []topology.Place
	// Groups is the number of replica groups; each holds one shard, and a
	// query asks all of them.
	Groups           int
	ReplicasPerGroup int
	Slots            int
	QueueLimit       int
	DaemonsPerZone   int
	// ServiceMean and ServiceSigma describe the lognormal service time:
	// its mean, and the standard deviation of its logarithm.
	ServiceMean  time.Duration
	ServiceSigma float64
	// The first ColdRequests of a process take ColdFactor times as long.
	ColdRequests int
	ColdFactor   float64
}

// The service times are assumptions: the users state slots and replicas, not
// how long a search takes.
const (
	serviceMean  = 20 * time.Millisecond
	serviceSigma = 0.5
	coldRequests = 50
	coldFactor   = 5
)

// deployments are the ones that a file can name. The users' sizes are in
// their brief: four and six services of 4 replicas of 5 slots each.
func deployments() []Deployment {
	return []Deployment{
		searchDeployment("ayensu", "accra", "kumasi", "takoradi"),
		searchDeployment("tsehay", "addis", "bahirdar", "hawassa"),
		wideDeployment(),
		smallDeployment(),
	}
}

// smallDeployment fits into one process with real connections: one region of
// two zones, four daemons, and replicas of Ayensu's size.
func smallDeployment() Deployment {
	small := searchDeployment("small", "accra")
	small.Groups = 4
	return small
}

func searchDeployment(name string, regions ...string) Deployment {
	return Deployment{
		Name: name, Places: zonesOf(regions),
		Groups: 10, ReplicasPerGroup: 4, Slots: 5, QueueLimit: 10, DaemonsPerZone: 2,
		ServiceMean: serviceMean, ServiceSigma: serviceSigma,
		ColdRequests: coldRequests, ColdFactor: coldFactor,
	}
}

// wideDeployment has as many shards as the largest system aimed at, with
// hollow replicas.
func wideDeployment() Deployment {
	return Deployment{
		Name: "wide", Places: zonesOf([]string{"north", "middle", "south"}),
		Groups: 390, ReplicasPerGroup: 4, Slots: 2, QueueLimit: 6, DaemonsPerZone: 2,
		ServiceMean: serviceMean, ServiceSigma: serviceSigma,
		ColdRequests: coldRequests, ColdFactor: coldFactor,
	}
}

func deploymentByName(name string) *Deployment {
	for _, known := range deployments() {
		if known.Name == name {
			return &known
		}
	}
	return nil
}

const zonesPerRegion = 2

func zonesOf(regions []string) []topology.Place {
	var places []topology.Place
	for _, region := range regions {
		for zone := range zonesPerRegion {
			places = append(places, topology.Place{Region: region, Zone: fmt.Sprintf("%s-%c", region, 'a'+zone)})
		}
	}
	return places
}

// Capacity returns the queries a second that fill all slots.
func (d *Deployment) Capacity() float64 {
	return float64(d.ReplicasPerGroup*d.Slots) / d.ServiceMean.Seconds()
}

// placeOf spreads the replicas of a group over regions first, then zones.
func (d *Deployment) placeOf(group, replica int) topology.Place {
	regions := len(d.Places) / zonesPerRegion
	region := (group + replica) % regions
	zone := (group/regions + replica/regions) % zonesPerRegion
	return d.Places[region*zonesPerRegion+zone]
}

// serviceTime turns a standard normal variate into a service time.
func (d *Deployment) serviceTime(normal float64) time.Duration {
	return standin.Lognormal(d.ServiceMean, d.ServiceSigma, normal)
}
