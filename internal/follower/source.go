package follower

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	// relayTries is the number of other nodes that are watched, one after the
	// other, before the store is watched itself.
	relayTries = 2
	// relayPause is how long after that other nodes are tried again.
	relayPause = 30 * time.Second
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
	node, found := f.watchedNode()
	if !found {
		return source{watch: func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error {
			return f.options.Source.Watch(ctx, "", fromRevision, deliver)
		}}
	}
	f.options.Logger.Info("watching another node in place of the store", "address", node.String(), "revision", f.staleness.known)
	return source{node: node, watch: func(ctx context.Context, fromRevision int64, deliver func(store.WatchBatch) error) error {
		return f.options.Relays.Watch(ctx, node, fromRevision, deliver)
	}}
}

// watchedNode returns the state address of the node to watch; found is false
// when this node watches the store.
func (f *Follower) watchedNode() (address netip.AddrPort, found bool) {
	nodes := f.options.Board.Nodes.Load()
	if f.options.Relays == nil || nodes == nil || f.relaysFailed >= relayTries {
		return netip.AddrPort{}, false
	}
	watchers := directory.Watchers(nodes.Nodes, f.options.Self.Place, f.options.EntryNodes)
	if len(watchers) == 0 {
		return netip.AddrPort{}, false
	}
	for _, node := range watchers {
		if node.ID == f.options.Self.ID {
			return netip.AddrPort{}, false
		}
	}
	first := int(xxhash.Sum64String(f.options.Self.ID) % uint64(len(watchers)))
	chosen := watchers[(first+f.relaysFailed)%len(watchers)]
	address, err := netip.ParseAddrPort(chosen.StateAddress)
	return address, err == nil
}

// mayChange tells whether a watch of the store should give way to one of
// another node.
func (f *Follower) mayChange(from source) bool {
	if f.relaysFailed > 0 && f.options.Now().Sub(f.relayFailedAt) >= relayPause {
		f.relaysFailed = 0
	}
	if from.node.IsValid() {
		return false
	}
	_, found := f.watchedNode()
	return found
}

// noteFailed counts a watch that has failed by another node's fault, or that was
// behind.
func (f *Follower) noteFailed(err error) {
	if f.options.Relays != nil && (errors.Is(err, relay.ErrBroken) || errors.Is(err, errBehind)) {
		f.relaysFailed++
		f.relayFailedAt = f.options.Now()
	}
}
