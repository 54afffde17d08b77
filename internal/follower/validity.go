package follower

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

// The MaxStaleness budget is spent once: a check follows the last confirmation after
// confirmationFraction, or up to rankFraction later for the node last in turn, and is answered
// within callTimeoutFraction. Requests are handled without a check for validityFraction; the rest
// allows for delays that the clock does not show.
const (
	// validityFraction is how long the state may be used after the time it was confirmed for. After
	// a suspension or overload of the machine it has expired, so that the node checks before it
	// answers.
	validityFraction = 0.9
	// activateByFraction is when a configuration becomes active at the latest, however long it has
	// waited for replicas of its new groups.
	activateByFraction = 0.85
	// noPauseFraction is how long the process must have run without a pause before a message counts
	// as just sent; before that, it may have waited unread in a socket. It must exceed
	// batchFraction, by which watch events are delayed.
	noPauseFraction = 0.2
	// waitFraction is how long a request waits for the state to be confirmed, not counting pauses of
	// the process. That takes a call or two, and an unresponsive store is given up after
	// callTimeoutFraction.
	waitFraction = 0.3
)

// pauseNoticeDelay is how long after its end a pause may be noticed (Options.RanWithoutPause). It is
// shorter than any pause that is noticed.
const pauseNoticeDelay = 100 * time.Millisecond

// maxPendingObservations bounds the pending observations; later ones are dropped.
const maxPendingObservations = 16

// validity decides until when the state may be used. It is pure: times are arguments.
//
// Invariant: at asOf the store held no changes that are not applied.
type validity struct {
	// bound is how long the state may be used after asOf.
	bound time.Duration

	asOf time.Time
	// lastFailedAttempt is when the latest attempt began that reached neither the store nor a peer.
	// An isolated node goes on with the state that it has.
	lastFailedAttempt time.Time
	// pending are observations of revisions not applied yet, in order of arrival.
	pending []observation
}

// observation says that the store was at a revision at a given time.
type observation struct {
	revision int64
	at       time.Time
}

// observe records an observation by this node or a peer. Revisions of an earlier era are ignored.
func (v *validity) observe(seen observation, applied int64) {
	if store.EraOf(seen.revision) < store.EraOf(applied) {
		return
	}
	if seen.revision <= applied {
		v.confirm(seen.at)
		return
	}
	if len(v.pending) < maxPendingObservations {
		v.pending = append(v.pending, seen)
	}
}

// markApplied confirms the pending observations of revisions up to the applied one.
func (v *validity) markApplied(applied int64) {
	kept := v.pending[:0]
	for _, seen := range v.pending {
		if seen.revision <= applied {
			v.confirm(seen.at)
			continue
		}
		kept = append(kept, seen)
	}
	v.pending = kept
}

// confirm records a time at which the store held no changes that are not applied.
func (v *validity) confirm(at time.Time) {
	if at.After(v.asOf) {
		v.asOf = at
	}
}

// recordFailedAttempt records an attempt, by its start, that reached nobody.
func (v *validity) recordFailedAttempt(at time.Time) {
	if at.After(v.lastFailedAttempt) {
		v.lastFailedAttempt = at
	}
}

// expiresAt returns until when the state may be used without a check.
func (v *validity) expiresAt() time.Time {
	if v.lastFailedAttempt.After(v.asOf) {
		return v.lastFailedAttempt.Add(v.bound)
	}
	return v.asOf.Add(v.bound)
}

// validityWindow tells request goroutines how long the state may be used.
type validityWindow struct {
	until time.Time
	// activateBy is when a pending configuration must be active; zero when none is pending.
	activateBy time.Time
	// replaced is closed when a newer window replaces this one.
	replaced chan struct{}
}

// contains reports whether requests may be handled at now.
func (w *validityWindow) contains(now time.Time) bool {
	return now.Before(w.until) && (w.activateBy.IsZero() || now.Before(w.activateBy))
}

// WaitUntilFresh waits until the state is confirmed to be within MaxStaleness, or neither the store
// nor a peer can be reached, and requests a check if needed. It returns false if that takes too
// long or ctx is done. Load the state only after it returns.
func (f *Follower) WaitUntilFresh(ctx context.Context) bool {
	current := f.window.Load()
	if current.contains(f.options.Now()) {
		return true
	}
	f.waits.Add(1)
	bounded, cancel := f.options.WithTimeout(ctx, f.options.fraction(waitFraction))
	defer cancel()
	for {
		select {
		case f.refreshRequested <- struct{}{}:
		default: // already requested
		}
		select {
		case <-bounded.Done():
			f.failedWaits.Add(1)
			return false
		case <-current.replaced:
		}
		if current = f.window.Load(); current.contains(f.options.Now()) {
			return true
		}
	}
}

// WaitCounts returns the number of requests that have waited in WaitUntilFresh, and how many of
// them gave up.
func (f *Follower) WaitCounts() (total, failed int64) { return f.waits.Load(), f.failedWaits.Load() }

// publishWindow publishes the validity window to request goroutines.
func (f *Follower) publishWindow() {
	next := &validityWindow{until: f.validity.expiresAt(), activateBy: f.state.activation.nextDeadline()}
	f.state.activation.latestDeadline = next.until.Add(-f.options.fraction(validityFraction - activateByFraction))
	current := f.window.Load()
	if next.until.Equal(current.until) && next.activateBy.Equal(current.activateBy) {
		return
	}
	if next.contains(f.options.Now()) {
		f.refreshing = false
	}
	next.replaced = make(chan struct{})
	f.window.Store(next)
	close(current.replaced)
}

// observe records the store's revision as of a given time, unless the message may have waited
// unread during a pause of the process.
func (f *Follower) observe(at time.Time, revision int64) {
	if f.ranWithoutPause() {
		f.validity.observe(observation{revision: revision, at: at}, f.staleness.applied)
	}
}

// ranWithoutPause reports whether the process has run for some time, so that what it reads has not
// waited unread.
func (f *Follower) ranWithoutPause() bool {
	return f.options.RanWithoutPause(f.options.fraction(noPauseFraction))
}

// markApplied records that all changes up to a revision are applied.
func (f *Follower) markApplied(revision int64) {
	f.staleness.markApplied(revision)
	f.validity.markApplied(f.staleness.applied)
}

// recordUnreachable records a failed attempt to reach the store. If the process was paused during
// the attempt, an answer may have been there without being read, so nothing is recorded then.
func (f *Follower) recordUnreachable(startedAt time.Time) {
	if f.options.RanWithoutPause(f.options.Now().Sub(startedAt) - pauseNoticeDelay) {
		f.validity.recordFailedAttempt(startedAt)
	}
	f.publishWindow()
}

// refresh checks the store on behalf of waiting requests. If peers have announced revisions that
// are not applied, it returns an error that leads to a full listing instead of waiting for the
// watch.
func (f *Follower) refresh(ctx context.Context) error {
	now := f.options.Now()
	f.state.publish(now)
	f.publishWindow()
	if f.window.Load().contains(now) {
		return nil
	}
	f.refreshing = true
	if err := f.checkRevision(ctx); err != nil {
		return err
	}
	if len(f.staleness.missing) > 0 {
		return errWatchLagging
	}
	return nil
}
