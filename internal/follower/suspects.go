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
	// suspicionTTL is how long an unresponsive node counts as not ready unless the suspicion is
	// renewed. It must exceed the interval between two probes by the zone's guard and between two
	// responses of a relay, and be short enough for callers to return soon to a recovered node.
	suspicionTTL = 5 * time.Second
	// maxUnresponsiveRelays is the number of consecutive relays that may be unresponsive before the node
	// watches the store instead. Each costs a timeout, and if all are unresponsive, this node itself is
	// isolated.
	maxUnresponsiveRelays = 3
	// probedSuccessors is the number of nodes probed when a relay is unresponsive. Even if a quarter of
	// the nodes fail at once, runs of failed nodes are rarely longer: four in a row fail once in 256
	// times.
	probedSuccessors = 5
)

// suspects maps registered nodes that do not respond to when the suspicion expires. A node's entry
// outlives the node by several seconds, during which callers, watches and budgets would otherwise
// depend on a dead node.
type suspects map[string]time.Time

// add adds or extends a suspicion, but never shortens it. It reports whether the node was not
// suspected before.
func (s suspects) add(id string, until time.Time) (added bool) {
	previous, known := s[id]
	if !known || until.After(previous) {
		s[id] = until
	}
	return !known
}

// clear removes the suspicion of a node, and reports whether there was one.
func (s suspects) clear(id string) bool {
	_, known := s[id]
	delete(s, id)
	return known
}

// expire removes expired suspicions, and reports whether there were any.
func (s suspects) expire(now time.Time) (changed bool) {
	for id, until := range s {
		if !now.Before(until) {
			delete(s, id)
			changed = true
		}
	}
	return changed
}

// nextExpiry returns when the next suspicion expires; zero when there is none.
func (s suspects) nextExpiry() time.Time {
	var next time.Time
	for _, until := range s {
		next = earliest(next, until)
	}
	return next
}

// ids returns the IDs of the suspected nodes, sorted.
func (s suspects) ids() []string {
	ids := make([]string, 0, len(s))
	for id := range s {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Suspect reports nodes that do not respond. It is safe for concurrent use. Reports are dropped
// while the follower is busy, as they are repeated.
func (f *Follower) Suspect(suspicions []relay.Suspicion) {
	select {
	case f.suspected <- suspicions:
	default:
	}
}

// SuspectUnresponsive is like Suspect, for nodes that this one has just found unresponsive.
func (f *Follower) SuspectUnresponsive(ids []string) {
	suspicions := make([]relay.Suspicion, 0, len(ids))
	for _, id := range ids {
		suspicions = append(suspicions, relay.Suspicion{ID: id, TTLMilliseconds: suspicionTTL.Milliseconds()})
	}
	f.Suspect(suspicions)
}

// handleSuspicions applies suspicions. A node never suspects itself.
func (f *Follower) handleSuspicions(suspicions []relay.Suspicion) {
	now := f.options.Now()
	for _, suspicion := range suspicions {
		if suspicion.ID == f.options.Self.ID || !f.state.isRegistered(suspicion.ID) {
			continue
		}
		if f.state.suspects.add(suspicion.ID, now.Add(min(suspicion.TTL(), suspicionTTL))) {
			f.state.nodesChanged = true
			f.options.Logger.Info("node suspected", "node", suspicion.ID)
		}
	}
	f.state.publishSuspects()
	f.state.publish(now)
}

// publishSuspects publishes the suspicions to the peers that watch this node.
func (s *state) publishSuspects() {
	if len(s.suspects) == 0 {
		s.publishedSuspects.Store(nil)
		return
	}
	published := maps.Clone(s.suspects)
	s.publishedSuspects.Store(&published)
}

// suspicions returns the current suspicions with their remaining time, for the peers that watch
// this node.
func (f *Follower) suspicions() []relay.Suspicion {
	published := f.state.publishedSuspects.Load()
	if published == nil {
		return nil
	}
	now := f.options.Now()
	var current []relay.Suspicion
	for id, until := range *published {
		if left := until.Sub(now).Milliseconds(); left > 0 {
			current = append(current, relay.Suspicion{ID: id, TTLMilliseconds: left})
		}
	}
	return current
}

// handleUnresponsiveRelay suspects a relay that did not respond, so that the next node by capacity is
// watched. That node detects the failure as well, and watches the store if it is the first that
// remains.
func (f *Follower) handleUnresponsiveRelay(from source) {
	f.suspectAddresses([]netip.AddrPort{from.node})
	f.probeSuccessors()
	f.consecutiveUnresponsive++
	if f.consecutiveUnresponsive >= maxUnresponsiveRelays {
		f.consecutiveUnresponsive = 0
		f.recordRelayFailures(maxRelayFailures)
	}
}

// probeSuccessors probes the next nodes by capacity concurrently. They may have failed together
// with the relay, and trying them one by one would take seconds.
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

// suspectAddresses suspects the nodes with the given state addresses.
func (f *Follower) suspectAddresses(addresses []netip.AddrPort) {
	nodes := f.options.Board.Nodes.Load()
	if nodes == nil {
		return
	}
	var suspicions []relay.Suspicion
	for _, node := range nodes.Nodes {
		address, err := netip.ParseAddrPort(node.StateAddress)
		if err == nil && slices.Contains(addresses, address) {
			suspicions = append(suspicions, relay.Suspicion{ID: node.ID, TTLMilliseconds: suspicionTTL.Milliseconds()})
		}
	}
	f.handleSuspicions(suspicions)
}
