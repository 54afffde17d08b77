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
	// watchers is the number of nodes of each zone that watch the store. Another one
	// takes over as soon as those who watch it miss something.
	watchers = 1
	// relayTries is the number of other nodes that are watched, one after the
	// other, before the store is watched itself.
	relayTries = 1
	// relayPause is how long after that other nodes are tried again.
	relayPause = 5 * time.Second
)

// errOtherSource ends a watch when another source is to be watched.
var errOtherSource = eris.New("another source is to be watched")

// source is what a follower watches: the store, or another node.
type source struct {
	// node is the state address of another node, and not valid for the store.
	node  netip.AddrPort
	watch func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error
}

// Feed serves the changes that this node knows to those that watch it.
func (f *Follower) Feed() http.Handler { return &f.feed }

// chooseSource returns what to watch: the store for the few nodes of each zone
// that watch it, and for a node that has tried others in vain; one of those for
// all the rest.
func (f *Follower) chooseSource() source {
	if node, found := f.watchedNode(); found {
		return f.nodeSource(node)
	}
	return source{watch: func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error {
		return f.options.Store.Watch(ctx, "", fromRevision, deliver)
	}}
}

func (f *Follower) nodeSource(node netip.AddrPort) source {
	f.options.Logger.Info("watching another node in place of the store", "address", node.String(), "revision", f.staleness.known)
	return source{node: node, watch: func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error {
		return f.options.RelayClient.Watch(ctx, node, fromRevision, deliver)
	}}
}

// watchedNode returns the state address of the node to watch; found is false
// when this node watches the store.
func (f *Follower) watchedNode() (address netip.AddrPort, found bool) {
	nodes := f.options.Board.Nodes.Load()
	if f.options.RelayClient == nil || nodes == nil || f.needsStore || f.relaysFailed >= relayTries {
		return netip.AddrPort{}, false
	}
	watching := directory.Watchers(nodes.Nodes, f.options.Self.Place, watchers)
	if slices.ContainsFunc(watching, f.isSelf) {
		return netip.AddrPort{}, false
	}
	return f.pick(watching)
}

// anyNode returns the state address of a node that may hear from the store while
// this one does not: another one at each call, of its own zone first.
func (f *Follower) anyNode(try int) (address netip.AddrPort, found bool) {
	nodes := f.options.Board.Nodes.Load()
	if f.options.RelayClient == nil || nodes == nil {
		return netip.AddrPort{}, false
	}
	candidates := directory.Watchers(nodes.Nodes, f.options.Self.Place, watchers)
	if try > 0 || len(candidates) == 0 || slices.ContainsFunc(candidates, f.isSelf) {
		candidates = slices.Clone(nodes.EntryNodes)
	}
	candidates = slices.DeleteFunc(candidates, f.isSelf)
	return f.pick(candidates)
}

func (f *Follower) isSelf(node topology.Node) bool { return node.ID == f.options.Self.ID }

// pick returns the state address of one of some nodes: each node begins with
// another one, and goes on to the next with each that has failed.
func (f *Follower) pick(nodes []topology.Node) (address netip.AddrPort, found bool) {
	if len(nodes) == 0 {
		return netip.AddrPort{}, false
	}
	first := int(xxhash.Sum64String(f.options.Self.ID) % uint64(len(nodes)))
	chosen := nodes[(first+f.relaysFailed)%len(nodes)]
	address, err := netip.ParseAddrPort(chosen.StateAddress)
	return address, err == nil
}

// mayChange tells whether a watch should give way to another one: that of the store
// to one of another node, and that of another node to the store's where this node has
// become the one that watches it for its zone. Otherwise a node that starts anew would
// watch the one that stood in for it, and that one it.
func (f *Follower) mayChange(from source) bool {
	if f.relaysFailed > 0 && f.options.Now().Sub(f.relayFailedAt) >= relayPause {
		f.relaysFailed = 0
	}
	if from.node.IsValid() {
		return !f.refused && f.isWatcher()
	}
	_, found := f.watchedNode()
	return found
}

// isWatcher tells whether this node is one that watches the store for its zone.
func (f *Follower) isWatcher() bool {
	nodes := f.options.Board.Nodes.Load()
	return nodes != nil && slices.ContainsFunc(directory.Watchers(nodes.Nodes, f.options.Self.Place, watchers), f.isSelf)
}

// noteFailed notes that so many other nodes have been watched in vain.
func (f *Follower) noteFailed(nodes int) {
	f.relaysFailed, f.relayFailedAt = nodes, f.options.Now()
}
