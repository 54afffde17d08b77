// Package registry records this node in the store under a lease, so that the
// other nodes know it and name it to callers while it lives.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Store is the part of the store that a Registry writes.
type Store interface {
	store.Committer
	store.Leaser
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease store.Lease) error
}

// Options are what a Registry needs.
type Options struct {
	Store Store
	// Key is where this node's entry lies.
	Key string
	// Node returns the entry as it should be now.
	Node func() topology.Node
	// TTL is how long the entry outlives the node.
	TTL    time.Duration
	Logger *slog.Logger
}

// Registry keeps one entry; Run starts it.
type Registry struct {
	options Options
	lease   store.Lease
	// recorded is what the entry holds, if it is there.
	recorded topology.Node
	failing  bool
}

// New makes a Registry.
func New(options Options) *Registry {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Registry{options: options}
}

// renewals is how often a lease is renewed in its time.
const renewals = 3

// Run keeps the entry until ctx ends, and returns nil then.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.TTL / renewals)
	defer ticker.Stop()
	for {
		r.note(r.renew(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// renew makes the entry what it should be.
func (r *Registry) renew(ctx context.Context) error {
	wanted := r.options.Node()
	if r.lease != 0 {
		err := r.options.Store.KeepAlive(ctx, r.lease)
		if errors.Is(err, store.ErrLeaseNotFound) {
			r.lease = 0
		} else if err != nil {
			return err
		}
	}
	if r.lease != 0 && wanted == r.recorded {
		return nil
	}
	if r.lease == 0 {
		granted, err := r.options.Store.Grant(ctx, r.options.TTL)
		if err != nil {
			return err
		}
		r.lease = granted
	}
	return r.record(ctx, wanted)
}

// record writes the entry. The write has no condition: the entry is this
// node's alone, and writing it twice does no harm.
func (r *Registry) record(ctx context.Context, node topology.Node) error {
	value, err := json.Marshal(node)
	if err != nil {
		return eris.Wrap(err, "encode the entry")
	}
	_, err = r.options.Store.Commit(ctx, store.Transaction{
		Writes: []store.Write{{Key: r.options.Key, Value: value, Lease: r.lease}},
	})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease = 0
	}
	if err == nil {
		r.recorded = node
	}
	return err
}

func (r *Registry) note(err error) {
	if failing := err != nil; failing != r.failing {
		r.failing = failing
		if failing {
			r.options.Logger.Warn("this node's entry cannot be renewed", "error", err.Error())
		} else {
			r.options.Logger.Info("this node's entry is recorded")
		}
	}
}

// Leave removes the entry at once. Run must have ended.
func (r *Registry) Leave(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	return eris.Wrap(r.options.Store.Revoke(ctx, r.lease), "remove this node's entry")
}
