package directory

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// minCapacityRatio of the processor time of a region's best node is what a node must have
	// to be an entry node there, as long as one that is not loaded has it. Measured
	// with nodes of 0.8 and 0.192 cores: half of a zone's callers on one of the small
	// ones made it read their requests a second late (docs/ROUNDS.md).
	minCapacityRatio = 0.5
	// maxEntryNodesFactor the wanted number of nodes a zone may have as entry nodes when they
	// are small: with many, each learns late which replicas are slow.
	maxEntryNodesFactor = 4
)

// EntryNodes returns the nodes that callers are led to, in the order of the
// nodes given: of each zone the ready ones with the most processor time, until
// so many of them as are wanted are not loaded, and they have as much processor
// time as so many of the best nodes that are recorded.
//
// Few nodes with many requests each serve better than many nodes with few: they
// learn sooner which replicas are slow, share the connections of the replicas
// among fewer, and keep them in use. The other nodes stand by, and take over as
// soon as an entry node is gone or loaded. Small nodes take over only where their
// region has no better ones; the callers of a zone without entry nodes are led to
// those of its region. All nodes that know the same entries choose the same ones.
func EntryNodes(nodes []topology.Node, wanted int) []topology.Node {
	order := byCapacity(nodes)
	least := minProcessors(nodes)
	zones := make(map[topology.Place]*zoneCapacity)
	whole := max(1, wanted)
	best := maxProcessors(nodes)
	chosen := order[:0]
	for _, i := range order {
		node := nodes[i]
		if zones[node.Place] == nil {
			zones[node.Place] = &zoneCapacity{}
		}
		zone := zones[node.Place]
		if zone.sufficient(whole) || node.Processors < least[node.Place.Region] {
			continue
		}
		chosen = append(chosen, i)
		zone.add(node, best)
	}
	slices.Sort(chosen)
	entries := make([]topology.Node, 0, len(chosen))
	for _, i := range chosen {
		entries = append(entries, nodes[i])
	}
	return entries
}

// zoneCapacity counts the entry nodes of a zone that are not loaded.
type zoneCapacity struct {
	available int
	// capacity is their processor time, in nodes of the best kind.
	capacity float64
}

func (z *zoneCapacity) add(node topology.Node, best float64) {
	if node.Overloaded {
		return
	}
	z.available++
	if best > 0 {
		z.capacity += node.Processors / best
	} else {
		z.capacity++
	}
}

// sufficient tells whether a zone has the wanted entry nodes. A tenth of one less is
// sufficient, so that small differences between nodes count for nothing.
func (z *zoneCapacity) sufficient(wanted int) bool {
	const tolerance = 0.1
	if z.available >= maxEntryNodesFactor*wanted {
		return true
	}
	return z.available >= wanted && z.capacity >= float64(wanted)-tolerance
}

// maxProcessors is the greatest processor time of a node, ready or not: where all of
// the best are gone, the others together must take over what those have served.
func maxProcessors(nodes []topology.Node) float64 {
	best := 0.0
	for i := range nodes {
		best = max(best, nodes[i].Processors)
	}
	return best
}

// minProcessors is the processor time that an entry node must have, by region: a
// share of that of the best node that is ready and not loaded.
func minProcessors(nodes []topology.Node) map[string]float64 {
	least := make(map[string]float64)
	for i := range nodes {
		if region := nodes[i].Place.Region; nodes[i].Ready && !nodes[i].Overloaded {
			least[region] = max(least[region], minCapacityRatio*nodes[i].Processors)
		}
	}
	return least
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
