// Package directory decides which nodes a caller should connect to. It is
// pure: it reads nothing and has no clock.
package directory

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// maxAddresses is the greatest number of addresses in an answer.
const maxAddresses = 64

// Answer is what a caller is told.
type Answer struct {
	// Addresses are IP:port of nodes, of which the caller picks by chance.
	Addresses []string
	// TTL is how long the caller should keep the answer.
	TTL time.Duration
}

// Options bound an answer.
type Options struct {
	// TTL is how long an answer is kept, ShortTTL one with fewer nodes than EntryNodes:
	// who knows only one has nowhere to go when it is lost.
	TTL, ShortTTL time.Duration
	// EntryNodes is how many nodes of each zone callers should know, so that
	// they can go on when some of them are lost.
	EntryNodes int
	// RestrictRegions is true when callers ask for a host whose requests are bound to Regions.
	// They are led to nodes there or in their own region, as long as any is ready.
	RestrictRegions bool
	Regions         []string
}

// allows tells whether a caller may be led to a node.
func (o *Options) allows(caller topology.Place, node topology.Node) bool {
	return !o.RestrictRegions || node.Place.Region == caller.Region || slices.Contains(o.Regions, node.Place.Region)
}

// Resolve returns the entry nodes nearest to a caller: those of its zone, and
// farther ones as long as all of them are loaded or there are none. When no node
// is ready, all of the nearest are named: one of them may have become ready.
// known is false when there is none at all.
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

// allowed returns those of some nodes that a caller may be led to.
func (o *Options) allowed(nodes []topology.Node, caller topology.Place) []topology.Node {
	if !o.RestrictRegions {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(node topology.Node) bool { return !o.allows(caller, node) })
}

// nearest returns the nodes of the nearest distances up to the first one that
// has a node that is not loaded.
func nearest(nodes []topology.Node, caller topology.Place) []string {
	var chosen []string
	idle := false
	for distance := topology.SameZone; distance <= topology.OtherRegion && !idle; distance++ {
		for _, node := range nodes {
			if len(chosen) < maxAddresses && caller.DistanceTo(node.Place) == distance {
				chosen = append(chosen, node.Address)
				idle = idle || !node.Overloaded
			}
		}
	}
	return chosen
}
