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
	// maxAttempts bounds how often a change is tried again after others' came
	// in between.
	maxAttempts = 16
	// maxRegressedReads is how often a store that seems to hold an older
	// table is read again, as a lagging read looks the same.
	maxRegressedReads = 3

	firstWait   = 20 * time.Millisecond
	longestWait = time.Second
)

// errRegressed says that the store holds an older table than the one in
// force.
var errRegressed = errors.New("store regressed")

// stored is the table as the store holds it; an absent one is empty.
type stored struct {
	table       *policy.Table
	absent      bool
	modRevision int64
}

func (e *Editor) read(ctx context.Context) (*stored, error) {
	value, found, _, err := e.store.Get(ctx, document.Table.Key())
	if err != nil {
		return nil, eris.Wrap(err, "read the table")
	}
	if !found {
		return &stored{table: &policy.Table{}, absent: true}, nil
	}
	table := &policy.Table{}
	if err := json.Unmarshal(value.Value, table); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "decode the table in the store").WithNotRun(true)
	}
	return &stored{table: table, modRevision: value.ModRevision}, nil
}

func (e *Editor) checkNotRegressed(current *stored) error {
	inForce, _ := e.register.Current(document.Table)
	if current.table.Revision < inForce.Revision {
		detail := fmt.Sprintf("the store holds revision %d, in force is %d; see \"doorpond restore\"",
			current.table.Revision, inForce.Revision)
		return failure.Wrap(errRegressed, failure.StoreRegressed, detail)
	}
	return nil
}

// attempt is the progress of one change through its retries.
type attempt struct {
	editor *Editor
	id     string
	build  func(context.Context, *stored) (*policy.Table, error)
	// mayBeWritten is true once a write's outcome was unclear and until the
	// store is seen to have moved past the revision it was based on.
	mayBeWritten bool
	// basis is the mod revision that the unclear write compared with.
	basis          int64
	tries          int
	regressedReads int
}

// change runs read, build, compare-and-swap until the outcome is known.
//
// An unclear write needs no special path: the loop reads again and looks for
// the change's ID. If it is not there and the table is as before, the same
// comparison is tried again, of which only one can succeed; if the table has
// moved on, the unclear write can no longer take effect.
func (e *Editor) change(ctx context.Context, id string, build func(context.Context, *stored) (*policy.Table, error)) (policy.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	trying := &attempt{editor: e, id: id, build: build}
	for {
		change, done, err := trying.once(ctx)
		if done && err == nil {
			return change, nil
		}
		if done || !e.pause(ctx, waitLimit(trying.tries)) {
			return policy.Change{}, trying.final(err)
		}
	}
}

// once tries the change once. When it is not done, err is why.
func (a *attempt) once(ctx context.Context) (change policy.Change, done bool, err error) {
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
	if current.modRevision > a.basis {
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

func (a *attempt) commit(ctx context.Context, current *stored, table *policy.Table) (policy.Change, bool, error) {
	transaction, err := transactionFor(current, table)
	if err != nil {
		return policy.Change{}, true, err
	}
	outcome, err := a.editor.store.Commit(ctx, transaction)
	if err != nil {
		if !errors.Is(err, store.ErrNotApplied) {
			a.mayBeWritten = true
			a.basis = current.modRevision
		}
		return policy.Change{}, !a.retryable(err), err
	}
	if outcome.Applied {
		a.editor.offer(table)
		return table.LastChange, true, nil
	}
	moved := failure.New(failure.Conflict, "the table kept changing while the edit was tried")
	return policy.Change{}, !a.mayBeWritten && a.tries >= maxAttempts, moved
}

// retryable is true where trying again can settle the outcome.
func (a *attempt) retryable(err error) bool {
	if errors.Is(err, errRegressed) {
		a.regressedReads++
		return a.regressedReads < maxRegressedReads
	}
	return a.mayBeWritten
}

// final turns the last error into the answer.
func (a *attempt) final(err error) error {
	if a.mayBeWritten {
		detail := fmt.Sprintf("change %s may have been written; apply it again with the same id", a.id)
		return failure.Wrap(err, failure.OutcomeUnknown, detail)
	}
	return unavailable(err, "change the table")
}

// unavailable gives a store's error its kind; other kinds stay.
func unavailable(err error, attempted string) error {
	var known *failure.Error
	if errors.As(err, &known) {
		return known
	}
	return failure.Wrap(err, failure.StoreUnavailable, attempted)
}

func transactionFor(current *stored, table *policy.Table) (store.Transaction, error) {
	body, err := json.Marshal(table)
	if err != nil {
		return store.Transaction{}, failure.Wrap(err, failure.Internal, "encode the table").WithNotRun(true)
	}
	change, err := json.Marshal(table.LastChange)
	if err != nil {
		return store.Transaction{}, failure.Wrap(err, failure.Internal, "encode the change").WithNotRun(true)
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

// offer brings a table that the store holds into force here.
func (e *Editor) offer(table *policy.Table) {
	body, err := json.Marshal(table)
	if err == nil {
		_, err = e.register.Offer(document.Document{Name: document.Table, Revision: table.Revision, Body: body})
	}
	if err != nil {
		e.logger.Warn("the changed table was not accepted", slog.Any("error", err))
	}
}

// waitLimit is the greatest wait before another try.
func waitLimit(tries int) time.Duration { return min(longestWait, firstWait<<min(tries, 10)) }

// pause waits before another try, with full jitter; it is false when ctx ends
// first.
func pause(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
