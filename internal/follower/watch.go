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

// errWatchLagging ends a watch that has not told what other nodes know.
var errWatchLagging = eris.New("the watch has missed news")

// watch follows the changes after a revision until that fails, from one source
// or, as the nodes come and go, from several in turn.
func (f *Follower) watch(ctx context.Context, revision int64) error {
	for {
		from := f.chooseSource()
		err := f.watchSource(ctx, from, revision)
		if !f.canSwitchSource(from, err) {
			return err
		}
		revision = f.staleness.applied
	}
}

// canSwitchSource tells whether another source can be watched from where one has ended. The
// store keeps its history for a while, so that nothing has to be read anew because
// another node could not tell of it.
func (f *Follower) canSwitchSource(from source, err error) bool {
	switch {
	case errors.Is(err, errSourceChanged):
		return true
	case !from.node.IsValid():
		return false
	case errors.Is(err, errWatchLagging):
		f.recordRelayFailures(maxRelayFailures) // whoever watches the store is behind as well
		f.relayLagged = true
		f.staleness.restartGrace(f.options.Now())
	case errors.Is(err, relay.ErrForgotten):
		f.needsStoreWatch = true
	case errors.Is(err, relay.ErrSilent):
		f.handleSilentRelay(from)
	case errors.Is(err, relay.ErrBroken):
		f.recordRelayFailures(f.relayFailures + 1)
	default:
		return false
	}
	f.options.Logger.Info("no longer watching that node", "address", from.node.String(), "reason", err.Error())
	return true
}

// watchSource runs a watch of one source beside the checks.
func (f *Follower) watchSource(ctx context.Context, from source, revision int64) error {
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
				sleep(watching, f.options.fraction(batchFraction))
			}
			return nil
		})
	}()
	defer cancel()
	f.staleness.grace, f.staleness.eraGrace = f.watchGrace(from), f.eraGrace(from)
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(f.untilNextWake())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			if !from.node.IsValid() {
				f.recordUnreachable(began)
			}
			return err
		case batch := <-batches:
			f.consecutiveSilent = 0
			f.handleBatch(batch)
		case news := <-f.options.Announcer.Received():
			f.handleAnnouncement(news)
		case found := <-f.suspected:
			f.handleSuspicions(found)
		case <-f.refreshRequested:
			if err := f.refresh(ctx); err != nil {
				return err
			}
		case <-timer.C:
			if err := f.handleTimer(ctx); err != nil {
				return err
			}
		}
		f.publishWindow()
		if f.shouldSwitch(from) {
			return errSourceChanged
		}
	}
}

// watchGrace is what a watch may take to tell what others know already.
func (f *Follower) watchGrace(from source) time.Duration {
	switch {
	case f.refreshing:
		return 0
	case from.node.IsValid():
		return f.options.fraction(graceFraction + relayGraceFraction)
	case f.relayLagged:
		return f.options.fraction(callTimeoutFraction)
	default:
		return f.options.fraction(graceFraction)
	}
}

// eraGrace is what a watch may take to tell what others know of a later era of the store.
// The store's own watch cannot tell it; a node that is watched reads everything first.
func (f *Follower) eraGrace(from source) time.Duration {
	if from.node.IsValid() {
		return f.watchGrace(from)
	}
	return 0
}

// idleWait is how long is waited when nothing is due.
const idleWait = time.Hour

// untilNextWake is the time until something is due.
func (f *Follower) untilNextWake() time.Duration {
	at := f.nextWake()
	if at.IsZero() {
		return idleWait
	}
	return at.Sub(f.options.Now())
}

// nextWake is when the next check, the end of a deaf watch, or a change of the state
// is due; zero when nothing is.
func (f *Follower) nextWake() time.Time {
	return earliest(f.nextCheck(), f.staleness.watchDeadline(), f.state.nextDeadline())
}

// nextCheck is when this node asks the store next; zero while it leaves it alone.
func (f *Follower) nextCheck() time.Time {
	if f.backingOff {
		return time.Time{}
	}
	return f.staleness.nextCheck(f.rank())
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
	f.staleness.rankDelay = f.options.fraction(rankFraction) / time.Duration(len(nodes.Nodes))
	for i := range nodes.Nodes {
		if nodes.Nodes[i].ID == f.options.Self.ID {
			return i
		}
	}
	return len(nodes.Nodes)
}

// handleTimer does what the timer was set for.
func (f *Follower) handleTimer(ctx context.Context) error {
	now := f.options.Now()
	f.state.publish(now)
	if giveUp := f.staleness.watchDeadline(); !giveUp.IsZero() && !now.Before(giveUp) {
		return errWatchLagging
	}
	if at := f.nextCheck(); at.IsZero() || now.Before(at) {
		return nil
	}
	return f.checkRevision(ctx)
}

// checkRevision asks the store for its revision and tells the others.
func (f *Follower) checkRevision(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, f.options.fraction(callTimeoutFraction))
	defer cancel()
	asked := f.options.Now()
	var revision int64
	var err error
	f.callStore(func() { _, _, revision, err = f.options.Store.Get(bounded, f.options.Keys.Configuration) })
	if err != nil {
		f.recordUnreachable(asked)
		return err
	}
	now := f.options.Now()
	f.recordResponse(now)
	f.validity.observe(observation{revision: revision, at: asked}, f.staleness.applied)
	f.confirm(now, asked, revision)
	f.options.Announcer.Send(announce.Announcement{Revision: revision, AgeMilliseconds: now.Sub(asked).Milliseconds()})
	return nil
}
