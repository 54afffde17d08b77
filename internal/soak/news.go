package soak

import (
	"net/http"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// The times for news, which are those of the nodes' settings.
const (
	drainTime = 3 * time.Second
	applyTime = 3 * time.Second
	// contactTime is how long a node must have been without trouble for them to
	// hold.
	contactTime = 5 * time.Second
	// newsWindow is how long after its time each news is checked.
	newsWindow = 2 * time.Second
)

// checkNews: a change of the store is acted on in time. It holds for nodes that
// were in touch with the store all the while.
func (j *judge) checkNews(one news) {
	due := one.at.Add(applyTime)
	if one.replica != nil {
		due = one.at.Add(drainTime)
	}
	until := due.Add(newsWindow)
	hidden := j.world.met(one.at.Add(-contactTime), until, func(e event) bool {
		// what a paused node had in hand may go to a leaving replica when the node goes on
		return e.kind.hidesNews() || one.replica != nil && (e.kind == PauseDuringChange || e.kind == PauseStop)
	})
	if hidden || j.replaced(one, until) || j.world.stalls.touches(one.at, until) {
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

// replaced tells whether another configuration came before the end of the check.
func (j *judge) replaced(one news, until time.Time) bool {
	for _, other := range j.world.news {
		if one.replica == nil && other.replica == nil && other.at.After(one.at) && other.at.Before(until) {
			return true
		}
	}
	return false
}

// checkDrained: a leaving replica receives nothing after its time.
func (j *judge) checkDrained(replica *standin.Replica, due, until time.Time) {
	for _, arrival := range replica.ArrivalLog() {
		if !arrival.Misdirected && arrival.At.After(due) && arrival.At.Before(until) {
			j.found("%s reached a replica of %s %v after it was due to receive nothing",
				arrival.ID, replica.Service(), arrival.At.Sub(due))
			return
		}
	}
}

// checkConfigured: the number of shards is that of the newest configuration.
func (j *judge) checkConfigured(seen *observation, one news, due, until time.Time) {
	answered := seen.path == scattered && seen.err == nil && seen.response.Status == http.StatusOK
	if !answered || seen.sent.Before(due) || seen.sent.After(until) {
		return
	}
	if count := len(seen.response.Parts) + seen.response.Missing; count != one.shards {
		j.found("%s was answered from %d shards %v after a configuration of %d was due",
			seen.id, count, seen.sent.Sub(due), one.shards)
	}
}
