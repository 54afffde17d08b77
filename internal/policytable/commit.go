package policytable

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	// maxAttempts bounds the attempts at a change that keeps conflicting with
	// concurrent changes.
	maxAttempts = 16
	// maxRegressedReads is the number of reads that must return an older table
	// before the store counts as regressed, because a stale read looks the same.
	maxRegressedReads = 3

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// errRegressed indicates that the table in the store is older than the active table
// of this daemon.
var errRegressed = errors.New("store regressed")

// storedTable is the table in the store; it is empty if absent is set.
type storedTable struct {
	table       *policy.Table
	absent      bool
	modRevision int64
}

func (e *Editor) read(ctx context.Context) (*storedTable, error) {
	value, found, _, err := e.store.Get(ctx, document.Table.Key())
	if err != nil {
		return nil, eris.Wrap(err, "read policy table")
	}
	if !found {
		return &storedTable{table: &policy.Table{}, absent: true}, nil
	}
	table := &policy.Table{}
	if err := json.Unmarshal(value.Value, table); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "decode policy table in the store").WithNotRun(true)
	}
	return &storedTable{table: table, modRevision: value.ModRevision}, nil
}

func (e *Editor) checkNotRegressed(current *storedTable) error {
	active, _ := e.register.Current(document.Table)
	if current.table.Revision < active.Revision {
		detail := fmt.Sprintf("the store holds revision %d, but revision %d is active; see \"doorpond restore\"",
			current.table.Revision, active.Revision)
		return failure.Wrap(errRegressed, failure.StoreRegressed, detail)
	}
	return nil
}

// attempt is the state of a change across its retries.
type attempt struct {
	editor *Editor
	id     string
	build  func(context.Context, *storedTable) (*policy.Table, error)
	// mayBeWritten is set after a write with an unknown outcome, until the table
	// in the store is newer than baseRevision.
	mayBeWritten bool
	// baseRevision is the modification revision that this write compared with.
	baseRevision   int64
	tries          int
	regressedReads int
}

// change repeats read, build and compare-and-swap until the outcome is known.
//
// After a write with an unknown outcome, the loop reads the table and looks for the
// change's ID in the history. If the change is missing and the table has not
// changed, it repeats the compare-and-swap; only one of the writes can succeed. If
// the table has changed, the earlier write can no longer take effect.
func (e *Editor) change(ctx context.Context, id string, build func(context.Context, *storedTable) (*policy.Table, error)) (policy.Change, error) {
	ctx, cancel := e.withTimeout(ctx, e.timeout)
	defer cancel()
	a := &attempt{editor: e, id: id, build: build}
	for {
		change, done, err := a.try(ctx)
		if done && err == nil {
			return change, nil
		}
		if done || !e.pause(ctx, backoffLimit(a.tries)) {
			return policy.Change{}, a.finalError(err)
		}
	}
}

// try makes one attempt. If done is false, err is the reason.
func (a *attempt) try(ctx context.Context) (change policy.Change, done bool, err error) {
	a.tries++
	current, err := a.editor.read(ctx)
	if err != nil {
		return policy.Change{}, !a.retryable(err), err
	}
	earlier, found, err := findChange(ctx, a.editor.store, current.table, a.id)
	if err != nil {
		return policy.Change{}, !a.retryable(err), err
	}
	if found {
		a.editor.offer(current.table)
		return earlier, true, nil
	}
	if current.modRevision > a.baseRevision {
		a.mayBeWritten = false
	}
	table, err := a.build(ctx, current)
	if err != nil {
		return policy.Change{}, !a.retryable(err), err
	}
	if table == nil {
		return policy.Change{ID: a.id, Revision: current.table.Revision}, true, nil
	}
	return a.commit(ctx, current, table)
}

func (a *attempt) commit(ctx context.Context, current *storedTable, table *policy.Table) (policy.Change, bool, error) {
	transaction, err := newTransaction(current, table)
	if err != nil {
		return policy.Change{}, true, err
	}
	outcome, err := a.editor.store.Commit(ctx, transaction)
	if err != nil {
		if !errors.Is(err, store.ErrNotApplied) {
			a.mayBeWritten = true
			a.baseRevision = current.modRevision
		}
		return policy.Change{}, !a.retryable(err), err
	}
	if outcome.Applied {
		a.editor.offer(table)
		return table.LastChange, true, nil
	}
	conflict := failure.New(failure.Conflict, "table changed concurrently on every attempt")
	return policy.Change{}, !a.mayBeWritten && a.tries >= maxAttempts, conflict
}

// retryable reports whether the change must be retried after err.
func (a *attempt) retryable(err error) bool {
	if errors.Is(err, errRegressed) {
		a.regressedReads++
		return a.regressedReads < maxRegressedReads
	}
	return a.mayBeWritten
}

// finalError converts the last error into the error of the change.
func (a *attempt) finalError(err error) error {
	if a.mayBeWritten {
		detail := fmt.Sprintf("change %s may have been written; apply it again with the same id", a.id)
		return failure.Wrap(err, failure.OutcomeUnknown, detail)
	}
	return storeError(err, "change policy table")
}

// storeError returns err if it is a *failure.Error, and otherwise wraps it as
// StoreUnavailable.
func storeError(err error, operation string) error {
	var known *failure.Error
	if errors.As(err, &known) {
		return known
	}
	return failure.Wrap(err, failure.StoreUnavailable, operation)
}

func newTransaction(current *storedTable, table *policy.Table) (store.Transaction, error) {
	body, err := json.Marshal(table)
	if err != nil {
		return store.Transaction{}, failure.Wrap(err, failure.Internal, "encode policy table").WithNotRun(true)
	}
	change, err := json.Marshal(table.LastChange)
	if err != nil {
		return store.Transaction{}, failure.Wrap(err, failure.Internal, "encode policy change").WithNotRun(true)
	}
	key := document.Table.Key()
	return store.Transaction{
		Compares: []store.Compare{{Key: key, Absent: current.absent, ModRevision: current.modRevision}},
		Writes: []store.Write{
			{Key: key, Value: body},
			{Key: historyKey(table.Revision), Value: change},
		},
	}, nil
}

// offer offers a table that is in the store to the register of this daemon.
func (e *Editor) offer(table *policy.Table) {
	body, err := json.Marshal(table)
	if err == nil {
		_, err = e.register.Offer(document.Document{Name: document.Table, Revision: table.Revision, Body: body})
	}
	if err != nil {
		e.logger.Warn("changed table rejected by this daemon", slog.Any("error", err))
	}
}

// backoffLimit returns the maximum wait before the next attempt.
func backoffLimit(tries int) time.Duration { return min(maxBackoff, initialBackoff<<min(tries, 10)) }

// sleepWithJitter waits for a random time below limit. It returns false if ctx is
// done first.
func sleepWithJitter(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
