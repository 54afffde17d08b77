package follower

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// watchersPerZone is the number of nodes per zone that watch the store. When one fails, the
	// next takes over as soon as those who watch it notice.
	watchersPerZone = 1
	// maxRelayFailures is the number of relays that may fail before the node watches the store
	// itself.
	maxRelayFailures = 1
	// relayRetryDelay is how long after a failure relays are tried again.
	relayRetryDelay = 5 * time.Second
)

// errSourceChanged ends a watch when another source should be watched.
var errSourceChanged = eris.New("watch source changed")

// source is what a follower watches: the store, or another node as a relay.
type source struct {
	// node is the relay's state address; invalid for the store.
	node  netip.AddrPort
	watch func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error
}

// Feed returns the handler that serves this node's changes to peers that watch it.
func (f *Follower) Feed() http.Handler { return &f.feed }

// chooseSource returns the source to watch: the store for the zone watchers and after relay
// failures, otherwise a relay.
func (f *Follower) chooseSource() source {
	if node, found := f.zoneRelay(); found {
		return f.relaySource(node)
	}
	return source{watch: func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error {
		return f.options.Store.Watch(ctx, "", fromRevision, deliver)
	}}
}

func (f *Follower) relaySource(node netip.AddrPort) source {
	f.options.Logger.Info("watching another node in place of the store", "address", node.String(), "revision", f.staleness.applied)
	return source{node: node, watch: func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error {
		return f.options.RelayClient.Watch(ctx, node, fromRevision, deliver)
	}}
}

// zoneRelay returns the state address of the relay to watch; found is false when this node should
// watch the store.
func (f *Follower) zoneRelay() (address netip.AddrPort, found bool) {
	nodes := f.options.Board.Nodes.Load()
	if f.options.RelayClient == nil || nodes == nil || f.needsStoreWatch || f.relayFailures >= maxRelayFailures {
		return netip.AddrPort{}, false
	}
	watchers := directory.Watchers(nodes.Nodes, f.options.Self.Place, watchersPerZone)
	if slices.ContainsFunc(watchers, f.isSelf) {
		return netip.AddrPort{}, false
	}
	return f.pick(watchers)
}

// fallbackRelay returns the state address of a node that may still receive changes while the store
// is unavailable to this one. The first attempt prefers nodes of the same zone.
func (f *Follower) fallbackRelay(attempt int) (address netip.AddrPort, found bool) {
	nodes := f.options.Board.Nodes.Load()
	if f.options.RelayClient == nil || nodes == nil {
		return netip.AddrPort{}, false
	}
	candidates := directory.Watchers(nodes.Nodes, f.options.Self.Place, watchersPerZone)
	if attempt > 0 || len(candidates) == 0 || slices.ContainsFunc(candidates, f.isSelf) {
		candidates = slices.Clone(nodes.EntryNodes)
	}
	candidates = slices.DeleteFunc(candidates, f.isSelf)
	return f.pick(candidates)
}

func (f *Follower) isSelf(node topology.Node) bool { return node.ID == f.options.Self.ID }

// pick returns the state address of one of the nodes. The choice is spread by the node's own ID and
// moves on with each failure.
func (f *Follower) pick(nodes []topology.Node) (address netip.AddrPort, found bool) {
	if len(nodes) == 0 {
		return netip.AddrPort{}, false
	}
	first := int(xxhash.Sum64String(f.options.Self.ID) % uint64(len(nodes)))
	chosen := nodes[(first+f.relayFailures)%len(nodes)]
	address, err := netip.ParseAddrPort(chosen.StateAddress)
	return address, err == nil
}

// shouldSwitch reports whether a watch should end in favor of another source: a watch of the store
// when a relay is available, and a watch of a relay when this node has become a zone watcher.
// Otherwise a restarted node and the one that replaced it would watch each other.
func (f *Follower) shouldSwitch(from source) bool {
	if f.relayFailures > 0 && f.options.Now().Sub(f.lastRelayFailure) >= relayRetryDelay {
		f.relayFailures = 0
	}
	if from.node.IsValid() {
		return !f.backingOff && f.isZoneWatcher()
	}
	_, found := f.zoneRelay()
	return found
}

// isZoneWatcher reports whether this node watches the store for its zone.
func (f *Follower) isZoneWatcher() bool {
	nodes := f.options.Board.Nodes.Load()
	return nodes != nil && slices.ContainsFunc(directory.Watchers(nodes.Nodes, f.options.Self.Place, watchersPerZone), f.isSelf)
}

// recordRelayFailures records the number of recent relay failures.
func (f *Follower) recordRelayFailures(count int) {
	f.relayFailures, f.lastRelayFailure = count, f.options.Now()
}
