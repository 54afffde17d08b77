package proofs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"

	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

// TableOptions configures Table.
type TableOptions struct {
	// Operators is the number of concurrent editors, spread over the daemons.
	Operators int
	// Rounds is the number of times that every fault is injected.
	Rounds int
	// Edits is the number of changes accepted between two faults.
	Edits int64
}

// TableReport counts edits by outcome and the violations found.
type TableReport struct {
	Accepted  int `json:"accepted"`
	Conflicts int `json:"conflicts"`
	// Refused counts edits that were rejected because of the store.
	Refused int `json:"refused"`
	// Repeated counts edits of unknown outcome that were resent with the same ID.
	Repeated int `json:"repeated"`
	Faults   int `json:"faults"`
	// Lost counts accepted changes that are missing from the history, or whose
	// value is missing from the table although no later change replaced it.
	Lost int `json:"lost"`
	// Reverts counts table revisions observed on a daemon after a higher one.
	Reverts int `json:"reverts"`
	// StaleAnswers counts queries that a resumed daemon answered from a table
	// older than the one in force on the other daemons when it resumed.
	StaleAnswers int `json:"stale_answers"`
	// MaxPropagation is the longest time from acceptance of a change until it
	// was in force on all daemons, measured without faults.
	MaxPropagation    time.Duration `json:"slowest_in_force_ns"`
	MedianPropagation time.Duration `json:"median_in_force_ns"`
	// Violations describes each violated guarantee.
	Violations []string `json:"violations"`
}

// String returns the report as a single line.
func (r TableReport) String() string {
	return fmt.Sprintf("changes accepted %d, conflicts %d, refused %d, repeated %d, faults %d; lost %d, reverts %d, stale answers %d; in force on all after %s (median), %s (slowest); violations %d",
		r.Accepted, r.Conflicts, r.Refused, r.Repeated, r.Faults, r.Lost, r.Reverts, r.StaleAnswers, r.MedianPropagation, r.MaxPropagation, len(r.Violations))
}

// freezeDuration exceeds the suspension that a daemon must detect.
const freezeDuration = 2500 * time.Millisecond

// Table runs concurrent edits while the store fails and daemons are frozen, started
// and killed, and monitors the table revision of every daemon throughout.
func Table(ctx context.Context, cluster *Cluster, options TableOptions) (TableReport, error) {
	run := &tableRun{cluster: cluster, options: options, editsInFlight: make(map[*Process]int)}
	watching, stopWatching := context.WithCancel(ctx)
	var watchers errgroup.Group
	defer func() { stopWatching(); _ = watchers.Wait() }()
	for _, process := range cluster.Alive() {
		run.watch(watching, &watchers, process)
	}
	run.watchers, run.watching = &watchers, watching
	steps := []func(context.Context) error{run.runOperators, run.measurePropagation, run.checkStoreRestore}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return run.snapshotReport(), err
		}
	}
	err := run.checkHistory(ctx)
	return run.snapshotReport(), err
}

// acceptedChange is a change whose acceptance was reported to an operator.
type acceptedChange struct {
	id       string
	revision uint64
	hits     int
}

type tableRun struct {
	cluster  *Cluster
	options  TableOptions
	watchers *errgroup.Group
	watching context.Context

	accepted    atomic.Int64
	editCounter atomic.Int64
	// editsInFlight counts edits in flight by the daemon that received the first
	// attempt.
	editsInFlight map[*Process]int
	stop          atomic.Bool
	mutex         sync.Mutex
	changes       []acceptedChange
	report        TableReport
}

func (r *tableRun) snapshotReport() TableReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Accepted = len(r.changes)
	return r.report
}

func (r *tableRun) addViolation(counter *int, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*counter++
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, values...))
}

// watch polls the table revision of a daemon through its administration port and
// its query responses. Neither may decrease.
func (r *tableRun) watch(ctx context.Context, group *errgroup.Group, process *Process) {
	api := adminClient(process)
	callers := client.New(process.callersURL(), nil)
	r.watchRevision(ctx, group, process, func() (uint64, error) {
		table, err := api.Table(ctx)
		return table.Revision, err
	})
	r.watchRevision(ctx, group, process, func() (uint64, error) {
		answer, err := callers.Query(ctx, searchQuery(0))
		return answer.TableRevision, err
	})
}

func (r *tableRun) watchRevision(ctx context.Context, group *errgroup.Group, process *Process, readRevision func() (uint64, error)) {
	group.Go(func() error {
		highest := uint64(0)
		for ctx.Err() == nil {
			if revision, err := readRevision(); err == nil {
				if revision < highest {
					r.addViolation(&r.report.Reverts, "daemon at %s reverted from table revision %d to %d", process.Addresses.Peers, highest, revision)
				}
				highest = max(highest, revision)
			}
			sleep(ctx, pollInterval)
		}
		return nil
	})
}

// runOperators runs concurrent operators while faults are injected.
func (r *tableRun) runOperators(ctx context.Context) error {
	var group errgroup.Group
	for number := range r.options.Operators {
		group.Go(func() error { return r.runOperator(ctx, number) })
	}
	err := r.injectFaults(ctx)
	r.stop.Store(true)
	return errors.Join(err, group.Wait())
}

// runOperator makes changes one after the other, alternating between a row of its
// own and one that all operators contend for.
func (r *tableRun) runOperator(ctx context.Context, number int) error {
	for turn := 0; ctx.Err() == nil && !r.stop.Load(); turn++ {
		alive := r.cluster.Alive()
		bounded, cancel := context.WithTimeout(ctx, 2*freezeDuration)
		err := r.edit(bounded, alive[number%len(alive)], rowName(number, turn))
		cancel()
		if err != nil {
			return err
		}
	}
	return eris.Wrap(ctx.Err(), "edit the table")
}

func rowName(number, turn int) string {
	if turn%2 == 0 {
		return "common"
	}
	return fmt.Sprintf("own-%d", number)
}

// edit changes one row as the command line does: it reads the table, changes the
// row and expects the revision it read. An edit of unknown outcome is resent with
// the same ID through the most recently started daemon.
func (r *tableRun) edit(ctx context.Context, process *Process, name string) error {
	api := adminClient(process)
	table, err := api.Table(ctx)
	if err != nil {
		return nil // the daemon is frozen or starting
	}
	row := findRow(table, name)
	row.Limits.Hits = r.nextHits()
	edit := policytable.Edit{
		ID: ulid.Make().String(), Author: author + "-" + name, ExpectedRevision: table.Revision, SetPolicies: []policy.Row{row},
	}
	for first := true; ; first = false {
		result, err := r.send(ctx, api, process, edit, first)
		if err == nil {
			r.accept(acceptedChange{id: edit.ID, revision: result.Change.Revision, hits: row.Limits.Hits})
			return nil
		}
		known, err := r.recordFailure(err)
		if known || err != nil {
			return err
		}
		// The outcome is unknown, also if ctx expired on a frozen daemon.
		ctx = context.WithoutCancel(ctx)
		alive := r.cluster.Alive()
		api = adminClient(alive[len(alive)-1])
		sleep(ctx, pollInterval)
	}
}

// send makes one attempt at an edit. Only the first attempt counts as in flight at
// the daemon.
func (r *tableRun) send(ctx context.Context, api *operator.AdminClient, process *Process, edit policytable.Edit, first bool) (*admin.EditResult, error) {
	if first {
		r.addEditsInFlight(process, 1)
		defer r.addEditsInFlight(process, -1)
	}
	return api.Edit(ctx, edit, 0)
}

func (r *tableRun) addEditsInFlight(process *Process, change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.editsInFlight[process] += change
}

// hasEditInFlight reports whether an edit is in flight at a daemon.
func (r *tableRun) hasEditInFlight(process *Process) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.editsInFlight[process] > 0
}

// nextHits returns a value that no recent edit has set.
func (r *tableRun) nextHits() int {
	const maxHits = 9000
	return int(r.editCounter.Add(1)%maxHits) + 1
}

func findRow(table *policy.Table, name string) policy.Row {
	at := slices.IndexFunc(table.Policies, func(row policy.Row) bool { return row.Name == name })
	if at < 0 {
		return policy.DefaultRow(name)
	}
	return table.Policies[at]
}

func (r *tableRun) accept(change acceptedChange) {
	r.accepted.Add(1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes = append(r.changes, change)
}

// recordFailure counts a failed edit and reports whether its outcome is known.
func (r *tableRun) recordFailure(err error) (known bool, unexpected error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var problem *client.Problem
	switch {
	case !errors.As(err, &problem), problem.Kind == string(failure.OutcomeUnknown):
		r.report.Repeated++
		return false, nil
	case problem.Kind == string(failure.Conflict):
		r.report.Conflicts++
		return true, nil
	case problem.NotRun && problem.Kind != string(failure.InvalidRequest):
		r.report.Refused++
		return true, nil
	default:
		return true, eris.Wrap(err, "edit the table")
	}
}
