package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// suspectAfter is the number of consecutive requests to replicas at one
	// place that failed or were canceled late after which the place is
	// suspected.
	suspectAfter = 16
	// suspectFor is how long all replicas of a suspected place count as
	// ejected. A place that has not answered since is suspected again after a
	// single request.
	suspectFor = time.Second
)

// PlaceHealth tracks all replicas at a place as seen by one daemon. The loss of
// a zone takes down many replicas at once, and detecting each one separately
// would cost a late request per replica. The zero value is ready to use. It is
// safe for concurrent use.
type PlaceHealth struct {
	failures     atomic.Int64 // consecutive
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

// PlaceHealthMap holds the health of each place. The zero value is ready to
// use. It is safe for concurrent use.
type PlaceHealthMap struct {
	byPlace sync.Map // topology.Place -> *PlaceHealth
}

// Of returns the health of a place, creating it if necessary.
func (p *PlaceHealthMap) Of(place topology.Place) *PlaceHealth {
	known, _ := p.byPlace.LoadOrStore(place, &PlaceHealth{})
	return known.(*PlaceHealth)
}
