package system

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/topology"
)

// The named topologies: the users' sites of today.
const (
	Ayensu = "ayensu"
	Tsehay = "tsehay"
)

// service is a kind of back end of a site.
type service struct {
	name        string
	groups      int
	replicas    int
	slots       int
	connections int
	// shards is true for groups that hold shards; the others run calls.
	shards bool
}

// layout is the fixed shape of a site.
type layout struct {
	regions  []string
	zones    int
	indexes  []string
	services []service
}

// newLayout returns a named topology with the brief's sizes of today.
func newLayout(name string) (layout, error) {
	switch name {
	case Ayensu:
		return layout{
			regions: []string{"accra", "kumasi", "takoradi"}, zones: 2,
			indexes: []string{"buses", "trotros", "ferries"},
			services: []service{
				{name: "console", groups: 4, replicas: 4, slots: 5, connections: 75, shards: true},
				{name: "refund", groups: 6, replicas: 4, slots: 5, connections: 75},
				{name: "settlement", groups: 1, replicas: 25, slots: 3, connections: 110, shards: true},
				{name: "route", groups: 1, replicas: 15, slots: 3, connections: 110, shards: true},
			},
		}, nil
	case Tsehay:
		return layout{
			regions: []string{"addis", "bahirdar", "hawassa"}, zones: 2,
			indexes: []string{"amharic", "oromo"},
			services: []service{
				{name: "editor", groups: 4, replicas: 4, slots: 5, connections: 65, shards: true},
				{name: "glossary", groups: 6, replicas: 4, slots: 5, connections: 65, shards: true},
				{name: "render", groups: 1, replicas: 20, slots: 4, connections: 100},
				{name: "billing", groups: 1, replicas: 10, slots: 4, connections: 100},
			},
		}, nil
	default:
		return layout{}, eris.Errorf("topology %q is not known; there are %s and %s", name, Ayensu, Tsehay)
	}
}

// places returns every zone, region by region.
func (l layout) places() []topology.Place {
	var places []topology.Place
	for _, region := range l.regions {
		for zone := range l.zones {
			places = append(places, topology.Place{Region: region, Zone: fmt.Sprintf("%s-%c", region, 'a'+zone)})
		}
	}
	return places
}

// callGroups returns the groups that run calls.
func (l layout) callGroups() []string {
	var names []string
	for _, one := range l.services {
		for group := range one.groups {
			if !one.shards {
				names = append(names, groupName(one.name, group))
			}
		}
	}
	return names
}

// shardGroups returns the groups that hold shards, each once for each of its
// replicas, so that a random choice gives all replicas the same load.
func (l layout) shardGroups() []string {
	var names []string
	for _, one := range l.services {
		for at := range one.groups * one.replicas {
			if one.shards {
				names = append(names, groupName(one.name, at%one.groups))
			}
		}
	}
	return names
}

func groupName(service string, group int) string { return fmt.Sprintf("%s-%d", service, group+1) }
