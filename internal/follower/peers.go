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

// triesWithoutStore is the number of other nodes that are watched in one pause.
const triesWithoutStore = 2

// withoutStore lets a pause go by in which the store is not called: other nodes are
// watched, as the store may refuse this one alone.
func (f *Follower) withoutStore(ctx context.Context, pause time.Duration) {
	until := f.options.Now().Add(pause)
	bounded, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	f.refused = true
	defer func() { f.refused = false }()
	for try := range triesWithoutStore {
		node, found := f.anyNode(try)
		if f.staleness.known == 0 || !found {
			break
		}
		f.staleness.waitAnew(f.options.Now())
		_ = f.watchOne(bounded, f.nodeSource(node), f.staleness.known) // it ends with the pause, or by that node's fault
		if bounded.Err() != nil {
			return
		}
		f.noteFailed(f.relaysFailed + 1)
	}
	f.askOthers(bounded)
	f.wait(ctx, until.Sub(f.options.Now()))
}

// askOthers takes over what another node knows, when that may be more: the
// store may refuse this node alone.
func (f *Follower) askOthers(ctx context.Context) {
	asked := f.options.Now()
	current := f.staleness.known >= f.staleness.confirmed && asked.Before(f.staleness.checkAt(0))
	if f.options.PeerSnapshots == nil || current {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, f.options.share(askShare))
	defer cancel()
	var handed handover.Snapshot
	var err error
	f.attend(func() { handed, err = f.options.PeerSnapshots.Read(bounded) })
	if err != nil || handed.Revision < f.staleness.known {
		return // the next attempt asks another one
	}
	now := f.options.Now()
	if handed.Revision > f.staleness.known {
		f.options.Logger.Info("state taken over from another node", "revision", handed.Revision, "known_revision", f.staleness.known, "age", handed.Age().String())
		f.replace(now, handed.Values, handed.Revision)
		f.state.publish(now)
		f.know(handed.Revision)
		f.feedOthers()
	}
	f.validity.claim(claim{revision: handed.Revision, at: asked.Add(-handed.Age())}, f.staleness.known)
	f.confirm(now, now.Add(-handed.Age()), handed.Revision)
	f.allow()
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

// keepSnapshot notes what is known now, for other nodes.
func (f *Follower) keepSnapshot() {
	kept := &snapshot{revision: f.staleness.known, confirmedAt: f.staleness.confirmedAt}
	if held := f.snapshot.Load(); held != nil && !f.state.valuesChanged {
		kept.values = held.values
	} else {
		kept.values = f.state.list()
	}
	f.state.valuesChanged = false
	f.snapshot.Store(kept)
}

// feedOthers tells those who watch this node what is known now, also while others are
// known to know more: while changes come without a pause, they always are.
func (f *Follower) feedOthers() {
	f.feed.Publish(f.staleness.known, f.state.unpublished)
	f.state.unpublished = nil
}
