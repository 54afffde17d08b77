package kv

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults is the body of POST /standin/faults. Each call replaces all of the
// faults that were on.
type Faults struct {
	// Outage cuts every connection without an answer.
	Outage bool `json:"outage"`
	// LatencyMilliseconds delays each request before it is run.
	LatencyMilliseconds int64 `json:"latency_ms"`
	// RateLimitPerSecond refuses requests over this rate; 0 means no limit.
	RateLimitPerSecond float64 `json:"rate_limit_per_second"`
	// LoseAcknowledgements is the number of next writes that are applied
	// while their connection is cut before the answer.
	LoseAcknowledgements int `json:"lose_acknowledgements"`
	// FreezeWatches holds back the events of all watches.
	FreezeWatches bool `json:"freeze_watches"`
	// StaleRevision makes reads answer as of an older revision; 0 means not.
	StaleRevision int64 `json:"stale_revision"`
	// RestoreRevision goes back to an older revision, once.
	RestoreRevision int64 `json:"restore_revision"`
}

// faultState is the faults in force.
type faultState struct {
	now   func() time.Time
	sleep func(ctx context.Context, duration time.Duration) error

	mutex   sync.Mutex
	faults  Faults
	limiter *rate.Limiter
}

func (f *faultState) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
	f.limiter = nil
	if faults.RateLimitPerSecond > 0 {
		burst := max(1, int(faults.RateLimitPerSecond))
		f.limiter = rate.NewLimiter(rate.Limit(faults.RateLimitPerSecond), burst)
	}
}

func (f *faultState) current() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults
}

// admit reports whether the rate limit lets a request through.
func (f *faultState) admit() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.limiter == nil || f.limiter.AllowN(f.now(), 1)
}

// takeLostAcknowledgement reports whether the answer to a write is to be
// lost, and counts it.
func (f *faultState) takeLostAcknowledgement() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.faults.LoseAcknowledgements <= 0 {
		return false
	}
	f.faults.LoseAcknowledgements--
	return true
}

// delay waits for the latency in force.
func (f *faultState) delay(ctx context.Context) error {
	latency := time.Duration(f.current().LatencyMilliseconds) * time.Millisecond
	if latency <= 0 {
		return nil
	}
	return f.sleep(ctx, latency)
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
