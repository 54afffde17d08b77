// Package store defines the interface to the platform's key-value service. Its
// subpackage etcd implements it over the JSON gateway of etcd v3.
//
// A write can take effect although its response is lost. Therefore every error
// of a write wraps either ErrNotApplied, if the write certainly had no effect,
// or ErrOutcomeUnknown.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrUnavailable means that a request that writes nothing failed, such as a
	// read or a watch.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNotApplied means that a write was rejected before it took effect, for
	// example by a rate limit or a refused connection.
	ErrNotApplied = errors.New("store write not applied")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("store write outcome unknown")
	// ErrLeaseNotFound means that the lease of a write has expired. It is
	// wrapped together with ErrNotApplied.
	ErrLeaseNotFound = errors.New("store lease not found")
	// ErrCompacted means that the revision requested by a watch was compacted.
	ErrCompacted = errors.New("store revision compacted")
)

// KeyValue is a key with its value at one revision.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
}

// Lease is the ID of a lease; 0 means no lease.
type Lease int64

// Compare is a condition on one key.
type Compare struct {
	Key string
	// Absent requires that the key does not exist. If it is false, the key's mod
	// revision must equal ModRevision.
	Absent      bool
	ModRevision int64
}

// Write is a put or, if Delete is set, a deletion of one key.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	Lease  Lease
}

// Transaction applies all of its writes if every comparison holds, otherwise
// none of them.
type Transaction struct {
	Compares []Compare
	Writes   []Write
}

// Outcome is the result of a Transaction.
type Outcome struct {
	// Applied reports whether the comparisons held.
	Applied bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Current holds the values of the compared keys if Applied is false. Keys
	// that do not exist are omitted.
	Current []KeyValue
}

// Event is one change reported by a watch.
type Event struct {
	KeyValue KeyValue
	Deleted  bool
}

// WatchBatch is a batch of events delivered by a watch.
type WatchBatch struct {
	Revision int64
	Events   []Event
	// Relayed is set if another node reported the changes rather than the store.
	// Such events say nothing about the current state of the store.
	Relayed bool
}

// Reader reads keys.
type Reader interface {
	// Get returns one key and the store's revision. found is false if the key
	// does not exist.
	Get(ctx context.Context, key string) (value KeyValue, found bool, revision int64, err error)
	// List returns the keys with the given prefix in ascending order, at most
	// limit of them (0 means no limit), and the store's revision.
	List(ctx context.Context, prefix string, limit int) (values []KeyValue, revision int64, err error)
}

// StaleReader reads keys more cheaply than a Reader, at a possibly old revision.
type StaleReader interface {
	// ListStale returns the keys with the given prefix and a revision that they
	// are at least as new as. The result can be seconds old; a watch from that
	// revision delivers the later changes.
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

// Watcher watches keys for changes.
type Watcher interface {
	// Watch calls deliver for each batch of changes to keys with the given
	// prefix, starting at fromRevision, until ctx is done, deliver returns an
	// error, or the watch fails. It always returns a non-nil error.
	Watch(ctx context.Context, prefix string, fromRevision int64, deliver func(WatchBatch) error) error
}

// Store combines Reader, Committer, Leaser and Watcher. Callers should accept
// only the interfaces that they need.
type Store interface {
	Reader
	Committer
	Leaser
	Watcher
}
