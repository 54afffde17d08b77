package follower

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/store"
)

// snapshot is the state of the store as of its last confirmation.
type snapshot struct {
	revision    int64
	confirmedAt time.Time
	values      []store.KeyValue
}

// relaysPerBackoff is the number of relays that are watched during one backoff.
const relaysPerBackoff = 2

// backOff waits without calling the store. Meanwhile it watches other nodes, as the store may be
// unavailable to this node only.
func (f *Follower) backOff(ctx context.Context, backoff time.Duration) {
	until := f.options.Now().Add(backoff)
	bounded, cancel := context.WithTimeout(ctx, backoff)
	defer cancel()
	f.backingOff = true
	defer func() { f.backingOff = false }()
	for attempt := range relaysPerBackoff {
		node, found := f.fallbackRelay(attempt)
		if f.staleness.applied == 0 || !found {
			break
		}
		f.staleness.restartGrace(f.options.Now())
		_ = f.watchSource(bounded, f.relaySource(node), f.staleness.applied) // ends with the backoff or the relay's failure
		if bounded.Err() != nil {
			return
		}
		f.recordRelayFailures(f.relayFailures + 1)
	}
	f.readPeerSnapshot(bounded)
	f.waitForRetry(ctx, until.Sub(f.options.Now()))
}

// readPeerSnapshot applies a peer's snapshot if this node may be behind, as the store may be
// unavailable to this node only.
func (f *Follower) readPeerSnapshot(ctx context.Context) {
	startedAt := f.options.Now()
	fresh := f.staleness.applied >= f.staleness.confirmed && startedAt.Before(f.staleness.nextCheck(0))
	if f.options.PeerSnapshots == nil || fresh {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, f.options.fraction(callTimeoutFraction))
	defer cancel()
	var received handover.Snapshot
	var err error
	f.handleEventsDuring(func() { received, err = f.options.PeerSnapshots.Read(bounded) })
	if err != nil || received.Revision < f.staleness.applied {
		return // the next attempt reads from another peer
	}
	now := f.options.Now()
	if received.Revision > f.staleness.applied {
		f.options.Logger.Info("state taken over from another node", "revision", received.Revision, "known_revision", f.staleness.applied, "age", received.Age().String())
		f.replace(now, received.Values, received.Revision)
		f.state.publish(now)
		f.markApplied(received.Revision)
		f.publishFeed()
	}
	f.validity.observe(observation{revision: received.Revision, at: startedAt.Add(-received.Age())}, f.staleness.applied)
	f.confirm(now, now.Add(-received.Age()), received.Revision)
	f.publishWindow()
}

// Snapshot returns this node's state of the store for peers; known is false before the first
// listing.
func (f *Follower) Snapshot() (latest handover.Snapshot, known bool) {
	current := f.snapshot.Load()
	if current == nil {
		return handover.Snapshot{}, false
	}
	age := f.options.Now().Sub(current.confirmedAt).Milliseconds()
	return handover.Snapshot{Revision: current.revision, AgeMilliseconds: max(0, age), Values: current.values}, true
}

// AppliedRevision returns the store's revision up to which all changes are applied, and when that
// was confirmed; zero before the first listing. It is safe for concurrent use.
func (f *Follower) AppliedRevision() (revision int64, confirmedAt time.Time) {
	current := f.snapshot.Load()
	if current == nil {
		return 0, time.Time{}
	}
	return current.revision, current.confirmedAt
}

// updateSnapshot updates the snapshot for peers.
func (f *Follower) updateSnapshot() {
	next := &snapshot{revision: f.staleness.applied, confirmedAt: f.staleness.confirmedAt}
	if current := f.snapshot.Load(); current != nil && !f.state.valuesChanged {
		next.values = current.values
	} else {
		next.values = f.state.listValues()
	}
	f.state.valuesChanged = false
	f.snapshot.Store(next)
}

// publishFeed publishes pending events to the peers that watch this node. It does so even while
// higher revisions have been announced, as is always the case under continuous changes.
func (f *Follower) publishFeed() {
	f.feed.Publish(f.staleness.applied, f.state.pendingEvents)
	f.state.pendingEvents = nil
}
