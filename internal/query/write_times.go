package query

import (
	"context"
	"math"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// unwritten is the time of writing of an attempt that has not been written.
const unwritten = math.MaxInt64

// writtenBefore reports whether the attempt was written before a time of the inbox.
func (a *attempt) writtenBefore(at time.Duration) bool {
	return a.writtenAt == nil || time.Duration(a.writtenAt.Load()) < at
}

// recordWrite returns a context for an attempt, and when it was written.
func (r *run) recordWrite(ctx context.Context) (recorded context.Context, writtenAt *atomic.Int64) {
	if r.timeout == 0 || r.service.options.PausedTime == nil {
		return ctx, nil
	}
	at := &atomic.Int64{}
	at.Store(unwritten)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { at.Store(int64(r.inbox.Elapsed())) },
	}), at
}

// unsent reports whether the shard waits only for attempts that had not been written at a time
// of the inbox.
func (s *shardRun) unsent(at time.Duration) bool {
	if s.searchReply != nil {
		return false
	}
	waits := len(s.attempts) == 0
	for i := range s.attempts {
		if s.attempts[i].outcome != outcomeInFlight {
			continue
		}
		if s.attempts[i].writtenBefore(at) {
			return false
		}
		waits = true
	}
	return waits
}

// timeAfterPause returns the time to leave to the run if it was paused. The replicas had the pause
// to answer what had been written before. If nothing had been written to a shard, its replicas
// need the time that they have without a pause.
func (r *run) timeAfterPause(paused, elapsed time.Duration) time.Duration {
	pause := paused - r.pauses.lastPaused
	if pause < minPause {
		return minTimeAfterPause
	}
	for i := range r.shards {
		if r.shards[i].unsent(elapsed - pause) { // the latest time at which the pause can have begun
			return max(minTimeAfterPause, r.timeout)
		}
	}
	return minTimeAfterPause
}
