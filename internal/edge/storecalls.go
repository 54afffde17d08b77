package edge

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/store"
)

// countedStore counts the calls to a store by cause, as its provider bills each call.
type countedStore struct {
	Store
	calls *prometheus.CounterVec
}

// The values of the cause label.
const (
	causeConfirm = "confirm"
	causeRead    = "read"
	causeStale   = "read_stale"
	causeWatch   = "watch"
	causeRecord  = "record"
	causeGrant   = "grant"
	causeRenew   = "renew"
	causeRevoke  = "revoke"
)

// countCalls wraps a store to count its calls. Without a registerer it returns the store itself.
func countCalls(counted Store, registerer prometheus.Registerer) Store {
	if registerer == nil {
		return counted
	}
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_store_calls_total", Help: "Calls to the store, by what they are for; a watch counts each time it is answered.",
	}, []string{"cause"})
	registerer.MustRegister(calls)
	return &countedStore{Store: counted, calls: calls}
}

func (s *countedStore) count(cause string) { s.calls.WithLabelValues(cause).Inc() }

// Get implements store.Reader.
func (s *countedStore) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	s.count(causeConfirm)
	return s.Store.Get(ctx, key)
}

// List implements store.Reader.
func (s *countedStore) List(ctx context.Context, prefix string, limit int) ([]store.KeyValue, int64, error) {
	s.count(causeRead)
	return s.Store.List(ctx, prefix, limit)
}

// ListStale implements store.StaleReader.
func (s *countedStore) ListStale(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	s.count(causeStale)
	return s.Store.ListStale(ctx, prefix)
}

// Watch implements store.Watcher.
func (s *countedStore) Watch(ctx context.Context, prefix string, fromRevision int64, deliver func(store.WatchBatch) error) error {
	s.count(causeWatch)
	return s.Store.Watch(ctx, prefix, fromRevision, func(batch store.WatchBatch) error {
		s.count(causeWatch)
		return deliver(batch)
	})
}

// Commit implements store.Committer.
func (s *countedStore) Commit(ctx context.Context, transaction store.Transaction) (store.Outcome, error) {
	s.count(causeRecord)
	return s.Store.Commit(ctx, transaction)
}

// Grant implements store.Leaser.
func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	s.count(causeGrant)
	return s.Store.Grant(ctx, ttl)
}

// KeepAlive implements store.Leaser.
func (s *countedStore) KeepAlive(ctx context.Context, lease store.Lease) error {
	s.count(causeRenew)
	return s.Store.KeepAlive(ctx, lease)
}

// Revoke revokes a lease and deletes its keys.
func (s *countedStore) Revoke(ctx context.Context, lease store.Lease) error {
	s.count(causeRevoke)
	return s.Store.Revoke(ctx, lease)
}
