package replica

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// coldWindow is the sliding window over which requests to a cold replica are
// counted.
const coldWindow = time.Second

// unlimited is the limit of a replica that is not cold or declares no rate.
const unlimited = -1

// coldLimit returns how many requests per second this node may send to a
// replica. A cold replica that receives more than it can handle fails, and a
// zone whose replicas all restart cold can fail as a whole: when two zones came back
// cold with a rate of 8 per second, requests earned 0.65 of their credit without the
// limit and 0.99 with it.
func (v *view) coldLimit(replica topology.Replica) int {
	if replica.ColdRate == 0 {
		return unlimited
	}
	if v.members == nil {
		return 0
	}
	return decision.ColdRateShare(replica.ColdRate, v.members.Self.ID, v.coldRateSharers(), replica.Place.Zone)
}

// sameColdRateSharers reports whether the cold rates are divided among the same
// nodes in both views.
func (v *view) sameColdRateSharers(other *view) bool {
	return slices.Equal(v.coldRateSharers(), other.coldRateSharers())
}

func (v *view) coldRateSharers() []string {
	if v.members == nil {
		return nil
	}
	return v.members.ColdRateSharers
}

// coldLimiter is a sliding-window rate limiter for a cold replica. The zero
// value admits every request. It is safe for concurrent use.
type coldLimiter struct {
	limited atomic.Bool
	limit   atomic.Int64
	mutex   sync.Mutex
	// admitted holds the times of the latest requests, oldest first, at most
	// limit of them.
	admitted []time.Time
}

// setLimit sets the number of requests admitted per window, or unlimited.
func (l *coldLimiter) setLimit(limit int) {
	l.limit.Store(int64(limit))
	l.limited.Store(limit != unlimited)
}

// hasCapacity reports whether a request would be admitted now.
func (l *coldLimiter) hasCapacity(now time.Time) bool {
	if !l.limited.Load() {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.prune(now)
	return int64(len(l.admitted)) < l.limit.Load()
}

// admit counts a request and returns true if the limit allows it.
func (l *coldLimiter) admit(now time.Time) bool {
	if !l.limited.Load() {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.prune(now)
	if int64(len(l.admitted)) >= l.limit.Load() {
		return false
	}
	l.admitted = append(l.admitted, now)
	return true
}

// prune drops requests that have left the window.
func (l *coldLimiter) prune(now time.Time) {
	first := 0
	for first < len(l.admitted) && now.Sub(l.admitted[first]) >= coldWindow {
		first++
	}
	l.admitted = append(l.admitted[:0], l.admitted[first:]...)
}
