package proofs

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// measurePropagation measures the time from acceptance of a change until it is in
// force on all daemons, without faults.
func (r *tableRun) measurePropagation(ctx context.Context) error {
	const samples, longest = 25, 30 * time.Second
	var took []time.Duration
	for turn := range samples {
		result, err := r.cluster.AdminClient(0).Edit(ctx, r.measuredEdit(turn), longest)
		if err != nil {
			return eris.Wrap(err, "measure propagation of a change")
		}
		if !result.Propagation.Complete {
			r.addViolation(&r.report.Lost, "revision %d was not in force on all daemons after %s", result.Change.Revision, longest)
		}
		took = append(took, time.Duration(result.Propagation.ElapsedMilliseconds)*time.Millisecond)
	}
	slices.Sort(took)
	r.report.MaxPropagation = took[len(took)-1]
	r.report.MedianPropagation = took[len(took)/2]
	return nil
}

func (r *tableRun) measuredEdit(turn int) policytable.Edit {
	row := policy.DefaultRow("measured")
	row.Limits.Hits = 1 + turn
	return policytable.Edit{Author: author, SetPolicies: []policy.Row{row}}
}

// checkStoreRestore rolls the store back to an older revision and checks that no
// daemon reverts, edits are rejected, and the restore operation recovers.
func (r *tableRun) checkStoreRestore(ctx context.Context) error {
	store := r.cluster.Platform.Store
	older := store.Store.Revision()
	const wait = 30 * time.Second
	for turn := range 3 {
		if _, err := r.cluster.AdminClient(0).Edit(ctx, r.measuredEdit(100+turn), wait); err != nil {
			return eris.Wrap(err, "change the table before the store is restored")
		}
	}
	if err := store.SetFaults(kv.Faults{RestoreRevision: older}); err != nil {
		return err
	}
	r.report.Faults++
	if err := await(ctx, "a daemon to report the store regression", func() (bool, error) { return r.regressionReported(ctx), nil }); err != nil {
		return err
	}
	_, err := r.cluster.AdminClient(0).Edit(ctx, r.measuredEdit(200), 0)
	var problem *client.Problem
	if !errors.As(err, &problem) || problem.Kind != string(failure.StoreRegressed) {
		return eris.Errorf("edit after the store regressed: got error %v, want %s", err, failure.StoreRegressed)
	}
	result, err := r.cluster.AdminClient(0).Restore(ctx, author, wait)
	if err != nil {
		return eris.Wrap(err, "restore the table")
	}
	if !result.Propagation.Complete {
		return eris.Errorf("restored table not in force on all daemons: %+v", *result.Propagation)
	}
	_, err = r.cluster.AdminClient(0).Edit(ctx, r.measuredEdit(300), wait)
	return eris.Wrap(err, "change the table after it was restored")
}

func (r *tableRun) regressionReported(ctx context.Context) bool {
	status, err := r.cluster.AdminClient(0).Status(ctx)
	return err == nil && slices.ContainsFunc(status.Nodes, regressed)
}

// checkHistory checks that every accepted change is in the history and that each
// row of the table has the value set by its last change.
func (r *tableRun) checkHistory(ctx context.Context) error {
	table, err := r.cluster.AdminClient(0).Table(ctx)
	if err != nil {
		return eris.Wrap(err, "read the table")
	}
	revisions := make(map[uint64]string)
	latest := make(map[uint64]acceptedChange)
	for _, change := range r.changes {
		if other := revisions[change.revision]; other != "" && other != change.id {
			r.addViolation(&r.report.Lost, "changes %s and %s were both accepted as revision %d", change.id, other, change.revision)
		}
		revisions[change.revision] = change.id
		latest[change.revision] = change
	}
	for _, row := range table.Policies {
		if change, known := latest[row.Revision]; known && change.hits != row.Limits.Hits {
			r.addViolation(&r.report.Lost, "row %s has %d hits; revision %d set %d", row.Name, row.Limits.Hits, change.revision, change.hits)
		}
	}
	return r.checkRevisionIDs(ctx, revisions)
}

func (r *tableRun) checkRevisionIDs(ctx context.Context, revisions map[uint64]string) error {
	const all = 100_000
	history, err := r.cluster.AdminClient(0).History(ctx, all)
	if err != nil {
		return eris.Wrap(err, "read the history")
	}
	oldest := history.Changes[len(history.Changes)-1].Revision
	historyIDs := make(map[uint64]string)
	for _, change := range history.Changes {
		historyIDs[change.Revision] = change.ID
	}
	for revision, id := range revisions {
		if revision >= oldest && historyIDs[revision] != id {
			r.addViolation(&r.report.Lost, "revision %d was accepted with ID %s, history has %q", revision, id, historyIDs[revision])
		}
	}
	return nil
}

func regressed(node peer.NodeState) bool { return node.Store.Regressed }
