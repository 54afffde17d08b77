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

// errWatchLagging ends a watch that has not delivered revisions announced by peers.
var errWatchLagging = eris.New("watch lags behind an announced revision")

// watch follows the changes after a revision, switching between sources as needed, until a watch
// fails.
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

// canSwitchSource reports whether watching can go on with another source. The store keeps its
// history for a while, so that the failure of a relay does not require a full listing.
func (f *Follower) canSwitchSource(from source, err error) bool {
	switch {
	case errors.Is(err, errSourceChanged):
		return true
	case !from.node.IsValid():
		return false
	case errors.Is(err, errWatchLagging):
		f.recordRelayFailures(maxRelayFailures) // the relay's source is lagging as well
		f.relayLagged = true
		f.staleness.restartGrace(f.options.Now())
	case errors.Is(err, relay.ErrRevisionUnavailable):
		f.needsStoreWatch = true
	case errors.Is(err, relay.ErrNoResponse):
		f.handleUnresponsiveRelay(from)
	case errors.Is(err, relay.ErrWatchEnded):
		f.recordRelayFailures(f.relayFailures + 1)
	default:
		return false
	}
	f.options.Logger.Info("no longer watching that node", "address", from.node.String(), "reason", err.Error())
	return true
}

// watchSource watches one source, and checks the store's revision when due.
func (f *Follower) watchSource(ctx context.Context, from source, revision int64) error {
	startedAt := f.options.Now()
	watchCtx, cancel := context.WithCancel(ctx)
	batches, ended := make(chan store.WatchBatch), make(chan error, 1)
	go func() {
		ended <- from.watch(watchCtx, revision+1, func(batch store.WatchBatch) error {
			select {
			case batches <- batch:
			case <-watchCtx.Done():
				return watchCtx.Err()
			}
			if len(batch.Events) > 0 && !batch.Relayed { // a relay has already batched them
				sleep(watchCtx, f.options.fraction(batchFraction))
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
				f.recordUnreachable(startedAt)
			}
			return err
		case batch := <-batches:
			f.consecutiveUnresponsive = 0
			f.handleBatch(batch)
		case announcement := <-f.options.Announcer.Received():
			f.handleAnnouncement(announcement)
		case suspicions := <-f.suspected:
			f.handleSuspicions(suspicions)
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

// watchGrace returns how long a watch may lag behind an announced revision.
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

// eraGrace returns how long a watch may lag behind an announced revision of a later era. The
// store's watch cannot deliver a new era, while a relay lists everything first.
func (f *Follower) eraGrace(from source) time.Duration {
	if from.node.IsValid() {
		return f.watchGrace(from)
	}
	return 0
}

// idleWait is how long to wait when nothing is due.
const idleWait = time.Hour

// untilNextWake returns the time until something is due.
func (f *Follower) untilNextWake() time.Duration {
	at := f.nextWake()
	if at.IsZero() {
		return idleWait
	}
	return at.Sub(f.options.Now())
}

// nextWake returns when the next check, watch deadline, or change of state is due; zero when
// nothing is.
func (f *Follower) nextWake() time.Time {
	return earliest(f.nextCheck(), f.staleness.watchDeadline(), f.state.nextDeadline())
}

// nextCheck returns when this node checks the store's revision next; zero while it backs off.
func (f *Follower) nextCheck() time.Time {
	if f.backingOff {
		return time.Time{}
	}
	return f.staleness.nextCheck(f.rank())
}

// earliest returns the earliest of the non-zero times; zero if there is none.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, at := range times {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// rank returns this node's position among the known nodes, and sets the delay per rank.
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

// handleTimer does what is due.
func (f *Follower) handleTimer(ctx context.Context) error {
	now := f.options.Now()
	f.state.publish(now)
	if deadline := f.staleness.watchDeadline(); !deadline.IsZero() && !now.Before(deadline) {
		return errWatchLagging
	}
	if checkAt := f.nextCheck(); checkAt.IsZero() || now.Before(checkAt) {
		return nil
	}
	return f.checkRevision(ctx)
}

// checkRevision queries the store's revision and announces it to peers.
func (f *Follower) checkRevision(ctx context.Context) error {
	bounded, cancel := f.options.WithTimeout(ctx, f.options.fraction(callTimeoutFraction))
	defer cancel()
	calledAt := f.options.Now()
	var revision int64
	var err error
	f.callStore(func() { _, _, revision, err = f.options.Store.Get(bounded, f.options.Keys.Configuration) })
	if err != nil {
		f.recordUnreachable(calledAt)
		return err
	}
	now := f.options.Now()
	f.recordResponse(now)
	f.validity.observe(observation{revision: revision, at: calledAt}, f.staleness.applied)
	f.confirm(now, calledAt, revision)
	f.options.Announcer.Send(announce.Announcement{Revision: revision, AgeMilliseconds: now.Sub(calledAt).Milliseconds()})
	return nil
}
