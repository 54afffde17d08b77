package follower

import (
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// activation decides when a configuration is put in force. One that names new groups
// waits for a replica of each of them, for a while: while the store is away, a
// configuration can come before the replicas that it names have recorded
// themselves, and until they have, the one in force still serves.
type activation struct {
	// wait bounds the wait.
	wait time.Duration

	active *routing.Table
	// pending is newer than the one in force.
	pending *routing.Table
	// deadline is when it is put in force at the latest; zero while there is none.
	deadline time.Time
	// latestDeadline bounds due for a configuration that is heard of from now on; zero means that
	// nothing does. What was heard of late has less time to wait.
	latestDeadline time.Time
}

// offer takes in a configuration. The version never goes back.
func (a *activation) offer(table *routing.Table) {
	newest := a.active
	if a.pending != nil {
		newest = a.pending
	}
	if newest == nil || table.Version > newest.Version {
		a.pending = table
	}
}

// activate puts the next configuration in force if it is time; true means that it has.
// known tells whether a replica of a group is there.
func (a *activation) activate(now time.Time, known func(group string) bool) bool {
	if a.pending == nil {
		return false
	}
	if a.deadline.IsZero() {
		a.deadline = a.deadlineFrom(now)
	}
	if now.Before(a.deadline) && !a.newGroupsHaveReplicas(known) {
		return false
	}
	a.active, a.pending, a.deadline = a.pending, nil, time.Time{}
	return true
}

// newGroupsHaveReplicas is true when there is a replica of each group that is new.
func (a *activation) newGroupsHaveReplicas(known func(group string) bool) bool {
	if a.active == nil {
		return true // there is nothing to go on with
	}
	before := a.active.Groups()
	for group := range a.pending.Groups() {
		if !before[group] && !known(group) {
			return false
		}
	}
	return true
}

// deadlineFrom is when a configuration that is heard of now is put in force at the latest.
func (a *activation) deadlineFrom(now time.Time) time.Time {
	due := now.Add(a.wait)
	if !a.latestDeadline.IsZero() && a.latestDeadline.Before(due) {
		return a.latestDeadline
	}
	return due
}

// nextDeadline is when the next configuration is put in force at the latest; zero when
// none waits.
func (a *activation) nextDeadline() time.Time { return a.deadline }

// hasReplica tells whether a replica of a group takes requests.
func (s *state) hasReplica(group string) bool {
	for _, entry := range s.replicas {
		if entry.replica.Group == group && entry.goneAt.IsZero() && s.stateOf(s.options.Now(), &entry).TakesWork() {
			return true
		}
	}
	return false
}
