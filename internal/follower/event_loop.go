package follower

import (
	"context"
	"time"
)

// ask attends while a question to the store, which must end by itself, waits for its answer.
func (f *Follower) ask(question func()) { f.attendFrom(f.options.Now(), question) }

// attend publishes what falls due and hears other nodes while some
// work, which must end by itself, waits for an answer.
func (f *Follower) attend(work func()) { f.attendFrom(time.Time{}, work) }

// attendFrom is attend; asked is when the store was asked, zero when it was not.
func (f *Follower) attendFrom(asked time.Time, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		f.state.publish(f.options.Now())
		f.noteUnanswered(asked)
		f.allow()
		timer := time.NewTimer(min(f.untilDue(), f.options.share(askShare)))
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		case news := <-f.options.Announcer.Received():
			f.told(news)
		case found := <-f.suspected:
			f.suspect(found)
		}
		timer.Stop()
	}
}

// noteUnanswered notes that a question asked some time ago has found nobody so far, once it has
// waited for long enough. After a pause of the process that cannot be told: its answer may lie
// unread.
func (f *Follower) noteUnanswered(asked time.Time) {
	patience := f.options.share(askShare)
	unanswered := f.options.Now().Add(-patience)
	if !asked.IsZero() && !unanswered.Before(asked) && f.options.RanWithoutPause(patience) {
		f.validity.tried(unanswered)
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

// wait lets some time pass, and ends sooner when another node knows more, or a
// request cannot be handled before the store was asked.
func (f *Follower) wait(ctx context.Context, pause time.Duration) {
	until := f.options.Now().Add(pause)
	for {
		f.state.publish(f.options.Now())
		f.allow()
		timer := time.NewTimer(min(until.Sub(f.options.Now()), f.untilDue()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			if !f.options.Now().Before(until) {
				return
			}
		case news := <-f.options.Announcer.Received():
			f.told(news)
			if f.staleness.confirmed > f.staleness.known {
				timer.Stop()
				return
			}
		case found := <-f.suspected:
			f.suspect(found)
		case <-f.asked:
			if !f.permit.Load().holds(f.options.Now()) {
				timer.Stop()
				return
			}
		}
		timer.Stop()
	}
}
