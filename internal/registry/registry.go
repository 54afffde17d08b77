// Package registry records this node in the store under a lease, so that the
// other nodes know it and name it to callers while it lives.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
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

// Config is what a Registry is made of. Zero values of the last ones take defaults.
type Config struct {
	Store Store
	// Key is where this node's entry lies.
	Key string
	// Node returns the entry as it should be now.
	Node func() topology.Node
	// Listed tells whether the entry is among those that this node knows of; nil means
	// that it is. The lease of one that is not may have lapsed before its time.
	Listed func() bool
	// Era returns the store's era as far as it is known; nil means that it never changes. A
	// lease of an earlier era is gone, or another caller's by now, and so is the entry.
	Era func() int64
	// TTL is how long the entry outlives the node.
	TTL    time.Duration
	Logger *slog.Logger
	Now    func() time.Time
}

// Registry keeps one entry; Run starts it.
type Registry struct {
	config Config
	lease  store.Lease
	// era is the store's when the lease was granted.
	era int64
	// renewedAt is when the lease was granted or renewed last.
	renewedAt time.Time
	// recorded is what the entry holds, if it is there.
	recorded topology.Node
	// checkedAt is when the entry was written, or its lease last checked since it is
	// not listed.
	checkedAt time.Time
	failing   bool
	// retryAt is when a call that has failed may be made again, after pause.
	retryAt time.Time
	pause   time.Duration
}

// New makes a Registry.
func New(config Config) *Registry {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Listed == nil {
		config.Listed = func() bool { return true }
	}
	if config.Era == nil {
		config.Era = func() int64 { return 0 }
	}
	return &Registry{config: config}
}

const (
	// renewals is how often a lease is renewed in its time.
	renewals = 3
	// looks is how often in that time the node is compared with its entry, but at least
	// each longestLook.
	looks       = 9
	longestLook = time.Second
	// firstPause and longestPause bound the time after which a call that has failed is
	// made again, which doubles: calls that the store refuses are priced and counted
	// against its rate as well.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// listedWait is how long after it was written, or its lease was checked, an entry
	// may be missing among those that are known: news takes a while.
	listedWait = 3 * time.Second
	// eraSpread is the time over which all nodes record themselves anew when the store has
	// come back from a copy. 2,700 nodes make 5,400 writes; those of its calls that the
	// store refuses are made again with pauses.
	eraSpread = 4 * time.Second
	// readyWait is for how long a node that has just started is not recorded while
	// it is not ready: one entry that says so is enough.
	readyWait = time.Second
	// readyPause is the time between two looks then.
	readyPause = 20 * time.Millisecond
)

// Run keeps the entry until ctx ends, and returns nil then.
func (r *Registry) Run(ctx context.Context) error {
	r.awaitReady(ctx)
	ticker := time.NewTicker(min(r.config.TTL/looks, longestLook))
	defer ticker.Stop()
	for {
		r.attempt(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// attempt renews, unless a call has failed a short while ago.
func (r *Registry) attempt(ctx context.Context) {
	r.noteEra()
	if r.config.Now().Before(r.retryAt) {
		return
	}
	err := r.renew(ctx)
	r.note(err)
	if err == nil {
		r.pause, r.retryAt = 0, time.Time{}
		return
	}
	r.pause = min(max(firstPause, 2*r.pause), longestPause)
	jittered := r.pause/2 + rand.N(r.pause)
	r.retryAt = r.config.Now().Add(jittered)
}

// noteEra gives up a lease of an earlier era of the store. Its number may be another caller's:
// it is neither renewed nor ended.
func (r *Registry) noteEra() {
	era := r.config.Era()
	if r.lease == 0 || era <= r.era {
		return
	}
	r.lease, r.era = 0, era
	r.retryAt = r.config.Now().Add(rand.N(eraSpread))
	r.config.Logger.Info("this node's entry is written anew, as the store has come back from a copy", "era", era)
}

// awaitReady lets a node that has just started become ready first.
func (r *Registry) awaitReady(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	ticker := time.NewTicker(readyPause)
	defer ticker.Stop()
	for !r.config.Node().Ready {
		select {
		case <-bounded.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew makes the entry what it should be.
func (r *Registry) renew(ctx context.Context) error {
	wanted := r.config.Node()
	if r.lease != 0 && (r.config.Now().Sub(r.renewedAt) >= r.config.TTL/renewals || r.missing()) {
		r.checkedAt = r.config.Now()
		asked := r.config.Now()
		err := r.config.Store.KeepAlive(ctx, r.lease)
		if errors.Is(err, store.ErrLeaseNotFound) {
			r.lease = 0
		} else if err != nil {
			return err
		} else {
			r.renewedAt = asked
		}
	}
	if r.lease != 0 && wanted == r.recorded {
		return nil
	}
	if r.lease == 0 {
		asked, era := r.config.Now(), r.config.Era()
		granted, err := r.config.Store.Grant(ctx, r.config.TTL)
		if err != nil {
			return err
		}
		r.lease, r.era, r.renewedAt = granted, era, asked
	}
	return r.record(ctx, wanted)
}

// missing tells whether the entry should be listed and is not.
func (r *Registry) missing() bool {
	return !r.config.Listed() && r.config.Now().Sub(r.checkedAt) >= listedWait
}

// record writes the entry. The write has no condition: the entry is this
// node's alone, and writing it twice does no harm.
func (r *Registry) record(ctx context.Context, node topology.Node) error {
	value, err := json.Marshal(node)
	if err != nil {
		return eris.Wrap(err, "encode the entry")
	}
	_, err = r.config.Store.Commit(ctx, store.Transaction{
		Writes: []store.Write{{Key: r.config.Key, Value: value, Lease: r.lease}},
	})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease = 0
	}
	if err == nil {
		r.recorded, r.checkedAt = node, r.config.Now()
	}
	return err
}

func (r *Registry) note(err error) {
	if failing := err != nil; failing != r.failing {
		r.failing = failing
		if failing {
			r.config.Logger.Warn("this node's entry cannot be renewed", "error", err.Error())
		} else {
			r.config.Logger.Info("this node's entry is recorded")
		}
	}
}

// Deregister removes the entry at once. Run must have ended.
func (r *Registry) Deregister(ctx context.Context) error {
	if r.lease == 0 || r.config.Era() > r.era {
		return nil
	}
	return eris.Wrap(r.config.Store.Revoke(ctx, r.lease), "remove this node's entry")
}
