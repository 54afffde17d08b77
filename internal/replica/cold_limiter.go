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

// unlimited is the share of a replica that is not cold, or whose rate is not stated.
const unlimited = -1

// coldLimit returns how many requests this node may send to a replica in any one second.
// Cold replicas that are sent more than they bear fall over, and with them the zone that
// has just come back: with a rate of 8 a second, a day on which two zones came back cold
// earned 0.65 of its credit without the bound and 0.99 with it (one play of each).
func (v *view) coldLimit(replica topology.Replica) int {
	if replica.ColdRate == 0 {
		return unlimited
	}
	if v.members == nil {
		return 0
	}
	return decision.ColdShare(replica.ColdRate, v.members.Self.ID, v.sharingNodes(), replica.Place.Zone)
}

// sameSharingNodes tells whether the same nodes divide what cold replicas take.
func (v *view) sameSharingNodes(other *view) bool {
	return slices.Equal(v.sharingNodes(), other.sharingNodes())
}

func (v *view) sharingNodes() []string {
	if v.members == nil {
		return nil
	}
	return v.members.Sharing
}

// coldLimiter lets so many requests pass in any one second. Its zero value lets all pass. It
// is safe for concurrent use.
type coldLimiter struct {
	limited atomic.Bool
	limit   atomic.Int64
	mutex   sync.Mutex
	// admitted are the times of the latest requests, oldest first, no more than share.
	admitted []time.Time
}

// setLimit takes the number of requests that may pass in any one second, or unbounded.
func (g *coldLimiter) setLimit(share int) {
	g.limit.Store(int64(share))
	g.limited.Store(share != unlimited)
}

// hasCapacity tells whether a request may pass now.
func (g *coldLimiter) hasCapacity(now time.Time) bool {
	if !g.limited.Load() {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prune(now)
	return int64(len(g.admitted)) < g.limit.Load()
}

// admit counts a request, if one may admit now.
func (g *coldLimiter) admit(now time.Time) bool {
	if !g.limited.Load() {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prune(now)
	if int64(len(g.admitted)) >= g.limit.Load() {
		return false
	}
	g.admitted = append(g.admitted, now)
	return true
}

// prune drops the requests of more than a second ago.
func (g *coldLimiter) prune(now time.Time) {
	first := 0
	for first < len(g.admitted) && now.Sub(g.admitted[first]) >= coldWindow {
		first++
	}
	g.admitted = append(g.admitted[:0], g.admitted[first:]...)
}
