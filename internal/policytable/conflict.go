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

// checkConflict returns a conflict error if one of the rows that the edit changes was
// changed, created or deleted after the expected revision.
func checkConflict(ctx context.Context, reader store.Reader, edit *Edit, old *policy.Table, rows []changedItem) error {
	if edit.ExpectedRevision == 0 || edit.ExpectedRevision >= old.Revision {
		return nil
	}
	for _, row := range rows {
		if row.revision > edit.ExpectedRevision {
			return conflictAtRevision(ctx, reader, row, row.revision, edit.ExpectedRevision)
		}
	}
	return checkDeleted(ctx, reader, edit, old, rows)
}

// checkDeleted searches the history for the deletion of rows that the edit would
// recreate.
func checkDeleted(ctx context.Context, reader store.Reader, edit *Edit, old *policy.Table, rows []changedItem) error {
	created := slices.DeleteFunc(slices.Clone(rows), func(row changedItem) bool { return row.revision != 0 })
	if len(created) == 0 {
		return nil
	}
	stop := func(change policy.Change) bool { return change.Revision <= edit.ExpectedRevision+1 }
	changes, err := listChanges(ctx, reader, old.Revision, maxSearchBlocks, stop)
	if err != nil {
		return err
	}
	for _, change := range changes {
		for _, row := range created {
			deleted := slices.Contains(change.Summary, deletedLine(row.item, row.name))
			if deleted && change.Revision > edit.ExpectedRevision {
				return conflictWithChange(row, change, edit.ExpectedRevision)
			}
		}
	}
	return nil
}

// conflictAtRevision returns the conflict error for the change at a revision, with
// its details if the history has them.
func conflictAtRevision(ctx context.Context, reader store.Reader, row changedItem, revision, expected uint64) error {
	value, found, _, err := reader.Get(ctx, historyKey(revision))
	if err == nil && found {
		if change, ok := decodeChange(value); ok {
			return conflictWithChange(row, change, expected)
		}
	}
	return conflictWithChange(row, policy.Change{Revision: revision, Author: "unknown author"}, expected)
}

func conflictWithChange(row changedItem, change policy.Change, expected uint64) error {
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
