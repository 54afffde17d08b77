package soak

import (
	"context"
	"slices"
	"sync"
	"time"
)

// The watch for stalls: times in which the machine is too busy to run what is ready. What
// was due then proves nothing of the nodes, which stood still as well: they logged "the
// routes are being confirmed after a pause" in such times.
const (
	stallProbe = 10 * time.Millisecond
	// stallLength is how much too late a probe is in a stall: a fifth of the objective of the
	// routes (250 ms), within which an answer must be whole in the calm.
	stallLength = 50 * time.Millisecond
	// stallReach is how long after a stall its effects last: requests that waited come at
	// once, and replicas that were slow are asked again after a second.
	stallReach = 2 * time.Second
	// mostStalled is the share of a run's time beyond which it is no run.
	mostStalled = 0.5
)

// stall is a span of time in which the machine was too busy.
type stall struct{ from, until time.Time }

// stallWatch notes the stalls of this process.
type stallWatch struct {
	mu     sync.Mutex
	stalls []stall
}

// watch probes until ctx ends.
func (w *stallWatch) watch(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(stallProbe)
		w.probed(began, time.Now())
	}
}

func (w *stallWatch) probed(began, ended time.Time) {
	if ended.Sub(began) < stallProbe+stallLength {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalls = append(w.stalls, stall{began, ended})
}

// touches tells whether a span of time met a stall or what follows one.
func (w *stallWatch) touches(from, until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.stalls, func(s stall) bool {
		return s.from.Before(until) && s.until.Add(stallReach).After(from)
	})
}

// reach is the sum of the times that stalls touch.
func (w *stallWatch) reach() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum time.Duration
	var covered time.Time
	for _, s := range w.stalls {
		from, until := s.from, s.until.Add(stallReach)
		if from.Before(covered) {
			from = covered
		}
		sum += max(0, until.Sub(from))
		covered = until
	}
	return sum
}
