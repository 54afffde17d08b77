package follower

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/relay"
)

const (
	// suspicionTTL is how long a node that does not answer counts as not ready; it is
	// renewed as long as the node is found silent. It is over the time between two looks
	// of the node that guards the zone and two answers of a watched node, and short
	// enough for callers to be led again soon to a node that was cut off or frozen.
	suspicionTTL = 5 * time.Second
	// maxSilentRelays is the number of nodes that may be silent, one after the other,
	// before the store is watched instead: each costs a time-out, and where all are
	// silent it is this node that is cut off.
	maxSilentRelays = 3
	// probedSuccessors is the number of nodes that are looked at when the one that was
	// watched is silent: where a quarter of the nodes are lost at once, four in a row
	// are once in 256 times.
	probedSuccessors = 5
)

// suspects are the recorded nodes that do not answer, with the time until which each
// counts as not ready. A node's record outlives it by seconds, and until it lapses
// callers, watches and budgets would wait for a node that is gone.
type suspects map[string]time.Time

// add adds a suspicion, and tells whether the node was not suspected before. A
// suspicion is never shortened.
func (s suspects) add(id string, until time.Time) (added bool) {
	before, known := s[id]
	if !known || until.After(before) {
		s[id] = until
	}
	return !known
}

// clear ends the suspicion of a node, and tells whether there was one.
func (s suspects) clear(id string) bool {
	_, known := s[id]
	delete(s, id)
	return known
}

// expire removes what is over, and tells whether anything was.
func (s suspects) expire(now time.Time) (changed bool) {
	for id, until := range s {
		if !now.Before(until) {
			delete(s, id)
			changed = true
		}
	}
	return changed
}

// nextExpiry is when the next suspicion lapses; zero when there is none.
func (s suspects) nextExpiry() time.Time {
	var next time.Time
	for _, until := range s {
		next = earliest(next, until)
	}
	return next
}

// ids returns the suspected nodes, sorted.
func (s suspects) ids() []string {
	found := make([]string, 0, len(s))
	for id := range s {
		found = append(found, id)
	}
	slices.Sort(found)
	return found
}

// Suspect notes that recorded nodes do not answer, for a time. It may be called from
// any goroutine; what comes while the follower is busy is told again soon, and is
// dropped.
func (f *Follower) Suspect(found []relay.Suspicion) {
	select {
	case f.suspected <- found:
	default:
	}
}

// SuspectUnresponsive is Suspect for nodes that this one has found silent now.
func (f *Follower) SuspectUnresponsive(ids []string) {
	found := make([]relay.Suspicion, 0, len(ids))
	for _, id := range ids {
		found = append(found, relay.Suspicion{ID: id, Milliseconds: suspicionTTL.Milliseconds()})
	}
	f.Suspect(found)
}

// handleSuspicions takes suspicions in. A node never suspects itself.
func (f *Follower) handleSuspicions(found []relay.Suspicion) {
	now := f.options.Now()
	for _, one := range found {
		if one.ID == f.options.Self.ID || !f.state.isRegistered(one.ID) {
			continue
		}
		if f.state.suspects.add(one.ID, now.Add(min(one.For(), suspicionTTL))) {
			f.state.nodesChanged = true
			f.options.Logger.Info("node suspected", "node", one.ID)
		}
	}
	f.state.publishSuspects()
	f.state.publish(now)
}

// publishSuspects publishes the suspicions for those who watch this node.
func (s *state) publishSuspects() {
	if len(s.suspects) == 0 {
		s.publishedSuspects.Store(nil)
		return
	}
	told := maps.Clone(s.suspects)
	s.publishedSuspects.Store(&told)
}

// suspicions returns what those who watch this node are told.
func (f *Follower) suspicions() []relay.Suspicion {
	told := f.state.publishedSuspects.Load()
	if told == nil {
		return nil
	}
	now := f.options.Now()
	var found []relay.Suspicion
	for id, until := range *told {
		if left := until.Sub(now).Milliseconds(); left > 0 {
			found = append(found, relay.Suspicion{ID: id, Milliseconds: left})
		}
	}
	return found
}

// handleSilentRelay notes that the node that was watched does not answer. It is suspected, so
// that the next one by capacity is watched; that one finds the same out, and watches
// the store when it is the first that is left.
func (f *Follower) handleSilentRelay(from source) {
	f.suspectAddresses([]netip.AddrPort{from.node})
	f.probeSuccessors()
	f.consecutiveSilent++
	if f.consecutiveSilent >= maxSilentRelays {
		f.consecutiveSilent = 0
		f.recordRelayFailures(maxRelayFailures)
	}
}

// probeSuccessors looks at the nodes that come next by capacity, all at once: they may
// have been lost with the one that was watched, and watching each in vain would take
// seconds.
func (f *Follower) probeSuccessors() {
	nodes := f.options.Board.Nodes.Load()
	if f.options.Unreachable == nil || nodes == nil {
		return
	}
	var addresses []netip.AddrPort
	for _, node := range directory.Watchers(nodes.Nodes, f.options.Self.Place, probedSuccessors) {
		address, err := netip.ParseAddrPort(node.StateAddress)
		if err == nil && !f.isSelf(node) {
			addresses = append(addresses, address)
		}
	}
	var unreachable []netip.AddrPort
	f.handleEventsDuring(func() { unreachable = f.options.Unreachable(context.Background(), addresses) })
	f.suspectAddresses(unreachable)
}

// suspectAddresses suspects the nodes with some state addresses.
func (f *Follower) suspectAddresses(addresses []netip.AddrPort) {
	nodes := f.options.Board.Nodes.Load()
	if nodes == nil {
		return
	}
	var found []relay.Suspicion
	for _, node := range nodes.Nodes {
		address, err := netip.ParseAddrPort(node.StateAddress)
		if err == nil && slices.Contains(addresses, address) {
			found = append(found, relay.Suspicion{ID: node.ID, Milliseconds: suspicionTTL.Milliseconds()})
		}
	}
	f.handleSuspicions(found)
}
