// Package backend is a stand-in for a back-end replica: it serves package
// backendapi over real indexes held in memory, in several snapshots, with
// slots, a bounded queue, a connection limit, cold start, drain, and faults
// that are switched on by an administration call.
package backend

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// Options are the settings of a Replica.
type Options struct {
	// Group and Place are the replica's labels in the machine list.
	Group string
	Place topology.Place
	// Incarnation names this process.
	Incarnation string
	// Slots is the number of requests that run at once; 0 means DefaultSlots.
	Slots int
	// QueueLimit is the number that wait for a slot before shedding begins.
	QueueLimit int
	// ConnectionLimit is the number of connections accepted; 0 means no limit.
	ConnectionLimit int
	// ShedRetryAfter is the time to come back that a shed reply names.
	ShedRetryAfter time.Duration
	// Timing is how long requests take.
	Timing Timing
	// Hollow makes the replica answer searches for any shard of any snapshot
	// with up to two fixed hits and no index, so that thousands fit in one
	// process.
	Hollow bool
	// Seed seeds the service times.
	Seed uint64
	// Now and Sleep are the clock; nil means the system's.
	Now   func() time.Time
	Sleep func(ctx context.Context, duration time.Duration) error
}

// DefaultSlots is the number of slots of the platform's smallest machines.
const DefaultSlots = 3

const defaultShedRetryAfter = 100 * time.Millisecond

// Timing is the distribution of service times.
type Timing struct {
	// Base is the shortest service time.
	Base time.Duration `json:"base_ns"`
	// MeanExtra is the mean of the exponential part that is added to it.
	MeanExtra time.Duration `json:"mean_extra_ns"`
	// Sigma over 0 makes the times lognormal instead, with the mean
	// Base+MeanExtra; it is the standard deviation of their logarithm.
	Sigma float64 `json:"sigma"`
	// StragglerShare of requests, from 0 to 1, take StragglerFactor times as
	// long.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// The first ColdRequests requests take ColdFactor times as long.
	ColdRequests int64   `json:"cold_requests"`
	ColdFactor   float64 `json:"cold_factor"`
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.ShedRetryAfter <= 0 {
		o.ShedRetryAfter = defaultShedRetryAfter
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = sleepFor
	}
	return o
}

// sleepFor is the system's clock as a sleep that a context ends.
func sleepFor(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
