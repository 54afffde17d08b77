package follower

import (
	"context"
	"time"
)

// attend publishes what falls due and hears other nodes while some
// work, which must end by itself, waits for an answer.
func (f *Follower) attend(work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		f.state.publish(f.options.Now())
		timer := time.NewTimer(f.untilDue())
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		case news := <-f.options.Peers.Received():
			f.told(news)
		case found := <-f.suspected:
			f.suspect(found)
		}
		timer.Stop()
	}
}

// untilDue is the time until the state has to be published anew at the latest.
func (f *Follower) untilDue() time.Duration {
	at := f.state.dueAt()
	if at.IsZero() {
		return longestPause
	}
	return at.Sub(f.options.Now())
}

// wait lets some time pass, and ends sooner when another node knows more.
func (f *Follower) wait(ctx context.Context, pause time.Duration) {
	until := f.options.Now().Add(pause)
	for {
		f.state.publish(f.options.Now())
		timer := time.NewTimer(min(until.Sub(f.options.Now()), f.untilDue()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			if !f.options.Now().Before(until) {
				return
			}
		case news := <-f.options.Peers.Received():
			f.told(news)
			if f.staleness.confirmed > f.staleness.known {
				timer.Stop()
				return
			}
		case found := <-f.suspected:
			f.suspect(found)
		}
		timer.Stop()
	}
}

// Confirm waits until something is heard of the store that is newer than the
// call, and tells whether that came before the end of ctx.
func (f *Follower) Confirm(ctx context.Context) bool {
	asked := f.options.Now()
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		if at := f.confirmedAt.Load(); at != nil && at.After(asked) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// confirmInterval is the pause between two looks for a confirmation.
const confirmInterval = 10 * time.Millisecond
