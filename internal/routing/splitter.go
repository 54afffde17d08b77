package routing

import "sync"

// Splitter divides the requests of split routes by smooth weighted
// round-robin: after any number of requests each share has had its part, to
// within one request. Its zero value is ready, and it is safe for concurrent
// use.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*rotation
}

// rotation is the state of one route's division, for one list of shares.
type rotation struct {
	shares  []Share
	credits []float64
}

// Pick returns the group that takes the next request of a plain route.
func (s *Splitter) Pick(route *Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Group
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
	if known != nil && sameShares(known.shares, route.Shares) {
		return known
	}
	known = &rotation{shares: route.Shares, credits: make([]float64, len(route.Shares))}
	s.routes[route.Name] = known
	return known
}

func sameShares(a, b []Share) bool {
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
