package soak

import (
	"net/http"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// Deadlines for acting on store changes, as in the nodes' settings.
const (
	drainTime = 3 * time.Second
	applyTime = 3 * time.Second
	// contactTime is how long a node must have been undisturbed for the deadlines
	// to apply.
	contactTime = 5 * time.Second
	// checkWindow is how long past its deadline each change is checked.
	checkWindow = 2 * time.Second
)

// checkChange checks that nodes act on a store change in time. It is skipped if
// a fault may have cut nodes off from the store meanwhile.
func (j *checker) checkChange(one storeChange) {
	due := one.at.Add(applyTime)
	if one.replica != nil {
		due = one.at.Add(drainTime)
	}
	until := due.Add(checkWindow)
	hidden := j.cluster.overlapsFault(one.at.Add(-contactTime), until, func(e event) bool {
		// a paused node may send its pending requests to a leaving replica when resumed
		return e.kind.delaysStoreUpdates() || one.replica != nil && (e.kind == PauseDuringChange || e.kind == PauseStop)
	})
	if hidden || j.replaced(one, until) || j.cluster.stalls.overlaps(one.at, until) {
		return
	}
	j.report.ChangesChecked++
	if one.replica != nil {
		j.checkDrained(one.replica, due, until)
		return
	}
	for i := range j.seen {
		j.checkConfigured(&j.seen[i], one, due, until)
	}
}

// replaced reports whether another configuration was written before until.
func (j *checker) replaced(one storeChange, until time.Time) bool {
	for _, other := range j.cluster.changes {
		if one.replica == nil && other.replica == nil && other.at.After(one.at) && other.at.Before(until) {
			return true
		}
	}
	return false
}

// checkDrained checks that a leaving replica receives nothing past the deadline.
func (j *checker) checkDrained(replica *standin.Replica, due, until time.Time) {
	for _, arrival := range replica.ArrivalLog() {
		if !arrival.Misdirected && arrival.At.After(due) && arrival.At.Before(until) {
			j.addFinding("%s reached a replica of %s %v after it was due to receive nothing",
				arrival.ID, replica.Service(), arrival.At.Sub(due))
			return
		}
	}
}

// checkConfigured checks the shard count against the newest configuration.
func (j *checker) checkConfigured(seen *observation, one storeChange, due, until time.Time) {
	answered := seen.path == scattered && seen.err == nil && seen.response.Status == http.StatusOK
	if !answered || seen.sent.Before(due) || seen.sent.After(until) {
		return
	}
	if count := len(seen.response.Parts) + seen.response.Missing; count != one.shards {
		j.addFinding("%s was answered from %d shards %v after a configuration of %d was due",
			seen.id, count, seen.sent.Sub(due), one.shards)
	}
}
