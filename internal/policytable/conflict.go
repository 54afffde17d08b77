package policytable

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/store"
)

// checkConflict refuses an edit whose rows were changed by another after the
// revision that its author saw. A row that was deleted since, or created
// since, is a conflict too.
func checkConflict(ctx context.Context, reader store.Reader, edit *Edit, old *policy.Table, rows []touched) error {
	if edit.ExpectedRevision == 0 || edit.ExpectedRevision >= old.Revision {
		return nil
	}
	for _, row := range rows {
		if row.revision > edit.ExpectedRevision {
			return conflict(ctx, reader, row, row.revision, edit.ExpectedRevision)
		}
	}
	return checkDeleted(ctx, reader, edit, old, rows)
}

// checkDeleted looks in the history for deletions of rows that the edit would
// create anew.
func checkDeleted(ctx context.Context, reader store.Reader, edit *Edit, old *policy.Table, rows []touched) error {
	created := slices.DeleteFunc(slices.Clone(rows), func(row touched) bool { return row.revision != 0 })
	if len(created) == 0 {
		return nil
	}
	reached := func(change policy.Change) bool { return change.Revision <= edit.ExpectedRevision+1 }
	changes, err := changesDown(ctx, reader, old.Revision, rememberedBlocks, reached)
	if err != nil {
		return err
	}
	for _, change := range changes {
		for _, row := range created {
			deleted := slices.Contains(change.Summary, deletedLine(row.item, row.name))
			if deleted && change.Revision > edit.ExpectedRevision {
				return conflictWith(row, change, edit.ExpectedRevision)
			}
		}
	}
	return nil
}

// conflict names the change that came first, as far as the history has it.
func conflict(ctx context.Context, reader store.Reader, row touched, revision, expected uint64) error {
	value, found, _, err := reader.Get(ctx, historyKey(revision))
	if err == nil && found {
		if change, ok := decodeChange(value); ok {
			return conflictWith(row, change, expected)
		}
	}
	return conflictWith(row, policy.Change{Revision: revision, Author: "someone"}, expected)
}

func conflictWith(row touched, change policy.Change, expected uint64) error {
	detail := fmt.Sprintf("%s %q was changed by %s at revision %d, after the expected revision %d",
		row.item, row.name, change.Author, change.Revision, expected)
	if !change.Time.IsZero() {
		detail += ", on " + change.Time.UTC().Format(time.RFC3339)
	}
	if len(change.Summary) > 0 {
		detail += ": " + strings.Join(change.Summary, "; ")
	}
	return failure.New(failure.Conflict, detail)
}
