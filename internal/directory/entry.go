package directory

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// minCapacityRatio is the minimum CPU time of an entry node, relative to the
	// largest node of its region that is ready and not overloaded. Without it, callers
	// would be spread evenly over large and small nodes, and overload the small ones:
	// with half of a zone's callers, a node of 0.192 cores read their requests a
	// second late.
	minCapacityRatio = 0.5
	// maxEntryNodesFactor bounds the number of entry nodes of a zone with small nodes,
	// as a multiple of the desired number. The more nodes share the traffic, the later
	// each of them detects slow replicas.
	maxEntryNodesFactor = 4
)

// EntryNodes returns the nodes that callers are directed to, in the order of the given
// nodes. For each zone these are the ready nodes with the most CPU time, until the
// desired number of them is not overloaded and their CPU time matches that of the
// desired number of the largest recorded nodes.
//
// Concentrating the traffic on few nodes lets them detect slow replicas sooner, share
// the replicas' connections among fewer, and keep connections in use. The other nodes
// stand by and take over when an entry node is lost or overloaded. Small nodes become
// entry nodes only if their region has no larger ones; callers in a zone without entry
// nodes are directed to those of its region. The choice is deterministic: all nodes
// with the same view choose the same entry nodes.
func EntryNodes(nodes []topology.Node, wanted int) []topology.Node {
	order := byCapacity(nodes)
	required := minProcessors(nodes)
	zones := make(map[topology.Place]*zoneCapacity)
	perZone := max(1, wanted)
	largest := maxProcessors(nodes)
	chosen := order[:0]
	for _, i := range order {
		node := nodes[i]
		if zones[node.Place] == nil {
			zones[node.Place] = &zoneCapacity{}
		}
		zone := zones[node.Place]
		if zone.sufficient(perZone) || node.Processors < required[node.Place.Region] {
			continue
		}
		chosen = append(chosen, i)
		zone.add(node, largest)
	}
	slices.Sort(chosen)
	entries := make([]topology.Node, 0, len(chosen))
	for _, i := range chosen {
		entries = append(entries, nodes[i])
	}
	return entries
}

// zoneCapacity sums up the entry nodes of a zone that are not overloaded.
type zoneCapacity struct {
	available int
	// capacity is their CPU time as a multiple of that of the largest node.
	capacity float64
}

func (z *zoneCapacity) add(node topology.Node, largest float64) {
	if node.Overloaded {
		return
	}
	z.available++
	if largest > 0 {
		z.capacity += node.Processors / largest
	} else {
		z.capacity++
	}
}

// sufficient reports whether a zone has enough entry nodes. The tolerance, a tenth of a
// node, ignores small differences in CPU time.
func (z *zoneCapacity) sufficient(wanted int) bool {
	const tolerance = 0.1
	if z.available >= maxEntryNodesFactor*wanted {
		return true
	}
	return z.available >= wanted && z.capacity >= float64(wanted)-tolerance
}

// maxProcessors returns the CPU time of the largest node, ready or not: when the
// largest nodes are lost, the remaining ones must replace their capacity.
func maxProcessors(nodes []topology.Node) float64 {
	largest := 0.0
	for i := range nodes {
		largest = max(largest, nodes[i].Processors)
	}
	return largest
}

// minProcessors returns the minimum CPU time of an entry node by region.
func minProcessors(nodes []topology.Node) map[string]float64 {
	required := make(map[string]float64)
	for i := range nodes {
		if region := nodes[i].Place.Region; nodes[i].Ready && !nodes[i].Overloaded {
			required[region] = max(required[region], minCapacityRatio*nodes[i].Processors)
		}
	}
	return required
}

// Watchers returns the nodes that watch the store on behalf of all nodes of a place:
// the ready ones with the most CPU time, whether overloaded or not.
func Watchers(nodes []topology.Node, place topology.Place, wanted int) []topology.Node {
	var watchers []topology.Node
	for _, i := range byCapacity(nodes) {
		if nodes[i].Place == place && len(watchers) < max(1, wanted) {
			watchers = append(watchers, nodes[i])
		}
	}
	return watchers
}

// byCapacity returns the indices of the ready nodes in descending order of CPU time.
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
