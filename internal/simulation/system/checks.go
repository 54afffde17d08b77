package system

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// Promise names one of the things that must always hold.
type Promise string

// The promises, and Recovery: once the faults are over, everything works
// again.
const (
	PromiseSnapshot Promise = "snapshot"
	PromiseCoverage Promise = "coverage"
	PromiseAnswer   Promise = "answer"
	PromiseNotRun   Promise = "not-run"
	PromiseOnce     Promise = "once"
	PromiseLeaving  Promise = "leaving"
	PromiseStop     Promise = "stop"
	PromiseTable    Promise = "table"
	Recovery        Promise = "recovery"
)

// Promises are all of them, in the order of the reports.
var Promises = []Promise{
	PromiseSnapshot, PromiseCoverage, PromiseAnswer, PromiseNotRun, PromiseOnce,
	PromiseLeaving, PromiseStop, PromiseTable, Recovery,
}

// Violation is a promise seen broken.
type Violation struct {
	Promise Promise
	At      time.Duration
	Detail  string
}

// checks compares what was told with what really happened.
type checks struct {
	world      *World
	violations []Violation
	figures    Figures
	faults     []Fault
	freezes    int

	queries queryChecks
	calls   callChecks
	table   tableChecks
}

// Figures are what one run measured.
type Figures struct {
	Queries, Answers, FullAnswers, Refusals int
	FalseReplies, NotRunClaims              int
	Calls, Keys, Executions                 int
	// Regressions is how often a daemon found that the store went back by
	// itself, Acknowledged how often an operator let calls go on.
	Regressions, Acknowledged int
	Departures                int
	// LeavingLongest is the longest time from a back end's leaving to the
	// last new request while daemons could hear; LeavingDisturbed is the same
	// for the rest.
	LeavingLongest, LeavingDisturbed time.Duration
	Stops, CutOff                    int
	Changes, Accepted                int
	// TableLongest is the longest time from a change's commit to its coming
	// into force on the last node, while nothing was disturbed.
	TableLongest time.Duration
}

func newChecks(w *World) *checks {
	return &checks{world: w, queries: newQueryChecks(), calls: newCallChecks(), table: newTableChecks()}
}

// violate notes a broken promise; the first ones of a run are enough.
func (w *World) violate(promise Promise, format string, arguments ...any) {
	const most = 20
	detail := fmt.Sprintf(format, arguments...)
	w.tracef("VIOLATION %s: %s", promise, detail)
	if len(w.checks.violations) < most {
		w.checks.violations = append(w.checks.violations, Violation{Promise: promise, At: w.engine.Now(), Detail: detail})
	}
}

func (c *checks) faultBegins(fault Fault) { c.faults = append(c.faults, fault) }

// disturbance is how long after a fault its effects may still be felt.
const disturbance = 10 * time.Second

// disturbs are the faults that keep daemons from hearing each other.
func (k FaultKind) disturbs() bool {
	switch k {
	case KillDaemon, FreezeDaemon, CutDaemons, CutRegion, LoseMessages, DelayMessages, MassRestart, LostZone:
		return true
	default:
		return false
	}
}

// disturbsStore are the faults that keep daemons from hearing the store.
func (k FaultKind) disturbsStore() bool {
	switch k {
	case RefusingStore, SilentStore, SlowStore, LostStoreAnswers, StaleStoreReads, BrokenWatches, RestoredStore:
		return true
	default:
		return false
	}
}

// undisturbed tells whether no fault of some kinds was felt in an interval.
func (c *checks) undisturbed(from, to time.Duration, counts func(FaultKind) bool) bool {
	for _, fault := range c.faults {
		if counts(fault.Kind) && fault.At <= to && fault.At+fault.For+disturbance >= from {
			return false
		}
	}
	return true
}

func (c *checks) backendLeaves(b *backend) {
	c.figures.Departures++
	c.world.tracef("leaving %s", replicaName(b))
}

// leavingGoal is the time after which a leaving back end gets no new request.
const leavingGoal = 3 * time.Second

func (c *checks) sentToBackend(d *daemon, b *backend) {
	if !b.leaving {
		return
	}
	now := c.world.engine.Now()
	since := now - b.leftAt
	if !c.undisturbed(b.leftAt, now, FaultKind.disturbs) {
		c.figures.LeavingDisturbed = max(c.figures.LeavingDisturbed, since)
		return
	}
	c.figures.LeavingLongest = max(c.figures.LeavingLongest, since)
	if since > leavingGoal {
		c.world.violate(PromiseLeaving, "%s sent a new request to %s %v after it began to leave", d.id, replicaName(b), since)
	}
}

// stopped is called when a planned stop ends its process.
func (c *checks) stopped(d *daemon) {
	c.figures.Stops++
	c.figures.CutOff += d.inFlight
	if d.inFlight != 0 { // fewer than none would hide one that was cut off
		c.world.violate(PromiseStop, "%s was stopped with %d requests in flight", d.id, d.inFlight)
	}
}

func (c *checks) daemonEnds(d *daemon) { delete(c.table.lastRevision, d) }

func (c *checks) falseReply(*backendapi.SearchReply) { c.figures.FalseReplies++ }

// finish makes the checks that need the whole run.
func (c *checks) finish() {
	c.finishQueries()
	c.finishCalls()
	c.finishRegressions()
	c.finishTable()
	c.finishRecovery()
}
