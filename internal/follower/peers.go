package follower

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/store"
)

// snapshot is what is known of the store, as of a confirmation.
type snapshot struct {
	revision    int64
	confirmedAt time.Time
	values      []store.KeyValue
}

// relaysPerBackoff is the number of other nodes that are watched in one pause.
const relaysPerBackoff = 2

// backOff lets a pause go by in which the store is not called: other nodes are
// watched, as the store may refuse this one alone.
func (f *Follower) backOff(ctx context.Context, pause time.Duration) {
	until := f.options.Now().Add(pause)
	bounded, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	f.backingOff = true
	defer func() { f.backingOff = false }()
	for try := range relaysPerBackoff {
		node, found := f.fallbackRelay(try)
		if f.staleness.applied == 0 || !found {
			break
		}
		f.staleness.restartGrace(f.options.Now())
		_ = f.watchSource(bounded, f.relaySource(node), f.staleness.applied) // it ends with the pause, or by that node's fault
		if bounded.Err() != nil {
			return
		}
		f.recordRelayFailures(f.relayFailures + 1)
	}
	f.readPeerSnapshot(bounded)
	f.waitForRetry(ctx, until.Sub(f.options.Now()))
}

// readPeerSnapshot takes over what another node knows, when that may be more: the
// store may refuse this node alone.
func (f *Follower) readPeerSnapshot(ctx context.Context) {
	asked := f.options.Now()
	current := f.staleness.applied >= f.staleness.confirmed && asked.Before(f.staleness.nextCheck(0))
	if f.options.PeerSnapshots == nil || current {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, f.options.fraction(callTimeoutFraction))
	defer cancel()
	var handed handover.Snapshot
	var err error
	f.handleEventsDuring(func() { handed, err = f.options.PeerSnapshots.Read(bounded) })
	if err != nil || handed.Revision < f.staleness.applied {
		return // the next attempt asks another one
	}
	now := f.options.Now()
	if handed.Revision > f.staleness.applied {
		f.options.Logger.Info("state taken over from another node", "revision", handed.Revision, "known_revision", f.staleness.applied, "age", handed.Age().String())
		f.replace(now, handed.Values, handed.Revision)
		f.state.publish(now)
		f.markApplied(handed.Revision)
		f.publishFeed()
	}
	f.validity.observe(observation{revision: handed.Revision, at: asked.Add(-handed.Age())}, f.staleness.applied)
	f.confirm(now, now.Add(-handed.Age()), handed.Revision)
	f.publishWindow()
}

// Snapshot returns what this node knows, for another node; known is false
// before the first reading.
func (f *Follower) Snapshot() (handed handover.Snapshot, known bool) {
	held := f.snapshot.Load()
	if held == nil {
		return handover.Snapshot{}, false
	}
	age := f.options.Now().Sub(held.confirmedAt).Milliseconds()
	return handover.Snapshot{Revision: held.revision, AgeMilliseconds: max(0, age), Values: held.values}, true
}

// AppliedRevision returns the store's revision up to which all is known, and when that was confirmed;
// zero before the first reading. It may be called from any goroutine.
func (f *Follower) AppliedRevision() (revision int64, confirmedAt time.Time) {
	held := f.snapshot.Load()
	if held == nil {
		return 0, time.Time{}
	}
	return held.revision, held.confirmedAt
}

// updateSnapshot notes what is known now, for other nodes.
func (f *Follower) updateSnapshot() {
	kept := &snapshot{revision: f.staleness.applied, confirmedAt: f.staleness.confirmedAt}
	if held := f.snapshot.Load(); held != nil && !f.state.valuesChanged {
		kept.values = held.values
	} else {
		kept.values = f.state.listValues()
	}
	f.state.valuesChanged = false
	f.snapshot.Store(kept)
}

// publishFeed tells those who watch this node what is known now, also while others are
// known to know more: while changes come without a pause, they always are.
func (f *Follower) publishFeed() {
	f.feed.Publish(f.staleness.applied, f.state.pendingEvents)
	f.state.pendingEvents = nil
}
