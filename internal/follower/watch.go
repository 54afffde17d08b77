package follower

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/store"
)

// errBehind ends a watch that has not told what other nodes know.
var errBehind = eris.New("the watch has missed news")

// watch follows the changes after a revision until that fails, from one source
// or, as the nodes come and go, from several in turn.
func (f *Follower) watch(ctx context.Context, revision int64) error {
	for {
		from := f.chooseSource()
		err := f.watchOne(ctx, from, revision)
		if !f.goesOn(from, err) {
			return err
		}
		revision = f.staleness.known
	}
}

// goesOn tells whether another source can be watched from where one has ended. The
// store keeps its history for a while, so that nothing has to be read anew because
// another node could not tell of it.
func (f *Follower) goesOn(from source, err error) bool {
	switch {
	case errors.Is(err, errOtherSource):
		return true
	case !from.node.IsValid():
		return false
	case errors.Is(err, errBehind):
		f.noteFailed(relayTries) // whoever watches the store is behind as well
		f.relayBehind = true
		f.staleness.waitAnew(f.options.Now())
	case errors.Is(err, relay.ErrForgotten):
		f.needsStore = true
	case errors.Is(err, relay.ErrSilent):
		f.noteSilent(from)
	case errors.Is(err, relay.ErrBroken):
		f.noteFailed(f.relaysFailed + 1)
	default:
		return false
	}
	f.options.Logger.Info("no longer watching that node", "address", from.node.String(), "reason", err.Error())
	return true
}

// watchOne runs a watch of one source beside the checks.
func (f *Follower) watchOne(ctx context.Context, from source, revision int64) error {
	began := f.options.Now()
	watching, cancel := context.WithCancel(ctx)
	batches, ended := make(chan store.WatchBatch), make(chan error, 1)
	go func() {
		ended <- from.watch(watching, revision+1, func(batch store.WatchBatch) error {
			select {
			case batches <- batch:
			case <-watching.Done():
				return watching.Err()
			}
			if len(batch.Events) > 0 && !batch.Relayed { // who relays has gathered them
				sleep(watching, f.options.share(gatherShare))
			}
			return nil
		})
	}()
	defer cancel()
	f.staleness.grace, f.staleness.eraGrace = f.graceOf(from), f.eraGraceOf(from)
	timer := time.NewTimer(nothingDue)
	defer timer.Stop()
	for {
		timer.Reset(f.untilWake())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			if !from.node.IsValid() {
				f.noteUnreachable(began)
			}
			return err
		case batch := <-batches:
			f.silentInTurn = 0
			f.deliver(batch)
		case news := <-f.options.Announcer.Received():
			f.told(news)
		case found := <-f.suspected:
			f.suspect(found)
		case <-f.asked:
			if err := f.hurry(ctx); err != nil {
				return err
			}
		case <-timer.C:
			if err := f.due(ctx); err != nil {
				return err
			}
		}
		f.allow()
		if f.mayChange(from) {
			return errOtherSource
		}
	}
}

// graceOf is what a watch may take to tell what others know already.
func (f *Follower) graceOf(from source) time.Duration {
	switch {
	case f.hurried:
		return 0
	case from.node.IsValid():
		return f.options.share(graceShare + relayShare)
	case f.relayBehind:
		return f.options.share(askShare)
	default:
		return f.options.share(graceShare)
	}
}

// eraGraceOf is what a watch may take to tell what others know of a later era of the store.
// The store's own watch cannot tell it; a node that is watched reads everything first.
func (f *Follower) eraGraceOf(from source) time.Duration {
	if from.node.IsValid() {
		return f.graceOf(from)
	}
	return 0
}

// nothingDue is how long is waited when nothing is due.
const nothingDue = time.Hour

// untilWake is the time until something is due.
func (f *Follower) untilWake() time.Duration {
	at := f.wakeAt()
	if at.IsZero() {
		return nothingDue
	}
	return at.Sub(f.options.Now())
}

// wakeAt is when the next check, the end of a deaf watch, or a change of the state
// is due; zero when nothing is.
func (f *Follower) wakeAt() time.Time {
	return earliest(f.checkAt(), f.staleness.giveUpAt(), f.state.dueAt())
}

// checkAt is when this node asks the store next; zero while it leaves it alone.
func (f *Follower) checkAt() time.Time {
	if f.refused {
		return time.Time{}
	}
	return f.staleness.checkAt(f.rank())
}

// earliest returns the first of some times; zero ones do not count.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, at := range times {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// rank is this node's place among those that are known, and sets the slot.
func (f *Follower) rank() int {
	nodes := f.options.Board.Nodes.Load()
	if nodes == nil || len(nodes.Nodes) == 0 {
		return 0
	}
	f.staleness.slot = f.options.share(rankShare) / time.Duration(len(nodes.Nodes))
	for i := range nodes.Nodes {
		if nodes.Nodes[i].ID == f.options.Self.ID {
			return i
		}
	}
	return len(nodes.Nodes)
}

// due does what the timer was set for.
func (f *Follower) due(ctx context.Context) error {
	now := f.options.Now()
	f.state.publish(now)
	if giveUp := f.staleness.giveUpAt(); !giveUp.IsZero() && !now.Before(giveUp) {
		return errBehind
	}
	if at := f.checkAt(); at.IsZero() || now.Before(at) {
		return nil
	}
	return f.check(ctx)
}

// check asks the store for its revision and tells the others.
func (f *Follower) check(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, f.options.share(askShare))
	defer cancel()
	asked := f.options.Now()
	var revision int64
	var err error
	f.ask(func() { _, _, revision, err = f.options.Store.Get(bounded, f.options.Keys.Configuration) })
	if err != nil {
		f.noteUnreachable(asked)
		return err
	}
	now := f.options.Now()
	f.heard(now)
	f.validity.claim(claim{revision: revision, at: asked}, f.staleness.known)
	f.confirm(now, asked, revision)
	f.options.Announcer.Send(announce.Announcement{Revision: revision, AgeMilliseconds: now.Sub(asked).Milliseconds()})
	return nil
}
