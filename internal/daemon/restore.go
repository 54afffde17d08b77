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

// restoringEditor is a policytable.Editor whose Restore also re-enables calls, which are
// refused after the store has regressed.
type restoringEditor struct {
	*policytable.Editor
	calls *once.Service
	board *blackboard.Board
}

// Restore writes the current table if the store holds an older one, and re-enables calls if
// they are refused. It returns an error if neither is necessary. It can be retried after an
// error.
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

// unchangedTable returns the change to report if only calls were re-enabled.
func (e *restoringEditor) unchangedTable(author string) policy.Change {
	change := policy.Change{Author: author, Time: time.Now().UTC(), Summary: []string{"calls are run again"}}
	if current := e.board.PolicyTable.Load(); current != nil {
		change.Revision = current.Table.Revision
	}
	return change
}

// storeUnreachable reports whether this daemon watches the store and cannot reach it.
func (d *Daemon) storeUnreachable() bool {
	status := d.board.Store.Load()
	return status != nil && !status.Since.IsZero() && !status.Reachable
}

// storeStatus combines the watcher's store status with that of the call service.
func (d *Daemon) storeStatus() blackboard.StoreStatus {
	status := blackboard.StoreStatus{}
	if watcherStatus := d.board.Store.Load(); watcherStatus != nil {
		status = *watcherStatus
	}
	status.Regressed = status.Regressed || d.calls.Regressed()
	return status
}
