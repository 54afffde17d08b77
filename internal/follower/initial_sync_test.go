package follower

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// TestSimultaneousStartWatchesFirstNode tests that a node without known peers waits for them to
// register, and watches the store only if it is the first.
func TestSimultaneousStartWatchesFirstNode(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	registration := time.AfterFunc(startupDelay/4, func() {
		fake.put(nodeAtAddress(t, 8, "a", "127.0.0.1:1001"))
		fake.put(nodeAtAddress(t, 9, "self", "127.0.0.1:1004"))
	})
	defer registration.Stop()
	board := startRelayed(t, fake, relays, nil)
	eventually(t, "the configuration is active", tableActive(board, 1))
	eventually(t, "the first node is watched", func() bool { return len(relays.watchedNodes()) == 1 })
	if watches := fake.watchCount(); watches != 0 {
		t.Errorf("%d store watches, want none", watches)
	}
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.staleLists != 1 || fake.lists != 2 {
		t.Errorf("%d listings, %d of them stale", fake.lists, fake.staleLists)
	}
}

// TestInitialListDoesNotConfirm tests that a possibly stale initial listing is not announced, and
// that an announcement of a later revision leads to a consistent listing.
func TestInitialListDoesNotConfirm(t *testing.T) {
	fake := &fakeStore{}
	fake.put(tableAt(t, 1, 1))
	board, announcer := startFollower(t, fake, 2*time.Second)
	eventually(t, "the configuration is active", tableActive(board, 1))
	if revision := announcer.highestSent(); revision != 0 {
		t.Errorf("revision %d announced", revision)
	}
	fake.setFaults(true, false)
	fake.put(tableAt(t, 2, 2))
	announcer.received <- announce.Announcement{Revision: 2}
	eventually(t, "the second configuration is active", tableActive(board, 2))
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.lists != 2 || fake.staleLists != 1 {
		t.Errorf("%d listings, %d of them stale", fake.lists, fake.staleLists)
	}
}

// TestStoreWatchedForHistoryMissingAtRelay tests that a node watches the store when its relay lacks
// the required history, and returns to the relay afterwards.
func TestStoreWatchedForHistoryMissingAtRelay(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch), compacted: true}
	board := startRelayed(t, fake, relays, twoPeers(t))
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	relays.mu.Lock()
	relays.compacted = false
	relays.mu.Unlock()
	fake.put(tableAt(t, 9, 9))
	eventually(t, "the store's change is active", tableActive(board, 9))
	relays.batches <- store.WatchBatch{Revision: 10, Events: []store.Event{{KeyValue: tableAt(t, 10, 10)}}, Relayed: true}
	eventually(t, "the relay's change is active", tableActive(board, 10))
}

// TestFirstCheckStaggeredByRank tests that nodes that start together do not check at the same time.
func TestFirstCheckStaggeredByRank(t *testing.T) {
	s := &staleness{checkInterval: time.Second, rankDelay: 100 * time.Millisecond, grace: time.Second}
	s.startFromStale(start, 5)
	if got := s.nextCheck(3).Sub(start); got != 1300*time.Millisecond || s.confirmed != 0 {
		t.Errorf("check after %v, confirmed %d", got, s.confirmed)
	}
}

// TestNoResyncAfterStoreOutage tests that the watch resumes from the store's history: full listings
// by hundreds of nodes would overload a store that has just recovered.
func TestNoResyncAfterStoreOutage(t *testing.T) {
	fake := &fakeStore{}
	fake.put(tableAt(t, 1, 1))
	board, _ := startFollower(t, fake, time.Minute)
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	fake.setFaults(false, true)
	fake.breakWatches()
	time.Sleep(3 * minBackoff)
	fake.setFaults(false, false)
	eventually(t, "the store is watched again", func() bool { return fake.watchCount() == 1 })
	fake.put(tableAt(t, 2, 2))
	eventually(t, "the second configuration is active", tableActive(board, 2))
	if lists, _ := fake.counts(); lists != 1 {
		t.Errorf("%d listings", lists)
	}
}

// TestInitialListRetriedWithoutConfiguration tests that a stale listing from before the first
// configuration is repeated.
func TestInitialListRetriedWithoutConfiguration(t *testing.T) {
	fake := &fakeStore{}
	later := time.AfterFunc(2*initialListRetryDelay, func() { fake.put(tableAt(t, 1, 1)) })
	defer later.Stop()
	board, _ := startFollower(t, fake, time.Minute)
	eventually(t, "the configuration is active", tableActive(board, 1))
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.staleLists < 2 || fake.lists != fake.staleLists {
		t.Errorf("%d listings, %d of them stale", fake.lists, fake.staleLists)
	}
}

// TestResyncImmediatelyAfterCompaction tests that a node with a long maximum backoff does not back
// off when the store is available but has compacted the requested history.
func TestResyncImmediatelyAfterCompaction(t *testing.T) {
	fake, relays := &fakeStore{}, &fakeRelayClient{broken: true}
	peers := append(twoPeers(t), nodeAtAddress(t, 4, "c", "127.0.0.1:1003"))
	board := startRelayed(t, fake, relays, peers)
	eventually(t, "the store is watched", func() bool { return fake.watchCount() == 1 })
	fake.mutex.Lock()
	fake.compactedWatches = 1
	fake.mutex.Unlock()
	fake.breakWatches()
	started := time.Now()
	eventually(t, "the store is watched again", func() bool { return fake.watchCount() == 1 })
	if lists, _ := fake.counts(); lists != 2 {
		t.Errorf("%d listings", lists)
	}
	if took := time.Since(started); took > maxBackoff {
		t.Errorf("listed after %v", took)
	}
	fake.put(tableAt(t, 9, 9))
	eventually(t, "the store's change is active", tableActive(board, 9))
}

// TestBackoffByRole tests that a zone watcher retries soon, as the other nodes depend on it, and
// that the others use their long backoff at once.
func TestBackoffByRole(t *testing.T) {
	for self, want := range map[string]time.Duration{"self-first": minBackoff, "z": 36 * time.Second} {
		f := New(Options{
			Decoder: testDecoder{}, Keys: testKeys, Board: &blackboard.Board{}, MaxStaleness: time.Minute,
			Self: topology.Node{ID: self, Place: topology.Place{Zone: "z2"}},
		})
		for i, id := range []string{"a", "b", "c", "self-first", "z"} {
			node := topology.Node{ID: id, Ready: true}
			if id == "self-first" || id == "z" {
				node.Place.Zone = "z2"
			}
			f.state.put(store.KeyValue{Key: "nodes/" + id, Value: mustEncode(t, node), ModRevision: int64(i + 1)})
		}
		f.state.publish(start)
		if got := f.nextBackoff(0); got != want {
			t.Errorf("%s backs off for %v, want %v", self, got, want)
		}
	}
}
