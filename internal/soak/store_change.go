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
func (c *checker) checkChange(change storeChange) {
	due := change.at.Add(applyTime)
	if change.replica != nil {
		due = change.at.Add(drainTime)
	}
	until := due.Add(checkWindow)
	hidden := c.cluster.overlapsFault(change.at.Add(-contactTime), until, func(e event) bool {
		// a paused node may send its pending requests to a leaving replica when resumed
		return e.kind.delaysStoreUpdates() || change.replica != nil && (e.kind == PauseDuringChange || e.kind == PauseStop)
	})
	if hidden || c.replaced(change, until) || c.cluster.stalls.overlaps(change.at, until) {
		return
	}
	c.report.ChangesChecked++
	if change.replica != nil {
		c.checkDrained(change.replica, due, until)
		return
	}
	for i := range c.seen {
		c.checkConfigured(&c.seen[i], change, due, until)
	}
}

// replaced reports whether another configuration was written before until.
func (c *checker) replaced(change storeChange, until time.Time) bool {
	for _, other := range c.cluster.changes {
		if change.replica == nil && other.replica == nil && other.at.After(change.at) && other.at.Before(until) {
			return true
		}
	}
	return false
}

// checkDrained checks that a leaving replica receives nothing past the deadline.
func (c *checker) checkDrained(replica *standin.Replica, due, until time.Time) {
	for _, arrival := range replica.ArrivalLog() {
		if !arrival.Misdirected && arrival.At.After(due) && arrival.At.Before(until) {
			c.addFinding("%s reached a replica of %s %v after it was due to receive nothing",
				arrival.ID, replica.Service(), arrival.At.Sub(due))
			return
		}
	}
}

// checkConfigured checks the shard count against the newest configuration.
func (c *checker) checkConfigured(seen *observation, change storeChange, due, until time.Time) {
	answered := seen.path == scattered && seen.err == nil && seen.response.Status == http.StatusOK
	if !answered || seen.sent.Before(due) || seen.sent.After(until) {
		return
	}
	if count := len(seen.response.Parts) + seen.response.Missing; count != change.shards {
		c.addFinding("%s was answered from %d shards %v after a configuration of %d was due",
			seen.id, count, seen.sent.Sub(due), change.shards)
	}
}
