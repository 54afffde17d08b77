package follower

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// TestMostNodesWatchAnother: what it tells is in force, and the store is not
// watched.
func TestMostNodesWatchAnother(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	board := startRelayed(t, source, relays, twoPeers(t))
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "what the other node tells is in force", tableActive(board, 9))
	if watches := source.watchCount(); watches != 0 {
		t.Errorf("the store is watched %d times", watches)
	}
	for _, node := range relays.watchedNodes() {
		if port := node.Port(); port != 1001 && port != 1002 {
			t.Errorf("watches %v", node)
		}
	}
}

// TestTheStoreIsWatchedWhenOtherNodesFail, after the one that watches it for its
// zone was tried once; nothing is read anew for that.
func TestTheStoreIsWatchedWhenOtherNodesFail(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{broken: true}
	board := startRelayed(t, source, relays, twoPeers(t))
	eventually(t, "the store is watched", func() bool { return source.watchCount() > 0 })
	source.put(tableAt(t, 9, 9))
	eventually(t, "what the store tells is in force", tableActive(board, 9))
	tried := relays.watchedNodes()
	if len(tried) != maxRelayFailures || tried[0].Port() != 1001 {
		t.Errorf("tried %v", tried)
	}
	if lists, _ := source.counts(); lists != 1 {
		t.Errorf("the store was read %d times", lists)
	}
	if watches := source.watchCount(); watches != 1 {
		t.Errorf("the store is watched %d times", watches)
	}
}

// TestTheFirstNodesWatchTheStore: one of the wanted number watches no other.
func TestTheFirstNodesWatchTheStore(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{}
	source.put(nodeAtAddress(t, 1, "self", "127.0.0.1:1004"))
	source.put(nodeAtAddress(t, 2, "z", "127.0.0.1:1003"))
	board := startRelayed(t, source, relays, nil)
	eventually(t, "the store is watched", func() bool { return source.watchCount() == 1 })
	source.put(tableAt(t, 9, 9))
	eventually(t, "what the store tells is in force", tableActive(board, 9))
	if asked := relays.watchedNodes(); len(asked) != 0 {
		t.Errorf("watches %v", asked)
	}
}

func (s *fakeStore) watchCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.watchers)
}

// TestANodeThatIsBehindIsGivenUpWithoutAReading: the store still knows the changes
// since, and telling them is one call; a reading is several.
func TestANodeThatIsBehindIsGivenUpWithoutAReading(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	peers := &fakeAnnouncer{received: make(chan announce.Announcement)}
	board := startRelayedWith(t, source, relays, twoPeers(t), peers, 2*time.Second)
	eventually(t, "another node is watched", func() bool { return len(relays.watchedNodes()) > 0 })
	peers.received <- announce.Announcement{Revision: 9}
	eventually(t, "the store is watched", func() bool { return source.watchCount() > 0 })
	source.put(tableAt(t, 9, 9))
	eventually(t, "what the store tells is in force", tableActive(board, 9))
	if lists, _ := source.counts(); lists != 1 {
		t.Errorf("the store was read %d times", lists)
	}
}

// TestARefusedNodeHearsFromOthers: while the store refuses a node that watches it,
// another node tells it what is new, and the store is called seldom.
func TestARefusedNodeHearsFromOthers(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	source.put(nodeAtAddress(t, 1, "self", "127.0.0.1:1004"))
	source.put(nodeAtAddress(t, 2, "z", "127.0.0.1:1003"))
	board := startRelayedWith(t, source, relays, nil, &fakeAnnouncer{received: make(chan announce.Announcement)}, 3*time.Second)
	eventually(t, "the store is watched", func() bool { return source.watchCount() == 1 })
	source.setFaults(false, true)
	source.breakWatches()
	eventually(t, "another node is watched", func() bool { return len(relays.watchedNodes()) > 0 })
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "what the other node tells is in force", tableActive(board, 9))
	before, _ := source.counts()
	time.Sleep(maxBackoff)
	if after, _ := source.counts(); after-before > 2 {
		t.Errorf("the store was read %d times in a second", after-before)
	}
}

// TestARefusedNodeThatIsNotRecordedHearsFromOthers: it is the only node of its zone,
// and the store refuses it before it has recorded itself. So it knows no node of its
// zone, and no other node knows it and tells it anything; it watches one of another
// zone all the same.
func TestARefusedNodeThatIsNotRecordedHearsFromOthers(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	far := topology.Node{ID: "z", Ready: true, StateAddress: "127.0.0.1:1003", Place: topology.Place{Zone: "z2"}}
	source.put(store.KeyValue{Key: "nodes/z", Value: mustEncode(t, far), ModRevision: 1})
	source.put(tableAt(t, 4, 1))
	board := &blackboard.Board{}
	made := New(Options{
		Store: source, Announcer: &fakeAnnouncer{received: make(chan announce.Announcement)}, RelayClient: relays,
		Decoder: testDecoder{}, Keys: testKeys, Board: board, EntryNodes: 2,
		Self: topology.Node{ID: "self", Place: topology.Place{Zone: "z1"}}, MaxStaleness: time.Minute, VanishedRetention: time.Second,
	})
	runFollower(t, made)
	eventually(t, "the store is watched", func() bool { return source.watchCount() == 1 })
	source.setFaults(false, true)
	source.breakWatches()
	eventually(t, "a node of another zone is watched", func() bool { return len(relays.watchedNodes()) > 0 })
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "what it tells is in force", tableActive(board, 9))
}

// TestANodeThatIsBackWatchesTheStore: it has started anew and watches the node that
// stood in for it, until it hears of its own record; that node watches it then.
func TestANodeThatIsBackWatchesTheStore(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	startRelayed(t, source, relays, []store.KeyValue{nodeAtAddress(t, 2, "z", "127.0.0.1:1001")})
	eventually(t, "the node that stood in is watched", func() bool { return len(relays.watchedNodes()) == 1 })
	own := nodeAtAddress(t, 9, "self", "127.0.0.1:1004")
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: own}}, Relayed: true}
	eventually(t, "the store is watched", func() bool { return source.watchCount() == 1 })
}

// TestANodeTellsOnWhatItKnowsThoughOthersKnowMore: while changes come without a
// pause, another node always does.
func TestANodeTellsOnWhatItKnowsThoughOthersKnowMore(t *testing.T) {
	f := New(Options{
		Decoder: testDecoder{}, Keys: testKeys, Board: &blackboard.Board{}, Self: topology.Node{ID: "self"},
		MaxStaleness: time.Minute, Announcer: &fakeAnnouncer{received: make(chan announce.Announcement)},
	})
	f.announceApplied(start, 4)
	f.confirm(start, start, 9)
	f.handleBatch(store.WatchBatch{Revision: 7, Events: []store.Event{{KeyValue: tableAt(t, 7, 7)}}})
	answer := httptest.NewRecorder()
	f.Feed().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, relay.Path+"?after=4&wait=1ms", nil))
	if answer.Code != http.StatusOK {
		t.Errorf("status %d", answer.Code)
	}
}
