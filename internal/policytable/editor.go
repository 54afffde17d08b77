package policytable

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	// maxAuthor and maxID bound what operators send, in bytes.
	maxAuthor = 256
	maxID     = 128
	// changeTimeout bounds one change with its retries.
	changeTimeout = 15 * time.Second
)

// Store is the part of the store that an Editor uses.
type Store interface {
	store.Reader
	store.Committer
}

// Options are the parts of an Editor.
type Options struct {
	Store    Store
	Register *document.Register
	Board    *blackboard.Board
	// Now is the wall clock; nil means time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// NewID names a change; nil means a ULID.
	NewID func() string
	// Pause waits for a random time of up to limit before another try, and
	// is false when ctx ended; nil means a timer of the real clock.
	Pause func(ctx context.Context, limit time.Duration) bool
	// ChangeTimeout bounds one change with its retries; 0 means 15 s.
	ChangeTimeout time.Duration
}

// Editor changes the table in the store. It is safe for concurrent use, and
// any number of editors may work on one store.
type Editor struct {
	store    Store
	register *document.Register
	board    *blackboard.Board
	now      func() time.Time
	logger   *slog.Logger
	newID    func() string
	pause    func(ctx context.Context, limit time.Duration) bool
	timeout  time.Duration
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
	}
	if editor.newID == nil {
		editor.newID = func() string { return ulid.Make().String() }
	}
	if editor.pause == nil {
		editor.pause = pause
	}
	if editor.timeout <= 0 {
		editor.timeout = changeTimeout
	}
	if editor.now == nil {
		editor.now = time.Now
	}
	if editor.logger == nil {
		editor.logger = slog.New(slog.DiscardHandler)
	}
	return editor
}

// Apply makes a change. It returns the change once it is in the store, and
// the earlier change if its ID was applied before. An edit that would change
// nothing writes nothing and returns a Change without a summary at the
// present revision.
//
// The errors are of these kinds: InvalidRequest, NotFound, Conflict (another
// changed a touched row first), StoreUnavailable (nothing was written),
// StoreRegressed, OutcomeUnknown (the change may have been written; apply the
// same ID again).
func (e *Editor) Apply(ctx context.Context, edit Edit) (policy.Change, error) {
	if edit.ID == "" {
		edit.ID = e.newID()
	}
	if err := checkEdit(&edit); err != nil {
		return policy.Change{}, err
	}
	build := func(ctx context.Context, current *stored) (*policy.Table, error) {
		return e.buildEdit(ctx, &edit, current)
	}
	return e.change(ctx, edit.ID, build)
}

func checkEdit(edit *Edit) error {
	switch {
	case edit.Author == "":
		return failure.New(failure.InvalidRequest, "edit the table: the author is missing")
	case len(edit.Author) > maxAuthor:
		return failure.New(failure.InvalidRequest, "edit the table: the author's name is too long")
	case len(edit.ID) > maxID:
		return failure.New(failure.InvalidRequest, "edit the table: the change's id is too long")
	case len(edit.SetPolicies)+len(edit.DeletePolicies)+len(edit.SetAssignments)+len(edit.DeleteAssignments) == 0:
		return failure.New(failure.InvalidRequest, "edit the table: there is nothing to change")
	default:
		return nil
	}
}

// buildEdit returns the table after an edit, nil where nothing changes.
func (e *Editor) buildEdit(ctx context.Context, edit *Edit, current *stored) (*policy.Table, error) {
	if err := e.checkNotRegressed(current); err != nil {
		return nil, err
	}
	result, err := edit.apply(current.table, current.table.Revision+1)
	if err != nil {
		return nil, err
	}
	if err := checkConflict(ctx, e.store, edit, current.table, result.touched); err != nil {
		return nil, err
	}
	if len(result.touched) == 0 {
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

// Restore writes the table in force on this daemon back to a store that holds
// an older one or none, as the next revision.
func (e *Editor) Restore(ctx context.Context, author string) (policy.Change, error) {
	if author == "" {
		return policy.Change{}, failure.New(failure.InvalidRequest, "restore the table: the author is missing")
	}
	id := e.newID()
	build := func(_ context.Context, current *stored) (*policy.Table, error) {
		return e.buildRestore(id, author, current)
	}
	return e.change(ctx, id, build)
}

func (e *Editor) buildRestore(id, author string, current *stored) (*policy.Table, error) {
	inForce := e.board.PolicyTable.Load()
	if inForce == nil {
		return nil, failure.New(failure.NoTable, "restore the table: none is in force on this daemon")
	}
	if current.table.Revision >= inForce.Table.Revision {
		return nil, failure.New(failure.InvalidRequest, "restore the table: the store does not hold an older one")
	}
	restored := *inForce.Table
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

// Diff returns what an edit would change, one line a field, without writing.
func (e *Editor) Diff(ctx context.Context, edit Edit) ([]string, error) {
	current, err := e.read(ctx)
	if err != nil {
		return nil, unavailable(err, "read the table")
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

// History returns the last changes, newest first, at most limit of them (0
// means 20).
func (e *Editor) History(ctx context.Context, limit int) ([]policy.Change, error) {
	const defaultLimit = 20
	if limit <= 0 {
		limit = defaultLimit
	}
	limit = min(limit, maxHistory)
	current, err := e.read(ctx)
	if err != nil {
		return nil, unavailable(err, "read the table")
	}
	left := limit
	enough := func(policy.Change) bool {
		left--
		return left == 0
	}
	changes, err := changesDown(ctx, e.store, current.table.Revision, limit/blockSize+rememberedBlocks, enough)
	if err != nil {
		return nil, unavailable(err, "read the history")
	}
	return changes, nil
}
