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

// TableOptions say how many changes are made while faults come.
type TableOptions struct {
	// Operators edit at the same time, each through another daemon.
	Operators int
	// Rounds is how often the whole list of faults comes.
	Rounds int
	// Edits is the number of changes accepted between two faults.
	Edits int64
}

// TableReport counts what became of the changes.
type TableReport struct {
	Accepted  int `json:"accepted"`
	Conflicts int `json:"conflicts"`
	// Refused are edits that were not made, for the store.
	Refused int `json:"refused"`
	// Repeated are edits of unknown outcome, sent again with the same ID.
	Repeated int `json:"repeated"`
	Faults   int `json:"faults"`
	// Lost are accepted changes that are not in the history, or whose value is
	// not in the table though no later change touched it.
	Lost int `json:"lost"`
	// Reverts are revisions seen on a daemon after a higher one.
	Reverts int `json:"reverts"`
	// StaleAnswers are queries that a resumed daemon answered from a table
	// older than the one that was in force everywhere else when it resumed.
	StaleAnswers int `json:"stale_answers"`
	// MaxPropagation is the longest time from a change's acceptance until it
	// was seen in force on all daemons, without faults.
	MaxPropagation    time.Duration `json:"slowest_in_force_ns"`
	MedianPropagation time.Duration `json:"median_in_force_ns"`
	// Violations describe each broken promise.
	Violations []string `json:"violations"`
}

// String is one line.
func (r TableReport) String() string {
	return fmt.Sprintf("changes accepted %d, conflicts %d, refused %d, repeated %d, faults %d; lost %d, reverts %d, stale answers %d; in force on all after %s (median), %s (slowest); violations %d",
		r.Accepted, r.Conflicts, r.Refused, r.Repeated, r.Faults, r.Lost, r.Reverts, r.StaleAnswers, r.MedianPropagation, r.MaxPropagation, len(r.Violations))
}

// freezeTime is longer than the pause that a daemon must notice.
const freezeTime = 2500 * time.Millisecond

// Table has operators race their edits while the store fails and daemons are
// frozen, started and cut off, and watches every daemon's table all the time.
func Table(ctx context.Context, cluster *Cluster, options TableOptions) (TableReport, error) {
	run := &tableRun{cluster: cluster, options: options, editing: make(map[*Process]int)}
	watching, stopWatching := context.WithCancel(ctx)
	var watchers errgroup.Group
	defer func() { stopWatching(); _ = watchers.Wait() }()
	for _, process := range cluster.Alive() {
		run.watch(watching, &watchers, process)
	}
	run.watchers, run.watching = &watchers, watching
	steps := []func(context.Context) error{run.race, run.measure, run.restore}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return run.finished(), err
		}
	}
	err := run.checkHistory(ctx)
	return run.finished(), err
}

// acceptedChange is one change that an operator was told is accepted.
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

	accepted atomic.Int64
	values   atomic.Int64
	// editing counts the edits in flight, by the daemon that was sent them first.
	editing map[*Process]int
	stop    atomic.Bool
	mutex   sync.Mutex
	changes []acceptedChange
	report  TableReport
}

func (r *tableRun) finished() TableReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Accepted = len(r.changes)
	return r.report
}

func (r *tableRun) violate(counter *int, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*counter++
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, values...))
}

// watch looks at one daemon's table again and again, through its operators'
// port and through its answers; neither may ever go back.
func (r *tableRun) watch(ctx context.Context, group *errgroup.Group, process *Process) {
	api := apiOf(process)
	callers := client.New(process.callersURL(), nil)
	r.watchOne(ctx, group, process, func() (uint64, error) {
		table, err := api.Table(ctx)
		return table.Revision, err
	})
	r.watchOne(ctx, group, process, func() (uint64, error) {
		answer, err := callers.Query(ctx, searchQuery(0))
		return answer.TableRevision, err
	})
}

func (r *tableRun) watchOne(ctx context.Context, group *errgroup.Group, process *Process, look func() (uint64, error)) {
	group.Go(func() error {
		highest := uint64(0)
		for ctx.Err() == nil {
			if revision, err := look(); err == nil {
				if revision < highest {
					r.violate(&r.report.Reverts, "daemon at %s went from table revision %d to %d", process.Addresses.Peers, highest, revision)
				}
				highest = max(highest, revision)
			}
			sleep(ctx, pollInterval)
		}
		return nil
	})
}

// race has the operators edit while the faults come.
func (r *tableRun) race(ctx context.Context) error {
	var group errgroup.Group
	for number := range r.options.Operators {
		group.Go(func() error { return r.operate(ctx, number) })
	}
	err := r.sabotage(ctx)
	r.stop.Store(true)
	return errors.Join(err, group.Wait())
}

// operate makes one change after the other: each operator has a row of its
// own and fights with the others for a common one.
func (r *tableRun) operate(ctx context.Context, number int) error {
	for turn := 0; ctx.Err() == nil && !r.stop.Load(); turn++ {
		alive := r.cluster.Alive()
		bounded, cancel := context.WithTimeout(ctx, 2*freezeTime)
		err := r.edit(bounded, alive[number%len(alive)], ownRow(number, turn))
		cancel()
		if err != nil {
			return err
		}
	}
	return eris.Wrap(ctx.Err(), "edit the table")
}

func ownRow(number, turn int) string {
	if turn%2 == 0 {
		return "common"
	}
	return fmt.Sprintf("own-%d", number)
}

// edit makes one change of one row as the command line does: read the table,
// change the row, expect that nobody was faster; an unknown outcome is cleared
// up by the same ID through any daemon.
func (r *tableRun) edit(ctx context.Context, process *Process, name string) error {
	api := apiOf(process)
	table, err := api.Table(ctx)
	if err != nil {
		return nil // a daemon that is frozen or just starting
	}
	row := rowOf(table, name)
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
		known, err := r.file(err)
		if known || err != nil {
			return err
		}
		// the outcome is not known, also where ctx ended on a frozen daemon
		ctx = context.WithoutCancel(ctx)
		alive := r.cluster.Alive()
		api = apiOf(alive[len(alive)-1])
		sleep(ctx, pollInterval)
	}
}

// send makes one attempt of an edit, which counts as in flight at the daemon if it
// is the first.
func (r *tableRun) send(ctx context.Context, api *operator.AdminClient, process *Process, edit policytable.Edit, first bool) (*admin.EditResult, error) {
	if first {
		r.countEditing(process, 1)
		defer r.countEditing(process, -1)
	}
	return api.Edit(ctx, edit, 0)
}

func (r *tableRun) countEditing(process *Process, change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.editing[process] += change
}

// isEditing tells whether an edit is in flight at a daemon.
func (r *tableRun) isEditing(process *Process) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.editing[process] > 0
}

// nextHits is a value that no other edit of late has set.
func (r *tableRun) nextHits() int {
	const mostHits = 9000
	return int(r.values.Add(1)%mostHits) + 1
}

func rowOf(table *policy.Table, name string) policy.Row {
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

// file counts a refusal, and tells whether the outcome is known.
func (r *tableRun) file(err error) (known bool, unexpected error) {
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
