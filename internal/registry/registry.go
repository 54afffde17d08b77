// Package registry registers this node in the store under a lease, so that other nodes
// discover it and include it in the directory for callers.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Store is the subset of the store's operations that a Registry uses.
type Store interface {
	store.Committer
	store.Leaser
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease store.Lease) error
}

// Config configures a Registry. Listed, Era, Logger and Now are optional.
type Config struct {
	Store Store
	// Key is the store key of this node's entry.
	Key string
	// Node returns the current content of the entry.
	Node func() topology.Node
	// Listed reports whether this node has seen its own entry in the store; nil means that it
	// has. If not, the lease may have expired early and is checked.
	Listed func() bool
	// Era returns the last known era of the store, which increases when the store is restored
	// from a backup; nil means that it never changes. A lease of an earlier era no longer
	// exists or belongs to another client.
	Era func() int64
	// TTL is the duration of the lease, and the time after which the entry of a crashed node
	// is deleted.
	TTL    time.Duration
	Logger *slog.Logger
	Now    func() time.Time
}

// Registry maintains this node's entry. Use Run to start it.
type Registry struct {
	config Config
	lease  store.Lease
	// era is the era of the store in which the lease was granted.
	era int64
	// renewedAt is when the lease was last granted or renewed.
	renewedAt time.Time
	// written is the last written content of the entry.
	written topology.Node
	// checkedAt is when the entry was written, or a renewal of its lease was last attempted.
	checkedAt time.Time
	// unlistedChecks counts the checks of the lease since the entry was last listed.
	unlistedChecks int
	failing        bool
	// retryAt is the earliest time of the next attempt after a failure.
	retryAt time.Time
	backoff time.Duration
}

// New returns a Registry.
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
	renewalsPerTTL = 3
	// checksPerTTL is how often per TTL the node is compared with its entry. The interval is
	// at most maxCheckInterval.
	checksPerTTL     = 9
	maxCheckInterval = time.Second
	// minBackoff and maxBackoff limit the exponential backoff after a failure: rejected
	// requests count against the store's rate limit too.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// listingDelay is the time allowed for an entry to be listed after it was written or its
	// lease was checked.
	listingDelay = 3 * time.Second
	// eraJitter spreads the registrations of all nodes after the store was restored: 2,700 nodes
	// make 5,400 writes. Those that the store rejects are repeated with a backoff.
	eraJitter = 4 * time.Second
	// readyTimeout limits the time that a new node waits to become ready before it registers,
	// which saves a second write.
	readyTimeout      = time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Run maintains the entry until ctx ends. It always returns nil.
func (r *Registry) Run(ctx context.Context) error {
	r.waitReady(ctx)
	ticker := time.NewTicker(min(r.config.TTL/checksPerTTL, maxCheckInterval))
	defer ticker.Stop()
	for {
		r.update(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// update brings the entry up to date unless the backoff after a failure is in progress.
func (r *Registry) update(ctx context.Context) {
	r.checkEra()
	if r.config.Now().Before(r.retryAt) {
		return
	}
	err := r.reconcile(ctx)
	r.logTransition(err)
	if err == nil {
		r.backoff, r.retryAt = 0, time.Time{}
		return
	}
	r.backoff = min(max(minBackoff, 2*r.backoff), maxBackoff)
	jittered := r.backoff/2 + rand.N(r.backoff)
	r.retryAt = r.config.Now().Add(jittered)
}

// checkEra discards a lease of an earlier era of the store. The lease is not revoked, as its
// ID may belong to another client.
func (r *Registry) checkEra() {
	era := r.config.Era()
	if r.lease == 0 || era <= r.era {
		return
	}
	r.lease, r.era = 0, era
	r.retryAt = r.config.Now().Add(rand.N(eraJitter))
	r.config.Logger.Info("store restored from a backup; registering this node again", "era", era)
}

// waitReady waits until the node is ready, for up to readyTimeout.
func (r *Registry) waitReady(ctx context.Context) {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !r.config.Node().Ready {
		select {
		case <-readyCtx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile renews the lease if it is due, and writes the entry if it has changed or its
// lease has expired.
func (r *Registry) reconcile(ctx context.Context) error {
	node := r.config.Node()
	missing := r.lease != 0 && r.missing()
	if r.lease != 0 && (r.config.Now().Sub(r.renewedAt) >= r.config.TTL/renewalsPerTTL || missing) {
		r.checkedAt = r.config.Now()
		requestedAt := r.config.Now()
		err := r.config.Store.KeepAlive(ctx, r.lease)
		if errors.Is(err, store.ErrLeaseNotFound) {
			r.lease = 0
		} else if err != nil {
			return err
		} else {
			r.renewedAt = requestedAt
		}
	}
	if r.lease != 0 && node == r.written && !(missing && r.countUnlisted()) {
		return nil
	}
	if r.lease == 0 {
		requestedAt, era := r.config.Now(), r.config.Era()
		granted, err := r.config.Store.Grant(ctx, r.config.TTL)
		if err != nil {
			return err
		}
		r.lease, r.era, r.renewedAt = granted, era, requestedAt
	}
	return r.writeEntry(ctx, node)
}

// missing reports whether the entry is overdue to be listed.
func (r *Registry) missing() bool {
	if r.config.Listed() {
		r.unlistedChecks = 0
		return false
	}
	return r.config.Now().Sub(r.checkedAt) >= listingDelay
}

// countUnlisted counts a check that found the lease in force and the entry not listed. It reports
// whether to write the entry again, as an earlier process of this node may have deleted it: at the
// second, fourth, eighth such check and so on, since it may also be this node's list that is late.
func (r *Registry) countUnlisted() bool {
	r.unlistedChecks++
	return r.unlistedChecks > 1 && bits.OnesCount(uint(r.unlistedChecks)) == 1
}

// writeEntry writes the entry unconditionally: only this node writes its key, and repeating
// the write is harmless.
func (r *Registry) writeEntry(ctx context.Context, node topology.Node) error {
	value, err := json.Marshal(node)
	if err != nil {
		return eris.Wrap(err, "encode node entry")
	}
	_, err = r.config.Store.Commit(ctx, store.Transaction{
		Writes: []store.Write{{Key: r.config.Key, Value: value, Lease: r.lease}},
	})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease = 0
	}
	if err == nil {
		r.written, r.checkedAt = node, r.config.Now()
	}
	return err
}

// logTransition logs when updates start to fail and when they succeed again.
func (r *Registry) logTransition(err error) {
	if failing := err != nil; failing != r.failing {
		r.failing = failing
		if failing {
			r.config.Logger.Warn("failed to update this node's entry", "error", err.Error())
		} else {
			r.config.Logger.Info("this node's entry is up to date again")
		}
	}
}

// Deregister deletes the entry by revoking its lease. Run must have returned.
func (r *Registry) Deregister(ctx context.Context) error {
	if r.lease == 0 || r.config.Era() > r.era {
		return nil
	}
	return eris.Wrap(r.config.Store.Revoke(ctx, r.lease), "delete this node's entry")
}
