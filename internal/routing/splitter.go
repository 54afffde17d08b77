package routing

import (
	"math/rand/v2"
	"sync"
)

// startOffsets is the number of turns of which one, by chance, is a node's first: the
// few requests that each of many nodes has sent must not all favor one share.
const startOffsets = 64

// Splitter divides the requests of split routes by smooth weighted
// round-robin: in any run of requests each share has its part, to within two
// requests. Its zero value is ready, and it is safe for concurrent
// use.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the state of one route's division, for one list of shares.
type roundRobin struct {
	groups  []WeightedGroup
	credits []float64
}

// Pick returns the group that takes the next request of a plain route.
func (s *Splitter) Pick(route *Route) string {
	if len(route.WeightedGroups) == 1 {
		return route.WeightedGroups[0].Group
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.roundRobinFor(route).next()
}

func (s *Splitter) roundRobinFor(route *Route) *roundRobin {
	if s.routes == nil {
		s.routes = make(map[string]*roundRobin)
	}
	known := s.routes[route.Name]
	if known != nil && equalGroups(known.groups, route.WeightedGroups) {
		return known
	}
	known = &roundRobin{groups: route.WeightedGroups, credits: make([]float64, len(route.WeightedGroups))}
	for range rand.IntN(startOffsets) {
		known.next()
	}
	s.routes[route.Name] = known
	return known
}

func equalGroups(a, b []WeightedGroup) bool {
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
func (r *roundRobin) next() string {
	richest, total := 0, 0.0
	for i, share := range r.groups {
		r.credits[i] += share.Weight
		total += share.Weight
		if r.credits[i] > r.credits[richest] {
			richest = i
		}
	}
	r.credits[richest] -= total
	return r.groups[richest].Group
}
