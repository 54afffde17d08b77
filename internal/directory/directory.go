// Package directory decides which nodes a caller should connect to. Its functions are
// pure: they do no I/O and read no clock.
package directory

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// maxAddresses is the maximum number of addresses in an answer.
const maxAddresses = 64

// Answer is the result of a lookup.
type Answer struct {
	// Addresses are the IP:port of nodes. The caller picks one at random.
	Addresses []string
	// TTL is how long the caller should cache the answer.
	TTL time.Duration
}

// Options configures a lookup.
type Options struct {
	// TTL is the TTL of an answer with at least EntryNodes nodes, ShortTTL that of one
	// with fewer: a caller that knows few nodes has little to fail over to.
	TTL, ShortTTL time.Duration
	// EntryNodes is the desired number of entry nodes per zone, so that callers can
	// fail over when some are lost.
	EntryNodes int
	// RestrictRegions directs callers only to nodes in Regions or in their own region,
	// as long as any of these is ready.
	RestrictRegions bool
	Regions         []string
}

// allows reports whether a caller may be directed to a node.
func (o *Options) allows(caller topology.Place, node topology.Node) bool {
	return !o.RestrictRegions || node.Place.Region == caller.Region || slices.Contains(o.Regions, node.Place.Region)
}

// Resolve returns the entry nodes nearest to a caller: those of its zone, and more
// distant ones if all nearer ones are overloaded or there are none. If no node is ready,
// it returns the nearest nodes regardless, as one of them may have become ready. known
// is false if there are no nodes at all.
func Resolve(nodes *topology.Nodes, caller topology.Place, options Options) (answer Answer, known bool) {
	if nodes == nil {
		return Answer{}, false
	}
	entries := EntryNodes(nodes.Nodes, options.EntryNodes)
	chosen := nearest(options.allowed(entries, caller), caller)
	if len(chosen) == 0 {
		chosen = nearest(entries, caller)
	}
	if len(chosen) == 0 {
		chosen = nearest(nodes.Nodes, caller)
	}
	answer = Answer{Addresses: chosen, TTL: options.TTL}
	if len(chosen) < options.EntryNodes {
		answer.TTL = options.ShortTTL
	}
	return answer, len(chosen) > 0
}

// allowed returns the nodes that a caller may be directed to.
func (o *Options) allowed(nodes []topology.Node, caller topology.Place) []topology.Node {
	if !o.RestrictRegions {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(node topology.Node) bool { return !o.allows(caller, node) })
}

// nearest returns the addresses of the nodes in order of distance, up to and including
// the first distance with a node that is not overloaded.
func nearest(nodes []topology.Node, caller topology.Place) []string {
	var chosen []string
	available := false
	for distance := topology.SameZone; distance <= topology.OtherRegion && !available; distance++ {
		for _, node := range nodes {
			if len(chosen) < maxAddresses && caller.DistanceTo(node.Place) == distance {
				chosen = append(chosen, node.Address)
				available = available || !node.Overloaded
			}
		}
	}
	return chosen
}
