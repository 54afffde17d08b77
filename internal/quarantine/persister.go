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

// Store is the part of the store that a Persister writes to.
type Store interface {
	store.Committer
	store.Leaser
}

// PersisterConfig configures a Persister.
type PersisterConfig struct {
	Store Store
	// Prefix is the key prefix; the request's identity follows it.
	Prefix string
	List   *List
	// Rank returns this node's index among the known nodes, starting at 0.
	Rank   func() int
	Logger *slog.Logger
}

// Persister writes quarantined requests to the store, so that they survive the loss of all
// nodes and reach nodes that start later or miss the notices of the others. It makes no store
// calls while no request is quarantined.
type Persister struct {
	config PersisterConfig
	// backoff is the delay after the latest failed call; it doubles with each failure.
	backoff time.Duration
}

// NewPersister returns a Persister; Run starts it.
func NewPersister(config PersisterConfig) *Persister {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Persister{config: config}
}

const (
	// persistInterval is the interval between checks for requests to write.
	persistInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call: calls that the store
	// rejects are billed as well.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// takeoverDelay is how long the node of rank 0 waits for the detecting node to write a
	// request before writing it itself; each further rank waits takeoverStep longer. The
	// detecting node may be gone or cut off from the store.
	takeoverDelay = 3 * time.Second
	takeoverStep  = time.Second
	// takeoverNodes is the number of nodes, by rank, that take over writes.
	takeoverNodes = 3
)

// Run writes quarantined requests to the store until ctx is done. It always returns nil.
func (p *Persister) Run(ctx context.Context) error {
	ticker := time.NewTicker(persistInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.config.List.wake:
		case <-ticker.C:
		}
		for _, record := range p.config.List.unstored(p.takeoverWait()) {
			if !p.persist(ctx, record) {
				break
			}
		}
	}
}

// takeoverWait returns how long after learning of a request this node writes it in place of
// the detecting node; a negative value means never.
func (p *Persister) takeoverWait() time.Duration {
	rank := p.config.Rank()
	if rank >= takeoverNodes {
		return -1
	}
	return takeoverDelay + time.Duration(rank)*takeoverStep
}

// persist writes a record and reports whether that succeeded. After a failure it waits for the
// backoff delay.
func (p *Persister) persist(ctx context.Context, record Record) bool {
	err := p.write(ctx, record)
	if err == nil {
		p.backoff = 0
		p.config.List.markStored(record.Identity)
		return true
	}
	if p.backoff == 0 {
		p.config.Logger.Warn("failed to write a quarantined request to the store", "identity", record.Identity.String(), "error", err.Error())
	}
	p.backoff = min(max(minBackoff, 2*p.backoff), maxBackoff)
	timer := time.NewTimer(p.backoff/2 + rand.N(p.backoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// write stores a record under a lease that ends with the quarantine. It is idempotent.
func (p *Persister) write(ctx context.Context, record Record) error {
	lease, err := p.config.Store.Grant(ctx, max(record.RefuseFor(), time.Second))
	if err != nil {
		return err
	}
	return p.put(ctx, record, lease)
}

func (p *Persister) put(ctx context.Context, record Record, lease store.Lease) error {
	value, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode a quarantined request")
	}
	_, err = p.config.Store.Commit(ctx, store.Transaction{
		Writes: []store.Write{{Key: p.config.Prefix + record.Identity.String(), Value: value, Lease: lease}},
	})
	return err
}

// Release ends the quarantine of a request on all nodes. It writes to the store first, so that
// nodes which miss the notice still learn of the release. The store entry is marked as released
// and kept for the duration of a quarantine, so that no node writes the request again.
func (p *Persister) Release(ctx context.Context, identity Identity) error {
	lease, err := p.config.Store.Grant(ctx, p.config.List.config.Duration)
	if err != nil {
		return eris.Wrap(err, "release a request")
	}
	if err := p.put(ctx, Record{Identity: identity, Released: true}, lease); err != nil {
		return eris.Wrap(err, "release a request")
	}
	p.config.List.Release(identity)
	return nil
}
