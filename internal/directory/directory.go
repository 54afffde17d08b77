// Package directory decides which nodes a caller should connect to. It is
// pure: it reads nothing and has no clock.
package directory

import (
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// mostAddresses is the greatest number of addresses in an answer.
const mostAddresses = 64

// Answer is what a caller is told.
type Answer struct {
	// Addresses are IP:port of nodes, of which the caller picks by chance.
	Addresses []string
	// TTL is how long the caller should keep the answer.
	TTL time.Duration
}

// Options bound an answer.
type Options struct {
	TTL time.Duration
	// LeastNodes is how many nodes a caller should know, so that it can go on
	// when some of them are lost.
	LeastNodes int
}

// Resolve returns the ready nodes nearest to a caller: those of its zone, and
// farther ones as far as there are too few that are not loaded. When no node is ready, all are
// named: one of them may have become ready. known is false when there is none
// at all.
func Resolve(nodes *topology.Nodes, caller topology.Place, options Options) (answer Answer, known bool) {
	if nodes == nil {
		return Answer{}, false
	}
	chosen := nearest(nodes.Nodes, caller, options.LeastNodes, func(node topology.Node) bool { return node.Ready })
	if len(chosen) == 0 {
		chosen = nearest(nodes.Nodes, caller, options.LeastNodes, func(topology.Node) bool { return true })
	}
	return Answer{Addresses: chosen, TTL: options.TTL}, len(chosen) > 0
}

func nearest(nodes []topology.Node, caller topology.Place, least int, wanted func(topology.Node) bool) []string {
	var chosen []string
	idle := 0
	for distance := topology.SameZone; distance <= topology.OtherRegion; distance++ {
		for _, node := range nodes {
			if len(chosen) < mostAddresses && wanted(node) && caller.DistanceTo(node.Place) == distance {
				chosen = append(chosen, node.Address)
				if !node.Loaded {
					idle++
				}
			}
		}
		if idle >= max(1, least) {
			return chosen
		}
	}
	return chosen
}
