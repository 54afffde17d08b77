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
	// validShare is for how long what is known may be acted on from a moment at which the
	// store had nothing beyond it. A process that has not run for a while, its machine
	// suspended or overloaded, finds it over when it goes on, and asks before it answers.
	validShare = 0.9
	// adoptByShare is by when a configuration is in force at the latest, however long it has
	// waited for replicas of its new groups.
	adoptByShare = 0.85
	// steadyShare is for how long the process must have run without a pause before what it
	// is told counts as said just now: before that, it may have lain unread in a socket. It
	// is over gatherShare, for which what a watch tells is waited for.
	steadyShare = 0.2
	// awaitShare is for how long a request waits until what is known is confirmed. Asking
	// takes a call or two; a store that is silent is given up after askShare.
	awaitShare = 0.3
)

// mostClaims bounds the claims that are kept; beyond it, later ones count for nothing.
const mostClaims = 16

// validity decides until when what is known may be acted on. It is pure: times are arguments.
//
// Invariant: at asOf the store held nothing beyond what has been taken in.
type validity struct {
	// bound is for how long what is known may be acted on from asOf on.
	bound time.Duration

	asOf time.Time
	// triedAt is when the latest attempt began that has found nobody who could tell more:
	// a node that is cut off goes on with what it knows.
	triedAt time.Time
	// claims are of revisions that are not known yet, in the order in which they came.
	claims []claim
}

// claim says that the store was at a revision at some time.
type claim struct {
	revision int64
	at       time.Time
}

// claim notes what the store, or another node, has said of it. What is said of an era of the
// store that is over confirms nothing.
func (v *validity) claim(made claim, known int64) {
	if store.EraOf(made.revision) < store.EraOf(known) {
		return
	}
	if made.revision <= known {
		v.confirm(made.at)
		return
	}
	if len(v.claims) < mostClaims {
		v.claims = append(v.claims, made)
	}
}

// learn notes that everything up to a revision is known.
func (v *validity) learn(known int64) {
	kept := v.claims[:0]
	for _, made := range v.claims {
		if made.revision <= known {
			v.confirm(made.at)
			continue
		}
		kept = append(kept, made)
	}
	v.claims = kept
}

// confirm notes a time at which the store held nothing beyond what is known.
func (v *validity) confirm(at time.Time) {
	if at.After(v.asOf) {
		v.asOf = at
	}
}

// tried notes that an attempt which began at some time has found nobody.
func (v *validity) tried(at time.Time) {
	if at.After(v.triedAt) {
		v.triedAt = at
	}
}

// until is when what is known may not be acted on any more without asking.
func (v *validity) until() time.Time {
	if v.triedAt.After(v.asOf) {
		return v.triedAt.Add(v.bound)
	}
	return v.asOf.Add(v.bound)
}

// permit is what requests are told of the validity.
type permit struct {
	until time.Time
	// adoptBy is when a configuration that is known is in force at the latest; zero while
	// none waits.
	adoptBy time.Time
	// replaced is closed when another permit has taken the place of this one.
	replaced chan struct{}
}

// holds tells whether requests may be handled at some time.
func (p *permit) holds(now time.Time) bool {
	return now.Before(p.until) && (p.adoptBy.IsZero() || now.Before(p.adoptBy))
}

// WaitUntilFresh waits until what this node knows of the store is sure to be no older than the time
// for news allows, or nobody can tell more, and asks for that if need be. It returns false
// when that has taken too long, or ctx has ended. What is known must be loaded after it.
func (f *Follower) WaitUntilFresh(ctx context.Context) bool {
	current := f.permit.Load()
	if current.holds(f.options.Now()) {
		return true
	}
	f.waits.Add(1)
	bounded, cancel := context.WithTimeout(ctx, f.options.share(awaitShare))
	defer cancel()
	for {
		select {
		case f.asked <- struct{}{}:
		default: // somebody has asked already
		}
		select {
		case <-bounded.Done():
			f.vainWaits.Add(1)
			return false
		case <-current.replaced:
		}
		if current = f.permit.Load(); current.holds(f.options.Now()) {
			return true
		}
	}
}

// WaitCounts returns the number of requests that have waited in Await, and of those that did so in
// vain.
func (f *Follower) WaitCounts() (all, vain int64) { return f.waits.Load(), f.vainWaits.Load() }

// allow tells requests until when what is known may be acted on.
func (f *Follower) allow() {
	next := &permit{until: f.validity.until(), adoptBy: f.state.adoption.dueAt()}
	f.state.adoption.latest = next.until.Add(-f.options.share(validShare - adoptByShare))
	held := f.permit.Load()
	if next.until.Equal(held.until) && next.adoptBy.Equal(held.adoptBy) {
		return
	}
	if next.holds(f.options.Now()) {
		f.hurried = false
	}
	next.replaced = make(chan struct{})
	f.permit.Store(next)
	close(held.replaced)
}

// claimed notes what was said of the store, as of some time, unless it may have waited unread
// while the process stood still.
func (f *Follower) claimed(at time.Time, revision int64) {
	if f.options.RanWithoutPause(f.options.share(steadyShare)) {
		f.validity.claim(claim{revision: revision, at: at}, f.staleness.known)
	}
}

// know notes that everything up to a revision is known.
func (f *Follower) know(revision int64) {
	f.staleness.learn(revision)
	f.validity.learn(f.staleness.known)
}

// noteUnreachable notes that an attempt to reach the store has failed.
func (f *Follower) noteUnreachable(began time.Time) {
	f.validity.tried(began)
	f.allow()
}

// hurry asks the store for requests that wait. What others know by now, and this node does
// not, is read without waiting for a watch to tell it.
func (f *Follower) hurry(ctx context.Context) error {
	now := f.options.Now()
	f.state.publish(now)
	f.allow()
	if f.permit.Load().holds(now) {
		return nil
	}
	f.hurried = true
	if err := f.check(ctx); err != nil {
		return err
	}
	if len(f.staleness.missing) > 0 {
		return errBehind
	}
	return nil
}
