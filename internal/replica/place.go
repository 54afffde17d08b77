package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// The constants of a place's health.
const (
	// suspectAfter requests in a row to replicas at one place that failed or
	// were given up late, the place is suspected.
	suspectAfter = 16
	// suspectFor is how long all its replicas then count as ejected. A place
	// that has not answered since is suspected again after a single request.
	suspectFor = time.Second
)

// PlaceHealth is what one daemon has seen of all replicas at a place. A lost
// zone takes many replicas at once, and finding them out one by one would cost
// a late request for each. Its zero value is ready, and it is safe for
// concurrent use.
type PlaceHealth struct {
	failures     atomic.Int64 // in a row
	suspectUntil atomic.Int64 // Unix nanoseconds
}

func (p *PlaceHealth) recordAnswer() {
	if p != nil && p.failures.Load() != 0 {
		p.failures.Store(0)
	}
}

func (p *PlaceHealth) recordFailure(now time.Time) {
	if p != nil && p.failures.Add(1) >= suspectAfter {
		p.suspectUntil.Store(now.Add(suspectFor).UnixNano())
	}
}

func (p *PlaceHealth) suspected(now time.Time) bool {
	return p != nil && p.failures.Load() >= suspectAfter && now.UnixNano() < p.suspectUntil.Load()
}

// PlaceHealthMap holds the health of each place. Its zero value is ready, and it is
// safe for concurrent use.
type PlaceHealthMap struct {
	byPlace sync.Map // topology.Place -> *PlaceHealth
}

// Of returns the health of a place.
func (p *PlaceHealthMap) Of(place topology.Place) *PlaceHealth {
	known, _ := p.byPlace.LoadOrStore(place, &PlaceHealth{})
	return known.(*PlaceHealth)
}
