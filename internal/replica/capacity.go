package replica

import (
	"context"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
)

// shedMemory is how long a replica that has rejected a request counts as shedding load. An
// overloaded replica rejects requests more often than that.
const shedMemory = time.Second

// GroupState is what a group can take at present, as far as this node knows.
type GroupState uint8

const (
	// GroupOpen means that a replica can take another request, or that none has rejected one
	// lately: replicas that are busy for another reason, as after a restart, can take it soon.
	GroupOpen GroupState = iota
	// GroupShedding means that a replica has recently rejected a request for load, and the usable
	// replicas have as many requests of this node in flight as they can take.
	GroupShedding
	// GroupLost means that no process listens at any of its replicas' addresses.
	GroupLost
)

// GroupStates calls visit with the state of each group. reserved is the number of requests to each
// group that have been admitted and are about to be sent.
func (p *Pool) GroupStates(groups []string, criteria *SelectionCriteria, reserved int, visit func(GroupState)) {
	current, now := p.current(), p.options.Now()
	for _, name := range groups {
		found := current.groups[name]
		if found == nil {
			visit(GroupLost)
			continue
		}
		state := found.capacityState(now, criteria, reserved)
		if state == GroupLost {
			p.probeConnections(found, criteria, now)
		}
		visit(state)
	}
}

func (g *group) capacityState(now time.Time, criteria *SelectionCriteria, reserved int) GroupState {
	free, usable, shedding := -reserved-max(0, int(g.pending.Load())), 0, false
	for _, handle := range g.handles {
		if !handle.mayTake(criteria, now) || handle.isUnreachable(now) {
			continue
		}
		usable++
		shedding = shedding || handle.hasShed(now)
		candidate := handle.candidateFor(now, criteria)
		if !candidate.Ejected && !candidate.Unresponsive {
			free += max(0, candidate.Limit-candidate.InFlight)
		}
	}
	switch {
	case usable == 0:
		return GroupLost
	case shedding && free <= 0:
		return GroupShedding
	default:
		return GroupOpen
	}
}

// AddPending changes the number of requests to a group that have been admitted and wait for a replica
// that can take them.
func (p *Pool) AddPending(groupName string, change int64) {
	if found := p.current().groups[groupName]; found != nil {
		found.pending.Add(change)
	}
}

// hasReachable reports whether one of the replicas that may take a message has a process that
// listens, as far as this node knows.
func (g *group) hasReachable(criteria *SelectionCriteria, now time.Time) bool {
	return slices.ContainsFunc(g.handles, func(handle *Handle) bool {
		return handle.mayTake(criteria, now) && !handle.isUnreachable(now)
	})
}

const (
	// unreachableFor is how long an address without a process counts as unreachable. Later, the next
	// request tries it again.
	unreachableFor = 500 * time.Millisecond
	// connectionProbeInterval is the time between two connections that test whether a process
	// listens again at a replica of a lost group. It bounds how long requests are refused after
	// the group is back.
	connectionProbeInterval = 100 * time.Millisecond
)

// isUnreachable reports whether no process listened at the replica's address lately.
func (h *Handle) isUnreachable(now time.Time) bool {
	at := h.unreachableAt.Load()
	return at != 0 && now.UnixNano()-at < int64(unreachableFor)
}

// observeReachability records whether a process listens at the replica's address.
func (h *Handle) observeReachability(now time.Time, outcome decision.Outcome) {
	switch outcome {
	case decision.ConnectFailed, decision.Crashed:
		h.unreachableAt.Store(now.UnixNano())
	case decision.Failed, decision.ResetBeforeWrite, decision.ResetAfterWrite:
		// may have any cause
	default:
		h.unreachableAt.Store(0)
	}
}

// probeConnections opens a connection to each unreachable replica of a group that has not been tried
// within connectionProbeInterval.
func (p *Pool) probeConnections(lost *group, criteria *SelectionCriteria, now time.Time) {
	for _, handle := range lost.handles {
		at := handle.unreachableAt.Load()
		due := at != 0 && now.UnixNano()-at >= int64(connectionProbeInterval)
		if !due || !criteria.allowsRegion(handle) || !handle.probing.CompareAndSwap(false, true) {
			continue
		}
		p.background(func() {
			defer handle.probing.Store(false)
			if handle.upstream.Accepts(context.Background()) {
				handle.unreachableAt.Store(0)
				return
			}
			handle.unreachableAt.Store(p.options.Now().UnixNano())
		})
	}
}

// background runs work asynchronously.
func (p *Pool) background(work func()) {
	if p.options.Background != nil {
		p.options.Background(work)
		return
	}
	go work()
}

// hasShed reports whether the replica has recently rejected a request for load.
func (h *Health) hasShed(now time.Time) bool {
	last := h.lastShed.Load()
	return last != 0 && int64(now.Sub(h.created))-last < int64(shedMemory)
}
