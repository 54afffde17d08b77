package daemon

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

// restoringEditor is the table's editor, whose Restore also lets calls go on
// that are refused since the store went back.
type restoringEditor struct {
	*policytable.Editor
	calls *once.Service
	board *blackboard.Board
}

// Restore writes the table back if the store holds an older one, and
// acknowledges the restore for calls if they are refused. It is an error if
// there is neither to do. After an error it can be repeated.
func (e *restoringEditor) Restore(ctx context.Context, author string) (policy.Change, error) {
	change, tableErr := e.Editor.Restore(ctx, author)
	if tableErr != nil && failure.KindOf(tableErr) != failure.InvalidRequest {
		return policy.Change{}, tableErr
	}
	acknowledged, err := e.calls.Acknowledge(ctx, author)
	switch {
	case err != nil:
		return policy.Change{}, err
	case tableErr == nil:
		return change, nil
	case acknowledged:
		return e.unchangedTable(author), nil
	default:
		return policy.Change{}, tableErr
	}
}

// unchangedTable is the answer where only calls were to be let go on.
func (e *restoringEditor) unchangedTable(author string) policy.Change {
	change := policy.Change{Author: author, Time: time.Now().UTC(), Summary: []string{"calls are run again"}}
	if inForce := e.board.PolicyTable.Load(); inForce != nil {
		change.Revision = inForce.Table.Revision
	}
	return change
}

// storeUnreachable tells whether this daemon follows the store and cannot
// reach it.
func (d *Daemon) storeUnreachable() bool {
	status := d.board.Store.Load()
	return status != nil && !status.Since.IsZero() && !status.Reachable
}

// storeStatus is the store's status as the watcher and the calls see it.
func (d *Daemon) storeStatus() blackboard.StoreStatus {
	status := blackboard.StoreStatus{}
	if watched := d.board.Store.Load(); watched != nil {
		status = *watched
	}
	status.Regressed = status.Regressed || d.calls.Regressed()
	return status
}
