package follower

import (
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// activation decides when a configuration becomes active. A configuration with new groups waits,
// for a bounded time, until each of them has a replica: during a store outage it may arrive before
// its replicas have registered, and the active one still serves.
type activation struct {
	wait time.Duration

	active *routing.Table
	// pending is newer than active; nil when no configuration waits.
	pending *routing.Table
	// deadline is when pending is activated even without replicas; zero when none waits.
	deadline time.Time
	// latestDeadline caps the deadline of configurations received from now on; zero means no cap.
	latestDeadline time.Time
}

// offer makes table the pending configuration if its version is newer than any seen before.
func (a *activation) offer(table *routing.Table) {
	newest := a.active
	if a.pending != nil {
		newest = a.pending
	}
	if newest == nil || table.Version > newest.Version {
		a.pending = table
	}
}

// activate activates the pending configuration if its groups have replicas or its deadline has
// passed. It reports whether the active configuration changed.
func (a *activation) activate(now time.Time, hasReplica func(group string) bool) bool {
	if a.pending == nil {
		return false
	}
	if a.deadline.IsZero() {
		a.deadline = a.deadlineFrom(now)
	}
	if now.Before(a.deadline) && !a.newGroupsHaveReplicas(hasReplica) {
		return false
	}
	a.active, a.pending, a.deadline = a.pending, nil, time.Time{}
	return true
}

// newGroupsHaveReplicas reports whether each group that the active configuration lacks has a
// replica.
func (a *activation) newGroupsHaveReplicas(hasReplica func(group string) bool) bool {
	if a.active == nil {
		return true // no configuration is active yet
	}
	current := a.active.Groups()
	for group := range a.pending.Groups() {
		if !current[group] && !hasReplica(group) {
			return false
		}
	}
	return true
}

// deadlineFrom returns the activation deadline of a configuration received at now.
func (a *activation) deadlineFrom(now time.Time) time.Time {
	deadline := now.Add(a.wait)
	if !a.latestDeadline.IsZero() && a.latestDeadline.Before(deadline) {
		return a.latestDeadline
	}
	return deadline
}

// nextDeadline returns when the pending configuration is activated at the latest; zero when none is
// pending.
func (a *activation) nextDeadline() time.Time { return a.deadline }

// hasReplica reports whether a group has a replica that takes requests.
func (s *state) hasReplica(group string) bool {
	for _, entry := range s.replicas {
		if entry.replica.Group == group && entry.goneAt.IsZero() && s.stateOf(s.options.Now(), &entry).AcceptsRequests() {
			return true
		}
	}
	return false
}
