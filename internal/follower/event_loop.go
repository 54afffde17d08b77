package follower

import (
	"context"
	"time"
)

// callStore runs a call to the store while handling events. The call must be bounded by its own
// timeout.
func (f *Follower) callStore(call func()) { f.handleEvents(f.options.Now(), call) }

// handleEventsDuring runs work while handling events. The work must be bounded by its own timeout.
func (f *Follower) handleEventsDuring(work func()) { f.handleEvents(time.Time{}, work) }

// handleEvents publishes state as it falls due and handles messages from peers until work returns.
// calledAt is when the store call began, or zero if work does not call the store.
func (f *Follower) handleEvents(calledAt time.Time, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		f.state.publish(f.options.Now())
		f.recordUnanswered(calledAt)
		f.publishWindow()
		timer := time.NewTimer(min(f.untilDeadline(), f.options.fraction(callTimeoutFraction)))
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		case announcement := <-f.options.Announcer.Received():
			f.handleAnnouncement(announcement)
		case suspicions := <-f.suspected:
			f.handleSuspicions(suspicions)
		}
		timer.Stop()
	}
}

// recordUnanswered records an attempt without an answer once the store call has lasted longer than
// the call timeout. After a pause of the process the answer may be waiting unread, so nothing is
// recorded then.
func (f *Follower) recordUnanswered(calledAt time.Time) {
	timeout := f.options.fraction(callTimeoutFraction)
	startedAt := f.options.Now().Add(-timeout)
	if !calledAt.IsZero() && !startedAt.Before(calledAt) && f.options.RanWithoutPause(timeout) {
		f.validity.recordFailedAttempt(startedAt)
	}
}

// untilDeadline returns the time until the state must be published again.
func (f *Follower) untilDeadline() time.Duration {
	at := f.state.nextDeadline()
	if at.IsZero() {
		return maxBackoff
	}
	return at.Sub(f.options.Now())
}

// waitForRetry waits for the backoff to pass. It returns early when a peer has announced a newer
// revision, or when a request needs fresh state.
func (f *Follower) waitForRetry(ctx context.Context, backoff time.Duration) {
	until := f.options.Now().Add(backoff)
	for {
		f.state.publish(f.options.Now())
		f.publishWindow()
		timer := time.NewTimer(min(until.Sub(f.options.Now()), f.untilDeadline()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			if !f.options.Now().Before(until) {
				return
			}
		case announcement := <-f.options.Announcer.Received():
			f.handleAnnouncement(announcement)
			if f.staleness.confirmed > f.staleness.applied {
				timer.Stop()
				return
			}
		case suspicions := <-f.suspected:
			f.handleSuspicions(suspicions)
		case <-f.refreshRequested:
			if !f.window.Load().contains(f.options.Now()) {
				timer.Stop()
				return
			}
		}
		timer.Stop()
	}
}
