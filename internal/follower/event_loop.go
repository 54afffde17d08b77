package follower

import (
	"context"
	"time"
)

// callStore attends while a question to the store, which must end by itself, waits for its answer.
func (f *Follower) callStore(question func()) { f.handleEvents(f.options.Now(), question) }

// handleEventsDuring publishes what falls due and hears other nodes while some
// work, which must end by itself, waits for an answer.
func (f *Follower) handleEventsDuring(work func()) { f.handleEvents(time.Time{}, work) }

// handleEvents is attend; asked is when the store was asked, zero when it was not.
func (f *Follower) handleEvents(asked time.Time, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		f.state.publish(f.options.Now())
		f.recordUnanswered(asked)
		f.publishWindow()
		timer := time.NewTimer(min(f.untilDeadline(), f.options.fraction(callTimeoutFraction)))
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		case news := <-f.options.Announcer.Received():
			f.handleAnnouncement(news)
		case found := <-f.suspected:
			f.handleSuspicions(found)
		}
		timer.Stop()
	}
}

// recordUnanswered notes that a question asked some time ago has found nobody so far, once it has
// waited for long enough. After a pause of the process that cannot be told: its answer may lie
// unread.
func (f *Follower) recordUnanswered(asked time.Time) {
	patience := f.options.fraction(callTimeoutFraction)
	unanswered := f.options.Now().Add(-patience)
	if !asked.IsZero() && !unanswered.Before(asked) && f.options.RanWithoutPause(patience) {
		f.validity.recordFailedAttempt(unanswered)
	}
}

// untilDeadline is the time until the state has to be published anew at the latest.
func (f *Follower) untilDeadline() time.Duration {
	at := f.state.nextDeadline()
	if at.IsZero() {
		return maxBackoff
	}
	return at.Sub(f.options.Now())
}

// waitForRetry lets some time pass, and ends sooner when another node knows more, or a
// request cannot be handled before the store was asked.
func (f *Follower) waitForRetry(ctx context.Context, pause time.Duration) {
	until := f.options.Now().Add(pause)
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
		case news := <-f.options.Announcer.Received():
			f.handleAnnouncement(news)
			if f.staleness.confirmed > f.staleness.applied {
				timer.Stop()
				return
			}
		case found := <-f.suspected:
			f.handleSuspicions(found)
		case <-f.refreshRequested:
			if !f.window.Load().contains(f.options.Now()) {
				timer.Stop()
				return
			}
		}
		timer.Stop()
	}
}
