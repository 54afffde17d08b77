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

// measure takes the time from acceptance until a change is in force on all
// daemons, without faults.
func (r *tableRun) measure(ctx context.Context) error {
	const samples, longest = 25, 30 * time.Second
	var took []time.Duration
	for turn := range samples {
		result, err := r.cluster.AdminClient(0).Edit(ctx, r.measuredEdit(turn), longest)
		if err != nil {
			return eris.Wrap(err, "measure a change")
		}
		if !result.Propagation.Complete {
			r.violate(&r.report.Lost, "revision %d was not in force on all daemons after %s", result.Change.Revision, longest)
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

// restore takes the store back to an older revision: nothing may revert, an
// edit must be refused, and "restore" must mend it.
func (r *tableRun) restore(ctx context.Context) error {
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
	if err := await(ctx, "the alarm of the restored store", func() (bool, error) { return r.alarmed(ctx), nil }); err != nil {
		return err
	}
	_, err := r.cluster.AdminClient(0).Edit(ctx, r.measuredEdit(200), 0)
	var problem *client.Problem
	if !errors.As(err, &problem) || problem.Kind != string(failure.StoreRegressed) {
		return eris.Errorf("an edit of a restored store gave %v; want %s", err, failure.StoreRegressed)
	}
	result, err := r.cluster.AdminClient(0).Restore(ctx, author, wait)
	if err != nil {
		return eris.Wrap(err, "restore the table")
	}
	if !result.Propagation.Complete {
		return eris.Errorf("the restored table is not in force everywhere: %+v", *result.Propagation)
	}
	_, err = r.cluster.AdminClient(0).Edit(ctx, r.measuredEdit(300), wait)
	return eris.Wrap(err, "change the table after it was restored")
}

func (r *tableRun) alarmed(ctx context.Context) bool {
	status, err := r.cluster.AdminClient(0).Status(ctx)
	return err == nil && slices.ContainsFunc(status.Nodes, regressed)
}

// checkHistory looks for every accepted change in the history, and for the
// values of the last change of each row in the table.
func (r *tableRun) checkHistory(ctx context.Context) error {
	table, err := r.cluster.AdminClient(0).Table(ctx)
	if err != nil {
		return eris.Wrap(err, "read the table")
	}
	revisions := make(map[uint64]string)
	latest := make(map[uint64]acceptedChange)
	for _, change := range r.changes {
		if other := revisions[change.revision]; other != "" && other != change.id {
			r.violate(&r.report.Lost, "changes %s and %s were both accepted as revision %d", change.id, other, change.revision)
		}
		revisions[change.revision] = change.id
		latest[change.revision] = change
	}
	for _, row := range table.Policies {
		if change, known := latest[row.Revision]; known && change.hits != row.Limits.Hits {
			r.violate(&r.report.Lost, "row %s has %d hits; revision %d set %d", row.Name, row.Limits.Hits, change.revision, change.hits)
		}
	}
	return r.checkRemembered(ctx, revisions)
}

func (r *tableRun) checkRemembered(ctx context.Context, revisions map[uint64]string) error {
	const all = 100_000
	history, err := r.cluster.AdminClient(0).History(ctx, all)
	if err != nil {
		return eris.Wrap(err, "read the history")
	}
	oldest := history.Changes[len(history.Changes)-1].Revision
	remembered := make(map[uint64]string)
	for _, change := range history.Changes {
		remembered[change.Revision] = change.ID
	}
	for revision, id := range revisions {
		if revision >= oldest && remembered[revision] != id {
			r.violate(&r.report.Lost, "revision %d was accepted as %s; the history has %q", revision, id, remembered[revision])
		}
	}
	return nil
}

func regressed(node peer.NodeState) bool { return node.Store.Regressed }
