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

// entriesAre tells whether callers are led to just these nodes.
func entriesAre(board *blackboard.Board, want ...string) func() bool {
	return func() bool {
		nodes := board.Nodes.Load()
		if nodes == nil {
			return false
		}
		var found []string
		for _, entry := range nodes.EntryNodes {
			found = append(found, entry.ID)
		}
		return slices.Equal(found, want)
	}
}

// TestTheNextNodeIsWatchedWhenOneIsSilent: nodes whose power is gone stay recorded;
// the next one by capacity takes over, and the store is not called.
func TestTheNextNodeIsWatchedWhenOneIsSilent(t *testing.T) {
	source, relays := &fakeSource{}, &fakeRelays{batches: make(chan store.WatchBatch), silent: map[uint16]bool{1001: true, 1002: true}}
	others := append(twoOthers(t), nodeWith(t, 4, "c", "127.0.0.1:1003"))
	board := startRelayed(t, source, relays, others)
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "what the third node tells is in force", inForce(board, 9))
	if watches := source.watches(); watches != 0 {
		t.Errorf("the store is watched %d times", watches)
	}
	if !entriesAre(board, "c")() {
		t.Errorf("callers are led to %v", board.Nodes.Load().EntryNodes)
	}
}

// TestTheFirstNodeThatIsLeftWatchesTheStore: it stood by, and is an entry node now.
func TestTheFirstNodeThatIsLeftWatchesTheStore(t *testing.T) {
	source, relays := &fakeSource{}, &fakeRelays{silent: map[uint16]bool{1001: true, 1002: true}}
	source.put(nodeWith(t, 1, "self", "127.0.0.1:1004"))
	board := startRelayed(t, source, relays, twoOthers(t))
	eventually(t, "the store is watched", func() bool { return source.watches() == 1 })
	eventually(t, "callers are led to it", entriesAre(board, "self"))
	if board.Members.Load().Standby {
		t.Error("it still stands by")
	}
	if tried := relays.asked(); len(tried) != 2 {
		t.Errorf("tried %v", tried)
	}
}

// TestSuccessorsThatAreLostTooAreNotWatched: they are looked at all at once when the
// node that is watched falls silent.
func TestSuccessorsThatAreLostTooAreNotWatched(t *testing.T) {
	lost := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1002"), netip.MustParseAddrPort("127.0.0.1:1003")}
	source, relays := &fakeSource{}, &fakeRelays{silent: map[uint16]bool{1001: true, 1002: true, 1003: true}, batches: make(chan store.WatchBatch)}
	for _, other := range append(twoOthers(t), nodeWith(t, 4, "c", "127.0.0.1:1003"), nodeWith(t, 5, "d", "127.0.0.1:1005")) {
		source.put(other)
	}
	source.put(tableAt(t, 6, 1))
	board := &blackboard.Board{}
	run(t, New(Options{
		Store: source, Announcer: &fakePeers{received: make(chan announce.Announcement)}, RelayClient: relays,
		Decoder: testDecoder{}, Keys: testKeys, Board: board, EntryNodes: 2, Self: topology.Node{ID: "self"},
		MaxStaleness: time.Minute, VanishedRetention: time.Second, Unreachable: func(context.Context, []netip.AddrPort) []netip.AddrPort { return lost },
	}))
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "what the fourth node tells is in force", inForce(board, 9))
	if tried := relays.asked(); len(tried) != 2 || source.watches() != 0 {
		t.Errorf("tried %v, the store is watched %d times", tried, source.watches())
	}
}

// TestWhoIsCutOffWatchesTheStore: where several nodes are silent one after the other,
// the node does not try all of them.
func TestWhoIsCutOffWatchesTheStore(t *testing.T) {
	silent := map[uint16]bool{1001: true, 1002: true, 1003: true, 1005: true}
	source, relays := &fakeSource{}, &fakeRelays{silent: silent}
	others := append(twoOthers(t), nodeWith(t, 4, "c", "127.0.0.1:1003"), nodeWith(t, 5, "d", "127.0.0.1:1005"))
	startRelayed(t, source, relays, others)
	eventually(t, "the store is watched", func() bool { return source.watches() == 1 })
	if tried := relays.asked(); len(tried) != silentTries {
		t.Errorf("tried %v", tried)
	}
}

// suspectState is a state that knows node "a" and this one.
func suspectState(t *testing.T) (*state, *blackboard.Board) {
	t.Helper()
	known, board := newTestState(t)
	known.put(nodeAt(t, 1, "a"))
	known.put(nodeAt(t, 2, "self"))
	known.suspects.note("a", start.Add(suspicionTime))
	known.nodesChanged = true
	known.publish(start)
	return known, board
}

func TestASuspectedNodeIsNoEntryNode(t *testing.T) {
	known, board := suspectState(t)
	if !entriesAre(board, "self")() || !slices.Equal(board.Nodes.Load().Suspected, []string{"a"}) {
		t.Errorf("nodes %+v", board.Nodes.Load())
	}
	if due := known.dueAt(); !due.Equal(start.Add(suspicionTime)) {
		t.Errorf("due at %v", due)
	}
	known.publish(start.Add(suspicionTime))
	if !entriesAre(board, "a", "self")() {
		t.Errorf("after its time: nodes %+v", board.Nodes.Load())
	}
}

// TestAStartedNodeIsNotSuspected: it has recorded itself anew, with the same content.
func TestAStartedNodeIsNotSuspected(t *testing.T) {
	known, board := suspectState(t)
	known.put(nodeAt(t, 3, "a"))
	known.publish(start)
	if !entriesAre(board, "a", "self")() || known.toldSuspects.Load() != nil {
		t.Errorf("nodes %+v", board.Nodes.Load())
	}
}

// TestASuspectedNodeCountsForTheBudget: it may live, and spend its part.
func TestASuspectedNodeCountsForTheBudget(t *testing.T) {
	known, board := newTestState(t)
	known.put(nodeAt(t, 1, "a"))
	known.put(nodeAt(t, 2, "self"))
	known.publish(start)
	known.suspects.note("a", start.Add(suspicionTime))
	known.nodesChanged = true
	known.publish(start)
	if shared := board.Nodes.Load().BudgetShares; shared != 2 {
		t.Errorf("the budget is divided by %d", shared)
	}
}

// TestSuspicionsArePassedOnWithTheTimeLeft, so that two nodes that watch each other
// do not keep one up.
func TestSuspicionsArePassedOnWithTheTimeLeft(t *testing.T) {
	now := start
	f := New(Options{
		Decoder: testDecoder{}, Keys: testKeys, Board: &blackboard.Board{}, Self: topology.Node{ID: "self"},
		MaxStaleness: 3 * time.Second, Now: func() time.Time { return now },
	})
	f.state.put(nodeAt(t, 1, "a"))
	f.state.put(nodeAt(t, 2, "self"))
	f.suspect([]relay.Suspicion{{ID: "a", Milliseconds: 3000}, {ID: "self", Milliseconds: 3000}, {ID: "unknown", Milliseconds: 3000}})
	now = now.Add(time.Second)
	f.suspect(f.suspicions())
	if told := f.suspicions(); len(told) != 1 || told[0].ID != "a" || told[0].For() != 2*time.Second {
		t.Errorf("told %v", told)
	}
	now = now.Add(2 * time.Second)
	if told := f.suspicions(); len(told) != 0 {
		t.Errorf("told %v after its time", told)
	}
}
