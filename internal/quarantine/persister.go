package quarantine

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// Store is the part of the store that a Keeper writes.
type Store interface {
	store.Committer
	store.Leaser
}

// PersisterConfig is what a Keeper is made of.
type PersisterConfig struct {
	Store Store
	// Prefix begins the keys; the rest is the identity.
	Prefix string
	List   *List
	// Rank is this node's place among those that are known, from 0.
	Rank   func() int
	Logger *slog.Logger
}

// Persister writes what is quarantined into the store, so that it outlasts the loss of all
// nodes, and reaches those that start later or cannot be reached by the others. Without a
// quarantined request it calls nothing.
type Persister struct {
	config PersisterConfig
	// pause is the wait after a call that has failed; it doubles.
	pause time.Duration
}

// NewPersister makes a Keeper.
func NewPersister(config PersisterConfig) *Persister {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Persister{config: config}
}

// The times of a Keeper.
const (
	// keepInterval is the time between two looks for what is to be written.
	keepInterval = 500 * time.Millisecond
	// firstPause and longestPause bound the wait after a call that has failed: calls that
	// the store refuses are priced as well.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// standInAfter is how long the first nodes by rank wait for the node that has found a
	// request to write it, standInStep how much longer each than the one before:
	// that node may be gone, or cut off from the store.
	standInAfter = 3 * time.Second
	standInStep  = time.Second
	// standIns is the number of nodes that do so.
	standIns = 3
)

// Run writes until ctx ends, and returns nil then.
func (k *Persister) Run(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.config.List.found:
		case <-ticker.C:
		}
		for _, record := range k.config.List.unstored(k.wait()) {
			if !k.keep(ctx, record) {
				break
			}
		}
	}
}

// wait is how long after it has heard of a request this node writes it in place of another;
// negative means never.
func (k *Persister) wait() time.Duration {
	rank := k.config.Rank()
	if rank >= standIns {
		return -1
	}
	return standInAfter + time.Duration(rank)*standInStep
}

// keep writes a record, and pauses after a failure.
func (k *Persister) keep(ctx context.Context, record Record) bool {
	err := k.write(ctx, record)
	if err == nil {
		k.pause = 0
		k.config.List.markStored(record.Identity)
		return true
	}
	if k.pause == 0 {
		k.config.Logger.Warn("a quarantined request cannot be written to the store", "identity", record.Identity.String(), "error", err.Error())
	}
	k.pause = min(max(firstPause, 2*k.pause), longestPause)
	timer := time.NewTimer(k.pause/2 + rand.N(k.pause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// write puts a record under a lease that ends with the quarantine. Writing it twice does no
// harm.
func (k *Persister) write(ctx context.Context, record Record) error {
	lease, err := k.config.Store.Grant(ctx, max(record.RefuseFor(), time.Second))
	if err != nil {
		return err
	}
	return k.put(ctx, record, lease)
}

func (k *Persister) put(ctx context.Context, record Record, lease store.Lease) error {
	value, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode a quarantined request")
	}
	_, err = k.config.Store.Commit(ctx, store.Transaction{
		Writes: []store.Write{{Key: k.config.Prefix + record.Identity.String(), Value: value, Lease: lease}},
	})
	return err
}

// Release ends the quarantine of a request on all nodes. The store is told first: a node that
// hears nothing else follows it. The entry stays there as released for as long as a
// quarantine lasts, so that no node writes it again.
func (k *Persister) Release(ctx context.Context, identity Identity) error {
	lease, err := k.config.Store.Grant(ctx, k.config.List.config.Duration)
	if err != nil {
		return eris.Wrap(err, "release a request")
	}
	if err := k.put(ctx, Record{Identity: identity, Released: true}, lease); err != nil {
		return eris.Wrap(err, "release a request")
	}
	k.config.List.Release(identity)
	return nil
}
