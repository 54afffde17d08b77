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

// TestWatchesZoneRelay tests that a node watches the relay of its zone and not the store.
func TestWatchesZoneRelay(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	board := startRelayed(t, fake, relays, twoPeers(t))
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "the relay's change is active", tableActive(board, 9))
	if watches := fake.watchCount(); watches != 0 {
		t.Errorf("%d store watches", watches)
	}
	for _, node := range relays.watchedNodes() {
		if port := node.Port(); port != 1001 && port != 1002 {
			t.Errorf("watched relays %v", node)
		}
	}
}

// TestStoreWatchedAfterRelayFailure tests that a node watches the store after its relay has failed
// once, without a full listing.
func TestStoreWatchedAfterRelayFailure(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{broken: true}
	board := startRelayed(t, fake, relays, twoPeers(t))
	eventually(t, "the store is watched", func() bool { return fake.watchCount() > 0 })
	fake.put(tableAt(t, 9, 9))
	eventually(t, "the store's change is active", tableActive(board, 9))
	watched := relays.watchedNodes()
	if len(watched) != maxRelayFailures || watched[0].Port() != 1001 {
		t.Errorf("watched relays %v", watched)
	}
	if lists, _ := fake.counts(); lists != 1 {
		t.Errorf("%d listings", lists)
	}
	if watches := fake.watchCount(); watches != 1 {
		t.Errorf("%d store watches", watches)
	}
}

// TestZoneWatcherWatchesStore tests that a zone watcher watches no relay.
func TestZoneWatcherWatchesStore(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{}
	fake.put(nodeAtAddress(t, 1, "self", "127.0.0.1:1004"))
	fake.put(nodeAtAddress(t, 2, "z", "127.0.0.1:1003"))
	board := startRelayed(t, fake, relays, nil)
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	fake.put(tableAt(t, 9, 9))
	eventually(t, "the store's change is active", tableActive(board, 9))
	if watched := relays.watchedNodes(); len(watched) != 0 {
		t.Errorf("watched relays %v", watched)
	}
}

func (s *fakeStore) watchCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.watchers)
}

// TestLaggingRelayReplacedWithoutResync tests that a node leaves a lagging relay for the store's
// watch without a full listing, which costs several calls.
func TestLaggingRelayReplacedWithoutResync(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	announcer := &fakeAnnouncer{received: make(chan announce.Announcement)}
	board := startRelayedWith(t, fake, relays, twoPeers(t), announcer, 2*time.Second)
	eventually(t, "a relay is watched", func() bool { return len(relays.watchedNodes()) > 0 })
	announcer.received <- announce.Announcement{Revision: 9}
	eventually(t, "the store is watched", func() bool { return fake.watchCount() > 0 })
	fake.put(tableAt(t, 9, 9))
	eventually(t, "the store's change is active", tableActive(board, 9))
	if lists, _ := fake.counts(); lists != 1 {
		t.Errorf("%d listings", lists)
	}
}

// TestRelayWatchedWhileStoreUnavailable tests that a zone watcher receives changes from a peer
// while the store is unavailable to it, and seldom calls the store.
func TestRelayWatchedWhileStoreUnavailable(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	fake.put(nodeAtAddress(t, 1, "self", "127.0.0.1:1004"))
	fake.put(nodeAtAddress(t, 2, "z", "127.0.0.1:1003"))
	board := startRelayedWith(t, fake, relays, nil, &fakeAnnouncer{received: make(chan announce.Announcement)}, 3*time.Second)
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	fake.setFaults(false, true)
	fake.breakWatches()
	eventually(t, "a relay is watched", func() bool { return len(relays.watchedNodes()) > 0 })
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "the relay's change is active", tableActive(board, 9))
	before, _ := fake.counts()
	time.Sleep(maxBackoff)
	if after, _ := fake.counts(); after-before > 2 {
		t.Errorf("%d listings in a second", after-before)
	}
}

// TestUnregisteredNodeWatchesOtherZone tests that a node that loses the store before it has
// registered, and is the only one of its zone, watches a node of another zone.
func TestUnregisteredNodeWatchesOtherZone(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	far := topology.Node{ID: "z", Ready: true, StateAddress: "127.0.0.1:1003", Place: topology.Place{Zone: "z2"}}
	fake.put(store.KeyValue{Key: "nodes/z", Value: mustEncode(t, far), ModRevision: 1})
	fake.put(tableAt(t, 4, 1))
	board := &blackboard.Board{}
	f := New(Options{
		Store: fake, Announcer: &fakeAnnouncer{received: make(chan announce.Announcement)}, RelayClient: relays,
		Decoder: testDecoder{}, Keys: testKeys, Board: board, EntryNodes: 2,
		Self: topology.Node{ID: "self", Place: topology.Place{Zone: "z1"}}, MaxStaleness: time.Minute, VanishedRetention: time.Second,
	})
	runFollower(t, f)
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	fake.setFaults(false, true)
	fake.breakWatches()
	eventually(t, "a relay in another zone is watched", func() bool { return len(relays.watchedNodes()) > 0 })
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}
	eventually(t, "its change is active", tableActive(board, 9))
}

// TestRestartedWatcherReturnsToStore tests that a restarted zone watcher, which at first watches
// the node that replaced it, watches the store as soon as it sees its own entry.
func TestRestartedWatcherReturnsToStore(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	startRelayed(t, fake, relays, []store.KeyValue{nodeAtAddress(t, 2, "z", "127.0.0.1:1001")})
	eventually(t, "the replacement node is watched", func() bool { return len(relays.watchedNodes()) == 1 })
	own := nodeAtAddress(t, 9, "self", "127.0.0.1:1004")
	relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: own}}, Relayed: true}
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
}

// TestFeedPublishedWhileBehind tests that changes are published to the feed while higher revisions
// have been announced, as is always the case under continuous changes.
func TestFeedPublishedWhileBehind(t *testing.T) {
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
