package policytable

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	// maxAuthor and maxID are the maximum lengths of an author and an ID in
	// bytes.
	maxAuthor = 256
	maxID     = 128
	// changeTimeout bounds a change including its retries.
	changeTimeout = 15 * time.Second
)

// Store is the part of the store that an Editor uses.
type Store interface {
	store.Reader
	store.Committer
}

// Options configures an Editor.
type Options struct {
	Store    Store
	Register *document.Register
	Board    *blackboard.Board
	// Now is the wall clock; nil means time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// NewID returns the ID of a new change; nil means a ULID.
	NewID func() string
	// Pause waits for a random time of up to limit before a retry and returns
	// false if ctx is done first; nil means a timer.
	Pause func(ctx context.Context, limit time.Duration) bool
	// ChangeTimeout bounds a change including its retries; 0 means 15 s.
	ChangeTimeout time.Duration
	// WithTimeout applies ChangeTimeout; nil means context.WithTimeout.
	WithTimeout elapsed.TimeoutFunc
}

// Editor changes the policy table in the store. It is safe for concurrent use, and
// several editors may use the same store.
type Editor struct {
	store    Store
	register *document.Register
	board    *blackboard.Board
	now      func() time.Time
	logger   *slog.Logger
	newID    func() string
	pause    func(ctx context.Context, limit time.Duration) bool
	timeout  time.Duration

	withTimeout elapsed.TimeoutFunc
}

// NewEditor returns an Editor.
func NewEditor(options Options) *Editor {
	editor := &Editor{
		store:    options.Store,
		register: options.Register,
		board:    options.Board,
		now:      options.Now,
		logger:   options.Logger,
		newID:    options.NewID,
		pause:    options.Pause,
		timeout:  options.ChangeTimeout,

		withTimeout: options.WithTimeout,
	}
	if editor.newID == nil {
		editor.newID = func() string { return ulid.Make().String() }
	}
	if editor.pause == nil {
		editor.pause = sleepWithJitter
	}
	if editor.timeout <= 0 {
		editor.timeout = changeTimeout
	}
	if editor.withTimeout == nil {
		editor.withTimeout = context.WithTimeout
	}
	if editor.now == nil {
		editor.now = time.Now
	}
	if editor.logger == nil {
		editor.logger = slog.New(slog.DiscardHandler)
	}
	return editor
}

// Apply applies an edit and returns the change once it is in the store. If the ID was
// applied before, it returns the earlier change. An edit without effect writes
// nothing and returns a Change at the current revision without a summary.
//
// Its errors have one of these kinds: InvalidRequest, NotFound, Conflict (a row was
// changed concurrently), StoreUnavailable (nothing was written), StoreRegressed, or
// OutcomeUnknown (the change may have been written; apply the same ID again).
func (e *Editor) Apply(ctx context.Context, edit Edit) (policy.Change, error) {
	if edit.ID == "" {
		edit.ID = e.newID()
	}
	if err := checkEdit(&edit); err != nil {
		return policy.Change{}, err
	}
	build := func(ctx context.Context, current *storedTable) (*policy.Table, error) {
		return e.buildEdit(ctx, &edit, current)
	}
	return e.change(ctx, edit.ID, build)
}

func checkEdit(edit *Edit) error {
	switch {
	case edit.Author == "":
		return failure.New(failure.InvalidRequest, "edit policy table: missing author")
	case len(edit.Author) > maxAuthor:
		return failure.New(failure.InvalidRequest, "edit policy table: author is too long")
	case len(edit.ID) > maxID:
		return failure.New(failure.InvalidRequest, "edit policy table: change id is too long")
	case len(edit.SetPolicies)+len(edit.DeletePolicies)+len(edit.SetAssignments)+len(edit.DeleteAssignments) == 0:
		return failure.New(failure.InvalidRequest, "edit policy table: edit is empty")
	default:
		return nil
	}
}

// buildEdit returns the table after an edit, or nil if the edit has no effect.
func (e *Editor) buildEdit(ctx context.Context, edit *Edit, current *storedTable) (*policy.Table, error) {
	if err := e.checkNotRegressed(current); err != nil {
		return nil, err
	}
	result, err := edit.apply(current.table, current.table.Revision+1)
	if err != nil {
		return nil, err
	}
	if err := checkConflict(ctx, e.store, edit, current.table, result.changed); err != nil {
		return nil, err
	}
	if len(result.changed) == 0 {
		return nil, nil
	}
	result.table.LastChange = policy.Change{
		ID:       edit.ID,
		Revision: result.table.Revision,
		Author:   edit.Author,
		Time:     e.now().UTC(),
		Summary:  result.summary,
	}
	return result.table, policy.Validate(result.table)
}

// Restore writes the active table of this daemon, as the next revision, to a store
// that holds an older table or none.
func (e *Editor) Restore(ctx context.Context, author string) (policy.Change, error) {
	if author == "" {
		return policy.Change{}, failure.New(failure.InvalidRequest, "restore policy table: missing author")
	}
	id := e.newID()
	build := func(_ context.Context, current *storedTable) (*policy.Table, error) {
		return e.buildRestore(id, author, current)
	}
	return e.change(ctx, id, build)
}

func (e *Editor) buildRestore(id, author string, current *storedTable) (*policy.Table, error) {
	active := e.board.PolicyTable.Load()
	if active == nil {
		return nil, failure.New(failure.NoTable, "restore policy table: this daemon has no active table")
	}
	if current.table.Revision >= active.Table.Revision {
		return nil, failure.New(failure.InvalidRequest, "restore policy table: the store does not hold an older one")
	}
	restored := *active.Table
	restored.Revision++
	restored.LastChange = policy.Change{
		ID:       id,
		Revision: restored.Revision,
		Author:   author,
		Time:     e.now().UTC(),
		Summary:  []string{"table restored to the store"},
	}
	return &restored, nil
}

// Diff returns the changes that an edit would make, one line per field, without
// writing them.
func (e *Editor) Diff(ctx context.Context, edit Edit) ([]string, error) {
	current, err := e.read(ctx)
	if err != nil {
		return nil, storeError(err, "read policy table")
	}
	result, err := edit.apply(current.table, current.table.Revision+1)
	if err != nil {
		return nil, err
	}
	if err := policy.Validate(result.table); err != nil {
		return nil, err
	}
	return result.summary, nil
}

// History returns the latest changes, newest first, and at most limit of them (20 if
// limit is 0).
func (e *Editor) History(ctx context.Context, limit int) ([]policy.Change, error) {
	const defaultLimit = 20
	if limit <= 0 {
		limit = defaultLimit
	}
	limit = min(limit, maxHistory)
	current, err := e.read(ctx)
	if err != nil {
		return nil, storeError(err, "read policy table")
	}
	remaining := limit
	stop := func(policy.Change) bool {
		remaining--
		return remaining == 0
	}
	changes, err := listChanges(ctx, e.store, current.table.Revision, limit/blockSize+maxSearchBlocks, stop)
	if err != nil {
		return nil, storeError(err, "read policy history")
	}
	return changes, nil
}
