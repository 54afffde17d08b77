package routing

import (
	"math/rand/v2"
	"sync"
)

// startOffsets is the number of turns among which the first turn of a rotation is
// chosen at random, so that many nodes with few requests each do not all favor the same
// group.
const startOffsets = 64

// Splitter distributes the requests of split routes by smooth weighted round-robin. In
// any sequence of requests the count of each group is within two of its exact share. Its
// zero value is ready to use. It is safe for concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the state of a route for one list of weighted groups.
type roundRobin struct {
	groups  []WeightedGroup
	credits []float64
}

// Pick returns the group for the next request of a plain route.
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
	state := s.routes[route.Name]
	if state != nil && equalGroups(state.groups, route.WeightedGroups) {
		return state
	}
	state = &roundRobin{groups: route.WeightedGroups, credits: make([]float64, len(route.WeightedGroups))}
	for range rand.IntN(startOffsets) {
		state.next()
	}
	s.routes[route.Name] = state
	return state
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

// next credits every group with its weight, picks the group with the highest credit and
// deducts the total weight from it.
func (r *roundRobin) next() string {
	highest, total := 0, 0.0
	for i, group := range r.groups {
		r.credits[i] += group.Weight
		total += group.Weight
		if r.credits[i] > r.credits[highest] {
			highest = i
		}
	}
	r.credits[highest] -= total
	return r.groups[highest].Group
}
