// Package platform starts the stand-ins of a whole platform in one process:
// the key-value store, the machine list and the back-end replicas of one or
// more deployments, on free loopback ports. It also plays the part of the
// indexing pipeline, which publishes and retires snapshots.
package platform

import (
	"io/fs"
	"time"

	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/topology"
)

// Config says what is started.
type Config struct {
	// Corpus holds the files to index.
	Corpus fs.FS
	// Deployments are the users' systems; see Ayensu and Tsehay.
	Deployments []Deployment
	// Timing is the service time of the replicas of deployments that set none.
	Timing backend.Timing
	// Seed seeds the service times.
	Seed uint64
	// StartsReplica reports whether the replica of a number in its group runs in
	// this process; nil means all. The others are listed by ListReplicas.
	StartsReplica func(number int) bool
}

// Deployment is one user's back ends.
type Deployment struct {
	Name string
	// Corpus names the corpus whose indexes are searched.
	Corpus string
	// Places are the zones, those of one region next to each other.
	Places []topology.Place
	// GroupsPerIndex is the number of replica groups of each index.
	GroupsPerIndex int
	// ShardsPerIndex is the number of shards of the first snapshot.
	ShardsPerIndex int
	// Search describes each replica group of each index.
	Search Group
	// Services are the groups for calls that may not be repeated.
	Services []Group
	// Timing is the service time of the replicas; nil means Config.Timing.
	Timing *backend.Timing
	// Hollow deployments have one index, called as the corpus, and replicas
	// that answer without one (see backend.Options).
	Hollow bool
}

// Group describes the replicas of one group.
type Group struct {
	// Name is the service's name; search groups get theirs from the index.
	Name            string
	Replicas        int
	Slots           int
	QueueLimit      int
	ConnectionLimit int
}

// The names of the deployments.
const (
	AyensuName = "ayensu"
	TsehayName = "tsehay"
	HollowName = "hollow"
)

// The names of the services for calls that may not be repeated.
const (
	RefundService = "refund"
	RenderService = "render"
)

// DefaultTiming is fast enough for a demonstration on one machine.
var DefaultTiming = backend.Timing{Base: time.Millisecond, MeanExtra: time.Millisecond}

// Ayensu is the fare company: card histories in the indexes of three absorbed
// companies.
func Ayensu() Deployment {
	return Deployment{
		Name:           AyensuName,
		Corpus:         corpus.Cards,
		Places:         places("accra", "kumasi", "takoradi"),
		GroupsPerIndex: 2,
		ShardsPerIndex: 4,
		Search:         Group{Replicas: 4, Slots: 5, QueueLimit: 10, ConnectionLimit: 75},
		Services:       []Group{{Name: RefundService, Replicas: 4, Slots: 5, QueueLimit: 10, ConnectionLimit: 75}},
	}
}

// Tsehay is the subtitle house: one archive of cues.
func Tsehay() Deployment {
	return Deployment{
		Name:           TsehayName,
		Corpus:         corpus.Cues,
		Places:         places("addis", "bahir-dar", "hawassa"),
		GroupsPerIndex: 4,
		ShardsPerIndex: 4,
		Search:         Group{Replicas: 4, Slots: 5, QueueLimit: 10, ConnectionLimit: 65},
		Services:       []Group{{Name: RenderService, Replicas: 4, Slots: 4, QueueLimit: 10, ConnectionLimit: 100}},
	}
}

// HollowDeployment is many shards without content and without service time,
// each with a group of its own, for measuring daemons.
func HollowDeployment(shards, replicas int) Deployment {
	return Deployment{
		Name:           HollowName,
		Corpus:         HollowName,
		Places:         places("accra"),
		GroupsPerIndex: shards,
		ShardsPerIndex: shards,
		Search:         Group{Replicas: replicas, Slots: 1000, QueueLimit: 1000},
		Timing:         &backend.Timing{},
		Hollow:         true,
	}
}

// DefaultConfig is both deployments over a corpus.
func DefaultConfig(files fs.FS) Config {
	return Config{
		Corpus:      files,
		Deployments: []Deployment{Ayensu(), Tsehay()},
		Timing:      DefaultTiming,
		Seed:        1,
	}
}

// zoneLetters are the zones of each region.
var zoneLetters = []string{"a", "b"}

func places(regions ...string) []topology.Place {
	var all []topology.Place
	for _, region := range regions {
		for _, letter := range zoneLetters {
			all = append(all, topology.Place{Region: region, Zone: region + "-" + letter})
		}
	}
	return all
}

// placeOf spreads the replicas of a group over regions first, then zones.
func (d *Deployment) placeOf(group, replica int) topology.Place {
	zones := len(zoneLetters)
	regions := max(1, len(d.Places)/zones)
	position := replica*zones + replica/regions + group
	return d.Places[position%len(d.Places)]
}
