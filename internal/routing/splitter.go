package routing

import (
	"math/rand/v2"
	"sync"
)

// phases is the number of turns of which one, by chance, is a node's first: the
// few requests that each of many nodes has sent must not all favor one share.
const phases = 64

// Splitter divides the requests of split routes by smooth weighted
// round-robin: in any run of requests each share has its part, to within two
// requests. Its zero value is ready, and it is safe for concurrent
// use.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*rotation
}

// rotation is the state of one route's division, for one list of shares.
type rotation struct {
	shares  []WeightedGroup
	credits []float64
}

// Pick returns the group that takes the next request of a plain route.
func (s *Splitter) Pick(route *Route) string {
	if len(route.WeightedGroups) == 1 {
		return route.WeightedGroups[0].Group
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rotationOf(route).next()
}

func (s *Splitter) rotationOf(route *Route) *rotation {
	if s.routes == nil {
		s.routes = make(map[string]*rotation)
	}
	known := s.routes[route.Name]
	if known != nil && sameShares(known.shares, route.WeightedGroups) {
		return known
	}
	known = &rotation{shares: route.WeightedGroups, credits: make([]float64, len(route.WeightedGroups))}
	for range rand.IntN(phases) {
		known.next()
	}
	s.routes[route.Name] = known
	return known
}

func sameShares(a, b []WeightedGroup) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// next gives every share its weight in credit and takes the total from the
// richest, which has the turn.
func (r *rotation) next() string {
	richest, total := 0, 0.0
	for i, share := range r.shares {
		r.credits[i] += share.Weight
		total += share.Weight
		if r.credits[i] > r.credits[richest] {
			richest = i
		}
	}
	r.credits[richest] -= total
	return r.shares[richest].Group
}
