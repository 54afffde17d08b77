package follower

import (
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// adoption decides when a configuration is put in force. One that names new groups
// waits for a replica of each of them, for a while: while the store is away, a
// configuration can come before the replicas that it names have recorded
// themselves, and until they have, the one in force still serves.
type adoption struct {
	// wait bounds the wait.
	wait time.Duration

	inForce *routing.Table
	// next is newer than the one in force.
	next *routing.Table
	// due is when it is put in force at the latest; zero while there is none.
	due time.Time
	// latest bounds due for a configuration that is heard of from now on; zero means that
	// nothing does. What was heard of late has less time to wait.
	latest time.Time
}

// offer takes in a configuration. The version never goes back.
func (a *adoption) offer(table *routing.Table) {
	newest := a.inForce
	if a.next != nil {
		newest = a.next
	}
	if newest == nil || table.Version > newest.Version {
		a.next = table
	}
}

// adopt puts the next configuration in force if it is time; true means that it has.
// known tells whether a replica of a group is there.
func (a *adoption) adopt(now time.Time, known func(group string) bool) bool {
	if a.next == nil {
		return false
	}
	if a.due.IsZero() {
		a.due = a.dueFrom(now)
	}
	if now.Before(a.due) && !a.served(known) {
		return false
	}
	a.inForce, a.next, a.due = a.next, nil, time.Time{}
	return true
}

// served is true when there is a replica of each group that is new.
func (a *adoption) served(known func(group string) bool) bool {
	if a.inForce == nil {
		return true // there is nothing to go on with
	}
	before := a.inForce.Groups()
	for group := range a.next.Groups() {
		if !before[group] && !known(group) {
			return false
		}
	}
	return true
}

// dueFrom is when a configuration that is heard of now is put in force at the latest.
func (a *adoption) dueFrom(now time.Time) time.Time {
	due := now.Add(a.wait)
	if !a.latest.IsZero() && a.latest.Before(due) {
		return a.latest
	}
	return due
}

// dueAt is when the next configuration is put in force at the latest; zero when
// none waits.
func (a *adoption) dueAt() time.Time { return a.due }

// hasReplica tells whether a replica of a group takes requests.
func (s *state) hasReplica(group string) bool {
	for _, entry := range s.replicas {
		if entry.replica.Group == group && entry.goneAt.IsZero() && s.stateOf(s.options.Now(), &entry).AcceptsRequests() {
			return true
		}
	}
	return false
}
