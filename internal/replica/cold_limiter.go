package replica

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// coldWindow is the span in which what a cold replica receives is counted.
const coldWindow = time.Second

// unbounded is the share of a replica that is not cold, or whose rate is not stated.
const unbounded = -1

// coldShare returns how many requests this node may send to a replica in any one second.
// Cold replicas that are sent more than they bear fall over, and with them the zone that
// has just come back: with a rate of 8 a second, a day on which two zones came back cold
// earned 0.65 of its credit without the bound and 0.99 with it (one play of each).
func (v *view) coldShare(replica topology.Replica) int {
	if replica.ColdRate == 0 {
		return unbounded
	}
	if v.members == nil {
		return 0
	}
	return decision.ColdRateShare(replica.ColdRate, v.members.Self.ID, v.sharing(), replica.Place.Zone)
}

// sameSharing tells whether the same nodes divide what cold replicas take.
func (v *view) sameSharing(other *view) bool { return slices.Equal(v.sharing(), other.sharing()) }

func (v *view) sharing() []string {
	if v.members == nil {
		return nil
	}
	return v.members.ColdRateSharers
}

// coldGate lets so many requests pass in any one second. Its zero value lets all pass. It
// is safe for concurrent use.
type coldGate struct {
	bounded atomic.Bool
	share   atomic.Int64
	mutex   sync.Mutex
	// passed are the times of the latest requests, oldest first, no more than share.
	passed []time.Time
}

// set takes the number of requests that may pass in any one second, or unbounded.
func (g *coldGate) set(share int) {
	g.share.Store(int64(share))
	g.bounded.Store(share != unbounded)
}

// open tells whether a request may pass now.
func (g *coldGate) open(now time.Time) bool {
	if !g.bounded.Load() {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(now)
	return int64(len(g.passed)) < g.share.Load()
}

// pass counts a request, if one may pass now.
func (g *coldGate) pass(now time.Time) bool {
	if !g.bounded.Load() {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(now)
	if int64(len(g.passed)) >= g.share.Load() {
		return false
	}
	g.passed = append(g.passed, now)
	return true
}

// forget drops the requests of more than a second ago.
func (g *coldGate) forget(now time.Time) {
	first := 0
	for first < len(g.passed) && now.Sub(g.passed[first]) >= coldWindow {
		first++
	}
	g.passed = append(g.passed[:0], g.passed[first:]...)
}
