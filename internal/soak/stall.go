package soak

import (
	"context"
	"slices"
	"sync"
	"time"
)

// A stall is a time in which the machine is too busy to run what is ready. Missed
// deadlines then say nothing about the nodes.
const (
	stallProbe = 10 * time.Millisecond
	// stallLength is the delay of a probe that counts as a stall.
	stallLength = 50 * time.Millisecond
	// stallEffect is how long a stall's effects last: delayed requests arrive in a
	// burst, and slow replicas are retried after a second.
	stallEffect = 2 * time.Second
	// maxStalledShare is the stalled share of a run beyond which it is invalid.
	maxStalledShare = 0.5
)

type stall struct{ from, until time.Time }

// stallDetector records the stalls of this process.
type stallDetector struct {
	mu     sync.Mutex
	stalls []stall
}

// watch probes until ctx ends.
func (d *stallDetector) watch(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(stallProbe)
		d.recordProbe(began, time.Now())
	}
}

func (d *stallDetector) recordProbe(began, ended time.Time) {
	if ended.Sub(began) < stallProbe+stallLength {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalls = append(d.stalls, stall{began, ended})
}

// all returns the stalls so far.
func (d *stallDetector) all() []stall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.stalls)
}

// overlaps reports whether a time span overlaps a stall or its after-effects.
func (d *stallDetector) overlaps(from, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.stalls, func(s stall) bool {
		return s.from.Before(until) && s.until.Add(stallEffect).After(from)
	})
}

// affectedTime returns the total time of stalls and their after-effects.
func (d *stallDetector) affectedTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum time.Duration
	var covered time.Time
	for _, s := range d.stalls {
		from, until := s.from, s.until.Add(stallEffect)
		if from.Before(covered) {
			from = covered
		}
		sum += max(0, until.Sub(from))
		covered = until
	}
	return sum
}
