package follower

import (
	"context"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/store"
)

// startupDelay is how long a node that knows no other of its zone waits for them to
// record themselves before it watches the store: nodes that start together are all
// recorded within it, and each watch of the store is told of each of them.
const startupDelay = time.Second

// maxInitialLists is how often a first reading without a configuration is made again,
// with a pause of initialListRetryDelay. Such a reading is from before the first
// configuration, as all machines start for the first time; each costs a tenth of one
// that is not stale.
const (
	maxInitialLists       = 8
	initialListRetryDelay = 300 * time.Millisecond
)

// initialSync makes the first reading, which may be old: nothing is known that it could
// take back, and the watch brings the rest at once. It must not be so old that there
// was no configuration yet.
func (f *Follower) initialSync(ctx context.Context) error {
	values, revision, err := f.listWithTimeout(ctx, f.listStale)
	for try := 1; err == nil && !f.hasConfiguration(values); try++ {
		if try == maxInitialLists {
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

// finishInitialSync notes what the first reading has told.
func (f *Follower) finishInitialSync(now time.Time, revision int64) {
	f.staleness.startFromStale(now, revision)
	f.validity.confirm(now) // it may be old, but a watch begins at once and brings the rest
	f.publishWindow()
	f.publishFeed()
	f.updateSnapshot()
}

// waitForPeers waits for other nodes of this zone, where none is known, and reads who
// has recorded itself. Changes that come meanwhile are told by the watch that follows.
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
		f.options.Logger.Info("the other nodes are not known yet; watching the store", "error", err.Error())
		return
	}
	for _, value := range values {
		f.state.put(value)
	}
	f.state.publish(f.options.Now())
}

// knowsZonePeer tells whether another node of this zone is known and ready.
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
