// Package store is the narrow interface to the platform's key-value service
// and its adapter, which speaks the JSON gateway of etcd v3.
//
// The service is rate-limited and has outages, and an answer can be lost
// after its write took effect. So every error of a write is either
// ErrNotApplied, when the write certainly had no effect, or ErrUnclear.
package store

import (
	"context"
	"errors"
	"time"
)

// The errors that callers tell apart, to be tested with errors.Is.
var (
	// ErrUnavailable: a read failed, or nothing is known to have been done.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNotApplied: the write was refused before it took effect (rate limit,
	// connection refused).
	ErrNotApplied = errors.New("store write not applied")
	// ErrOutcomeUnknown: the write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("store write unclear")
	// ErrLeaseNotFound: a write named a lease that has lapsed; it comes with
	// ErrNotApplied.
	ErrLeaseNotFound = errors.New("store lease not found")
	// ErrCompacted: a watch asked for a revision that is no longer kept.
	ErrCompacted = errors.New("store revision compacted")
)

// KeyValue is one key at one revision.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
}

// Lease is the identifier of a granted lease; 0 means none.
type Lease int64

// Compare is a condition on one key.
type Compare struct {
	Key string
	// Absent requires that the key does not exist; otherwise its mod revision
	// must equal ModRevision.
	Absent      bool
	ModRevision int64
}

// Write puts or deletes one key.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	Lease  Lease
}

// Transaction applies all writes if every comparison holds, else none.
type Transaction struct {
	Compares []Compare
	Writes   []Write
}

// Outcome is the result of a Transaction.
type Outcome struct {
	// Applied is true when the comparisons held.
	Applied bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Current holds the present values of the compared keys when Applied is
	// false; a key that does not exist is left out.
	Current []KeyValue
}

// Event is one change seen by a watch.
type Event struct {
	KeyValue KeyValue
	Deleted  bool
}

// WatchBatch is what a watch delivers: the events of one revision, or an
// error that ends it.
type WatchBatch struct {
	Revision int64
	Events   []Event
	// Relayed is true when another node has told of the changes: they prove
	// nothing about the store's present state.
	Relayed bool
}

// Reader reads keys.
type Reader interface {
	// Get returns one key (found is false when it does not exist) and the
	// store's revision.
	Get(ctx context.Context, key string) (value KeyValue, found bool, revision int64, err error)
	// List returns the keys with a prefix in ascending order, at most limit
	// (0 means all).
	List(ctx context.Context, prefix string, limit int) (values []KeyValue, revision int64, err error)
}

// StaleReader reads keys more cheaply than a Reader, as they were some time ago.
type StaleReader interface {
	// ListStale returns the keys with a prefix as they were at a revision or later;
	// that may be seconds old. A watch from the revision on brings the rest.
	ListStale(ctx context.Context, prefix string) (values []KeyValue, revision int64, err error)
}

// Committer writes keys.
type Committer interface {
	// Commit applies one transaction.
	Commit(ctx context.Context, transaction Transaction) (Outcome, error)
	// CommitAll applies several independent transactions on distinct keys in
	// one request, each with its own outcome.
	CommitAll(ctx context.Context, transactions []Transaction) ([]Outcome, error)
}

// Leaser grants leases.
type Leaser interface {
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, lease Lease) error
}

// Watcher follows changes.
type Watcher interface {
	// Watch calls deliver for each batch of changes to keys with a prefix,
	// from a revision on, until ctx ends, deliver returns an error, or the
	// watch breaks. It always returns a non-nil error.
	Watch(ctx context.Context, prefix string, fromRevision int64, deliver func(WatchBatch) error) error
}

// Store is the whole interface; consumers ask for the part they need.
type Store interface {
	Reader
	Committer
	Leaser
	Watcher
}
