package follower

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

// The time for news is spent once: a check comes checkShare after the last one, and for the
// node whose turn is last rankShare later; it is answered within askShare. What is known was
// then confirmed longest ago. Requests are handled without asking for validShare; the rest is
// for what the clock does not show.
const (
	// validityFraction is for how long what is known may be acted on from a moment at which the
	// store had nothing beyond it. A process that has not run for a while, its machine
	// suspended or overloaded, finds it over when it goes on, and asks before it answers.
	validityFraction = 0.9
	// activateByFraction is by when a configuration is in force at the latest, however long it has
	// waited for replicas of its new groups.
	activateByFraction = 0.85
	// noPauseFraction is for how long the process must have run without a pause before what it
	// is told counts as said just now: before that, it may have lain unread in a socket. It
	// is over gatherShare, for which what a watch tells is waited for.
	noPauseFraction = 0.2
	// waitFraction is for how long a request waits until what is known is confirmed. Asking
	// takes a call or two; a store that is silent is given up after askShare.
	waitFraction = 0.3
)

// maxPendingObservations bounds the claims that are kept; beyond it, later ones count for nothing.
const maxPendingObservations = 16

// validity decides until when what is known may be acted on. It is pure: times are arguments.
//
// Invariant: at asOf the store held nothing beyond what has been taken in.
type validity struct {
	// bound is for how long what is known may be acted on from asOf on.
	bound time.Duration

	asOf time.Time
	// lastFailedAttempt is when the latest attempt began that has found nobody who could tell more:
	// a node that is cut off goes on with what it knows.
	lastFailedAttempt time.Time
	// pending are of revisions that are not known yet, in the order in which they came.
	pending []observation
}

// observation says that the store was at a revision at some time.
type observation struct {
	revision int64
	at       time.Time
}

// observe notes what the store, or another node, has said of it. What is said of an era of the
// store that is over confirms nothing.
func (v *validity) observe(made observation, known int64) {
	if store.EraOf(made.revision) < store.EraOf(known) {
		return
	}
	if made.revision <= known {
		v.confirm(made.at)
		return
	}
	if len(v.pending) < maxPendingObservations {
		v.pending = append(v.pending, made)
	}
}

// markApplied notes that everything up to a revision is known.
func (v *validity) markApplied(known int64) {
	kept := v.pending[:0]
	for _, made := range v.pending {
		if made.revision <= known {
			v.confirm(made.at)
			continue
		}
		kept = append(kept, made)
	}
	v.pending = kept
}

// confirm notes a time at which the store held nothing beyond what is known.
func (v *validity) confirm(at time.Time) {
	if at.After(v.asOf) {
		v.asOf = at
	}
}

// recordFailedAttempt notes that an attempt which began at some time has found nobody.
func (v *validity) recordFailedAttempt(at time.Time) {
	if at.After(v.lastFailedAttempt) {
		v.lastFailedAttempt = at
	}
}

// expiresAt is when what is known may not be acted on any more without asking.
func (v *validity) expiresAt() time.Time {
	if v.lastFailedAttempt.After(v.asOf) {
		return v.lastFailedAttempt.Add(v.bound)
	}
	return v.asOf.Add(v.bound)
}

// validityWindow is what requests are told of the validity.
type validityWindow struct {
	until time.Time
	// activateBy is when a configuration that is known is in force at the latest; zero while
	// none waits.
	activateBy time.Time
	// replaced is closed when another permit has taken the place of this one.
	replaced chan struct{}
}

// contains tells whether requests may be handled at some time.
func (p *validityWindow) contains(now time.Time) bool {
	return now.Before(p.until) && (p.activateBy.IsZero() || now.Before(p.activateBy))
}

// WaitUntilFresh waits until what this node knows of the store is sure to be no older than the time
// for news allows, or nobody can tell more, and asks for that if need be. It returns false
// when that has taken too long, or ctx has ended. What is known must be loaded after it.
func (f *Follower) WaitUntilFresh(ctx context.Context) bool {
	current := f.window.Load()
	if current.contains(f.options.Now()) {
		return true
	}
	f.waits.Add(1)
	bounded, cancel := context.WithTimeout(ctx, f.options.fraction(waitFraction))
	defer cancel()
	for {
		select {
		case f.refreshRequested <- struct{}{}:
		default: // somebody has asked already
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

// WaitCounts returns the number of requests that have waited in Await, and of those that did so in
// vain.
func (f *Follower) WaitCounts() (all, vain int64) { return f.waits.Load(), f.failedWaits.Load() }

// publishWindow tells requests until when what is known may be acted on.
func (f *Follower) publishWindow() {
	next := &validityWindow{until: f.validity.expiresAt(), activateBy: f.state.activation.nextDeadline()}
	f.state.activation.latestDeadline = next.until.Add(-f.options.fraction(validityFraction - activateByFraction))
	held := f.window.Load()
	if next.until.Equal(held.until) && next.activateBy.Equal(held.activateBy) {
		return
	}
	if next.contains(f.options.Now()) {
		f.refreshing = false
	}
	next.replaced = make(chan struct{})
	f.window.Store(next)
	close(held.replaced)
}

// observe notes what was said of the store, as of some time, unless it may have waited unread
// while the process stood still.
func (f *Follower) observe(at time.Time, revision int64) {
	if f.options.RanWithoutPause(f.options.fraction(noPauseFraction)) {
		f.validity.observe(observation{revision: revision, at: at}, f.staleness.applied)
	}
}

// markApplied notes that everything up to a revision is known.
func (f *Follower) markApplied(revision int64) {
	f.staleness.markApplied(revision)
	f.validity.markApplied(f.staleness.applied)
}

// recordUnreachable notes that an attempt to reach the store has failed.
func (f *Follower) recordUnreachable(began time.Time) {
	f.validity.recordFailedAttempt(began)
	f.publishWindow()
}

// refresh asks the store for requests that wait. What others know by now, and this node does
// not, is read without waiting for a watch to tell it.
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
