package directory

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

// EntryNodes returns the nodes that callers are led to, in the order of the
// nodes given: of each zone the ready ones with the most processor time, until
// so many of them as are wanted are not loaded.
//
// Few nodes with many requests each serve better than many nodes with few: they
// learn sooner which replicas are slow, share the connections of the replicas
// among fewer, and keep them in use. The other nodes stand by, and take over as
// soon as an entry node is gone or loaded. All nodes that know the same entries
// choose the same ones.
func EntryNodes(nodes []topology.Node, wanted int) []topology.Node {
	order := byCapacity(nodes)
	idle := make(map[topology.Place]int)
	chosen := order[:0]
	for _, i := range order {
		if idle[nodes[i].Place] >= max(1, wanted) {
			continue
		}
		chosen = append(chosen, i)
		if !nodes[i].Loaded {
			idle[nodes[i].Place]++
		}
	}
	slices.Sort(chosen)
	entries := make([]topology.Node, 0, len(chosen))
	for _, i := range chosen {
		entries = append(entries, nodes[i])
	}
	return entries
}

// Watchers returns the nodes of a place that watch the store for the others of
// their place: the first ones by capacity, whatever their load.
func Watchers(nodes []topology.Node, place topology.Place, wanted int) []topology.Node {
	var watchers []topology.Node
	for _, i := range byCapacity(nodes) {
		if nodes[i].Place == place && len(watchers) < max(1, wanted) {
			watchers = append(watchers, nodes[i])
		}
	}
	return watchers
}

// byCapacity returns the positions of the ready nodes, those with the most
// processor time first.
func byCapacity(nodes []topology.Node) []int {
	order := make([]int, 0, len(nodes))
	for i := range nodes {
		if nodes[i].Ready {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(nodes[b].Processors, nodes[a].Processors), cmp.Compare(nodes[a].ID, nodes[b].ID))
	})
	return order
}
