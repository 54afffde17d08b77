package follower

import (
	"context"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/store"
)

// startupDelay is how long a node that knows no peer in its zone waits for peers to register before
// it watches the store. Nodes that start together are then watched through one of them, which saves
// store calls.
const startupDelay = time.Second

// An initial listing without a configuration predates the first configuration and is repeated, at
// most maxInitialLists times. Stale lists are cheaper for the store than consistent ones.
const (
	maxInitialLists       = 8
	initialListRetryDelay = 300 * time.Millisecond
)

// initialSync lists everything once. The listing may be stale, as there is no newer state to revert
// and the watch that follows brings the rest, but it has to contain a configuration.
func (f *Follower) initialSync(ctx context.Context) error {
	values, revision, err := f.listWithTimeout(ctx, f.listStale)
	for attempt := 1; err == nil && !f.hasConfiguration(values); attempt++ {
		if attempt == maxInitialLists {
			values, revision, err = f.listWithTimeout(ctx, f.listAll)
			break
		}
		f.handleEventsDuring(func() { sleep(ctx, initialListRetryDelay) })
		values, revision, err = f.listWithTimeout(ctx, f.listStale)
	}
	if err != nil {
		return err
	}
	f.finishInitialSync(f.applyListing(values, revision), revision)
	f.waitForPeers(ctx)
	return nil
}

func (f *Follower) listStale(ctx context.Context) ([]store.KeyValue, int64, error) {
	return f.options.Store.ListStale(ctx, "")
}

func (f *Follower) hasConfiguration(values []store.KeyValue) bool {
	return slices.ContainsFunc(values, func(value store.KeyValue) bool { return value.Key == f.options.Keys.Configuration })
}

// finishInitialSync records the revision of the initial listing.
func (f *Follower) finishInitialSync(now time.Time, revision int64) {
	f.staleness.startFromStale(now, revision)
	f.validity.confirm(now) // possibly stale, but a watch follows at once and brings the rest
	f.publishWindow()
	f.publishFeed()
	f.updateSnapshot()
}

// waitForPeers gives the peers in this zone time to register if none is known, and then lists them.
// The watch that follows brings later changes.
func (f *Follower) waitForPeers(ctx context.Context) {
	if f.options.RelayClient == nil || f.knowsZonePeer() {
		return
	}
	f.handleEventsDuring(func() { sleep(ctx, startupDelay) })
	bounded, cancel := context.WithTimeout(ctx, f.options.fraction(callTimeoutFraction))
	defer cancel()
	var values []store.KeyValue
	var err error
	f.callStore(func() { values, _, err = f.options.Store.List(bounded, f.options.Keys.Nodes, 0) })
	if err != nil {
		f.options.Logger.Info("listing the nodes failed; watching the store", "error", err.Error())
		return
	}
	for _, value := range values {
		f.state.put(value)
	}
	f.state.publish(f.options.Now())
}

// knowsZonePeer reports whether another ready node of this zone is known.
func (f *Follower) knowsZonePeer() bool {
	nodes := f.options.Board.Nodes.Load()
	if nodes == nil {
		return false
	}
	for _, node := range directory.Watchers(nodes.Nodes, f.options.Self.Place, 2) {
		if !f.isSelf(node) {
			return true
		}
	}
	return false
}
