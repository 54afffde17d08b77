package follower

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// entryNodesAre returns a condition that the entry nodes are exactly those wanted.
func entryNodesAre(board *blackboard.Board, want ...string) func() bool {
	return func() bool {
		nodes := board.Nodes.Load()
		if nodes == nil {
			return false
		}
		var ids []string
		for _, entry := range nodes.EntryNodes {
			ids = append(ids, entry.ID)
		}
		return slices.Equal(ids, want)
	}
}

// TestNextNodeWatchedWhenRelayUnresponsive tests that unresponsive relays, which remain registered, are
// replaced by the next nodes by capacity and not by the store.
func TestNextNodeWatchedWhenRelayUnresponsive(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch), unresponsive: map[uint16]bool{1001: true, 1002: true}}
	peers := append(twoPeers(t), nodeAtAddress(t, 4, "c", "127.0.0.1:1003"))
	board := startRelayed(t, fake, relays, peers)
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "the third node's change is active", tableActive(board, 9))
	if watches := fake.watchCount(); watches != 0 {
		t.Errorf("%d store watches", watches)
	}
	if !entryNodesAre(board, "c")() {
		t.Errorf("entry nodes %v", board.Nodes.Load().EntryNodes)
	}
}

// TestFirstRemainingNodeWatchesStore tests that a standby node becomes an entry node and watches
// the store when all nodes before it are unresponsive.
func TestFirstRemainingNodeWatchesStore(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{unresponsive: map[uint16]bool{1001: true, 1002: true}}
	fake.put(nodeAtAddress(t, 1, "self", "127.0.0.1:1004"))
	board := startRelayed(t, fake, relays, twoPeers(t))
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	eventually(t, "the node is an entry node", entryNodesAre(board, "self"))
	if board.Members.Load().Standby {
		t.Error("still on standby")
	}
	if watched := relays.watchedNodes(); len(watched) != 2 {
		t.Errorf("watched relays %v", watched)
	}
}

// TestUnreachableSuccessorsSkipped tests that successors that failed together with the relay are
// probed concurrently and never watched.
func TestUnreachableSuccessorsSkipped(t *testing.T) {
	lost := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1002"), netip.MustParseAddrPort("127.0.0.1:1003")}
	fake, relays := &fakeStore{}, &fakeRelayClient{unresponsive: map[uint16]bool{1001: true, 1002: true, 1003: true}, batches: make(chan store.WatchBatch)}
	for _, other := range append(twoPeers(t), nodeAtAddress(t, 4, "c", "127.0.0.1:1003"), nodeAtAddress(t, 5, "d", "127.0.0.1:1005")) {
		fake.put(other)
	}
	fake.put(tableAt(t, 6, 1))
	board := &blackboard.Board{}
	runFollower(t, New(Options{
		Store: fake, Announcer: &fakeAnnouncer{received: make(chan announce.Announcement)}, RelayClient: relays,
		Decoder: testDecoder{}, Keys: testKeys, Board: board, EntryNodes: 2, Self: topology.Node{ID: "self"},
		MaxStaleness: time.Minute, VanishedRetention: time.Second, Unreachable: func(context.Context, []netip.AddrPort) []netip.AddrPort { return lost },
	}))
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "the fourth node's change is active", tableActive(board, 9))
	if watched := relays.watchedNodes(); len(watched) != 2 || fake.watchCount() != 0 {
		t.Errorf("watched relays %v, %d store watches", watched, fake.watchCount())
	}
}

// TestIsolatedNodeWatchesStore tests that a node to which all others are unresponsive does not try each
// of them.
func TestIsolatedNodeWatchesStore(t *testing.T) {
	unresponsive := map[uint16]bool{1001: true, 1002: true, 1003: true, 1005: true}
	fake, relays := &fakeStore{}, &fakeRelayClient{unresponsive: unresponsive}
	peers := append(twoPeers(t), nodeAtAddress(t, 4, "c", "127.0.0.1:1003"), nodeAtAddress(t, 5, "d", "127.0.0.1:1005"))
	startRelayed(t, fake, relays, peers)
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	if watched := relays.watchedNodes(); len(watched) != maxUnresponsiveRelays {
		t.Errorf("watched relays %v", watched)
	}
}

// newSuspectState returns a state with the nodes "a", which is suspected, and "self".
func newSuspectState(t *testing.T) (*state, *blackboard.Board) {
	t.Helper()
	state, board := newTestState(t)
	state.put(nodeAt(t, 1, "a"))
	state.put(nodeAt(t, 2, "self"))
	state.suspects.add("a", start.Add(suspicionTTL))
	state.nodesChanged = true
	state.publish(start)
	return state, board
}

func TestSuspectedNodeIsNotEntryNode(t *testing.T) {
	state, board := newSuspectState(t)
	if !entryNodesAre(board, "self")() || !slices.Equal(board.Nodes.Load().Suspected, []string{"a"}) {
		t.Errorf("nodes %+v", board.Nodes.Load())
	}
	if due := state.nextDeadline(); !due.Equal(start.Add(suspicionTTL)) {
		t.Errorf("next deadline %v", due)
	}
	state.publish(start.Add(suspicionTTL))
	if !entryNodesAre(board, "a", "self")() {
		t.Errorf("after expiry: nodes %+v", board.Nodes.Load())
	}
}

// TestNewRegistrationClearsSuspicion tests that a new write of a node's entry clears the suspicion,
// even with unchanged content.
func TestNewRegistrationClearsSuspicion(t *testing.T) {
	state, board := newSuspectState(t)
	state.put(nodeAt(t, 3, "a"))
	state.publish(start)
	if !entryNodesAre(board, "a", "self")() || state.publishedSuspects.Load() != nil {
		t.Errorf("nodes %+v", board.Nodes.Load())
	}
}

// TestSuspectedNodeCountsInShared tests that a suspected node still counts in dividing shared
// limits, as it may be alive.
func TestSuspectedNodeCountsInShared(t *testing.T) {
	state, board := newTestState(t)
	state.put(nodeAt(t, 1, "a"))
	state.put(nodeAt(t, 2, "self"))
	state.publish(start)
	state.suspects.add("a", start.Add(suspicionTTL))
	state.nodesChanged = true
	state.publish(start)
	if shared := board.Nodes.Load().BudgetShares; shared != 2 {
		t.Errorf("shared %d, want 2", shared)
	}
}

// TestSuspicionsForwardedWithRemainingTime tests that forwarding does not extend a suspicion.
// Otherwise two nodes that watch each other would keep it alive.
func TestSuspicionsForwardedWithRemainingTime(t *testing.T) {
	now := start
	f := New(Options{
		Decoder: testDecoder{}, Keys: testKeys, Board: &blackboard.Board{}, Self: topology.Node{ID: "self"},
		MaxStaleness: 3 * time.Second, Now: func() time.Time { return now },
	})
	f.state.put(nodeAt(t, 1, "a"))
	f.state.put(nodeAt(t, 2, "self"))
	f.handleSuspicions([]relay.Suspicion{{ID: "a", TTLMilliseconds: 3000}, {ID: "self", TTLMilliseconds: 3000}, {ID: "unknown", TTLMilliseconds: 3000}})
	now = now.Add(time.Second)
	f.handleSuspicions(f.suspicions())
	if suspicions := f.suspicions(); len(suspicions) != 1 || suspicions[0].ID != "a" || suspicions[0].TTL() != 2*time.Second {
		t.Errorf("suspicions %v", suspicions)
	}
	now = now.Add(2 * time.Second)
	if suspicions := f.suspicions(); len(suspicions) != 0 {
		t.Errorf("suspicions %v after expiry", suspicions)
	}
}
