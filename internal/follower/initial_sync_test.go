package follower

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// TestNodesThatStartTogetherWatchTheFirst: a node that knows no other waits for them
// to record themselves, and watches the store only if it is the first.
func TestNodesThatStartTogetherWatchTheFirst(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch)}
	recording := time.AfterFunc(startupDelay/4, func() {
		source.put(nodeAtAddress(t, 8, "a", "127.0.0.1:1001"))
		source.put(nodeAtAddress(t, 9, "self", "127.0.0.1:1004"))
	})
	defer recording.Stop()
	board := startRelayed(t, source, relays, nil)
	eventually(t, "it serves before that", tableActive(board, 1))
	eventually(t, "the first is watched", func() bool { return len(relays.watchedNodes()) == 1 })
	if watches := source.watchCount(); watches != 0 {
		t.Errorf("the store is watched %d times", watches)
	}
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.staleLists != 1 || source.lists != 2 {
		t.Errorf("%d readings, %d of them stale", source.lists, source.staleLists)
	}
}

// TestAFirstReadingConfirmsNothing: it may be seconds old, so that the others are not
// told of it, and a node that has heard of more reads anew, this time for certain.
func TestAFirstReadingConfirmsNothing(t *testing.T) {
	source := &fakeStore{}
	source.put(tableAt(t, 1, 1))
	board, peers := startFollower(t, source, 2*time.Second)
	eventually(t, "the table is in force", tableActive(board, 1))
	if told := peers.highestSent(); told != 0 {
		t.Errorf("the others are told of revision %d", told)
	}
	source.setFaults(true, false)
	source.put(tableAt(t, 2, 2))
	peers.received <- announce.Announcement{Revision: 2}
	eventually(t, "the second table is in force", tableActive(board, 2))
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.lists != 2 || source.staleLists != 1 {
		t.Errorf("%d readings, %d of them stale", source.lists, source.staleLists)
	}
}

// TestTheStoreIsWatchedForWhatAnotherNodeHasForgotten, and for no longer than that.
func TestTheStoreIsWatchedForWhatAnotherNodeHasForgotten(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{batches: make(chan store.WatchBatch), compacted: true}
	board := startRelayed(t, source, relays, twoPeers(t))
	eventually(t, "the store is watched", func() bool { return source.watchCount() == 1 })
	relays.mu.Lock()
	relays.compacted = false
	relays.mu.Unlock()
	source.put(tableAt(t, 9, 9))
	eventually(t, "what the store tells is in force", tableActive(board, 9))
	relays.batches <- store.WatchBatch{Revision: 10, Events: []store.Event{{KeyValue: tableAt(t, 10, 10)}}, Relayed: true}
	eventually(t, "what the other node tells is in force", tableActive(board, 10))
}

// TestAllDoNotAskAtOnceWhoStartTogether: each waits for its turn from its reading on.
func TestAllDoNotAskAtOnceWhoStartTogether(t *testing.T) {
	checked := &staleness{checkInterval: time.Second, rankDelay: 100 * time.Millisecond, grace: time.Second}
	checked.startFromStale(start, 5)
	if got := checked.nextCheck(3).Sub(start); got != 1300*time.Millisecond || checked.confirmed != 0 {
		t.Errorf("asks after %v, confirmed %d", got, checked.confirmed)
	}
}

// TestAStoreThatWasAwayIsNotReadAnew: its history tells what has changed since, and a
// reading by each of hundreds of nodes is what a store that has just come back bears
// least.
func TestAStoreThatWasAwayIsNotReadAnew(t *testing.T) {
	source := &fakeStore{}
	source.put(tableAt(t, 1, 1))
	board, _ := startFollower(t, source, time.Minute)
	eventually(t, "the store is watched", func() bool { return source.watchCount() == 1 })
	source.setFaults(false, true)
	source.breakWatches()
	time.Sleep(3 * minBackoff)
	source.setFaults(false, false)
	eventually(t, "the store is watched again", func() bool { return source.watchCount() == 1 })
	source.put(tableAt(t, 2, 2))
	eventually(t, "the second table is in force", tableActive(board, 2))
	if lists, _ := source.counts(); lists != 1 {
		t.Errorf("the store was read %d times", lists)
	}
}

// TestAReadingFromBeforeTheFirstConfigurationIsMadeAgain, and for certain in the end.
func TestAReadingFromBeforeTheFirstConfigurationIsMadeAgain(t *testing.T) {
	source := &fakeStore{}
	later := time.AfterFunc(2*initialListRetryDelay, func() { source.put(tableAt(t, 1, 1)) })
	defer later.Stop()
	board, _ := startFollower(t, source, time.Minute)
	eventually(t, "the table is in force", tableActive(board, 1))
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.staleLists < 2 || source.lists != source.staleLists {
		t.Errorf("%d readings, %d of them stale", source.lists, source.staleLists)
	}
}

// TestForgottenHistoryIsReadAtOnce: the store serves; it only no longer keeps what the
// watch asks for. A node that leaves the store alone for long when it is away must not
// do so then.
func TestForgottenHistoryIsReadAtOnce(t *testing.T) {
	source, relays := &fakeStore{}, &fakeRelayClient{broken: true}
	others := append(twoPeers(t), nodeAtAddress(t, 4, "c", "127.0.0.1:1003"))
	board := startRelayed(t, source, relays, others)
	eventually(t, "the store is watched", func() bool { return source.watchCount() == 1 })
	source.mutex.Lock()
	source.compactedWatches = 1
	source.mutex.Unlock()
	source.breakWatches()
	started := time.Now()
	eventually(t, "the store is watched again", func() bool { return source.watchCount() == 1 })
	if lists, _ := source.counts(); lists != 2 {
		t.Errorf("the store was read %d times", lists)
	}
	if took := time.Since(started); took > maxBackoff {
		t.Errorf("read after %v", took)
	}
	source.put(tableAt(t, 9, 9))
	eventually(t, "what the store tells is in force", tableActive(board, 9))
}

// TestWhoWatchesForAZoneIsEager: the others hear of news by it, also when its watch was
// only cut; they leave the store alone for long at once.
func TestWhoWatchesForAZoneIsEager(t *testing.T) {
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
			t.Errorf("%s pauses for %v, want %v", self, got, want)
		}
	}
}
