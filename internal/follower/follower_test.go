package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

func TestStalledWatchDetectedByOwnCheck(t *testing.T) {
	fake := &fakeStore{}
	fake.put(tableAt(t, 1, 1))
	board, announcer := startFollower(t, fake, 300*time.Millisecond)
	eventually(t, "the first configuration is active", tableActive(board, 1))
	fake.setFaults(true, false)
	fake.put(tableAt(t, 2, 2))
	eventually(t, "the second configuration is active", tableActive(board, 2))
	if got := announcer.highestSent(); got != 2 {
		t.Errorf("announced revision %d", got)
	}
}

// TestStalledWatchDetectedByAnnouncement tests that an announcement reveals a stalled watch before
// the node's own check is due.
func TestStalledWatchDetectedByAnnouncement(t *testing.T) {
	fake := &fakeStore{}
	fake.put(tableAt(t, 1, 1))
	board, announcer := startFollower(t, fake, 6*time.Second)
	eventually(t, "the first configuration is active", tableActive(board, 1))
	fake.setFaults(true, false)
	fake.put(tableAt(t, 2, 2))
	announcer.received <- announce.Announcement{Revision: 2}
	eventually(t, "the second configuration is active", tableActive(board, 2))
	if lists, gets := fake.counts(); lists != 2 || gets != 0 {
		t.Errorf("%d listings and %d checks", lists, gets)
	}
}

func TestPeerConfirmationsReplaceChecks(t *testing.T) {
	fake := &fakeStore{}
	fake.put(tableAt(t, 1, 1))
	board, announcer := startFollower(t, fake, time.Second)
	eventually(t, "the configuration is active", tableActive(board, 1))
	for range 10 {
		time.Sleep(60 * time.Millisecond)
		announcer.received <- announce.Announcement{Revision: 1}
	}
	if _, gets := fake.counts(); gets != 0 {
		t.Errorf("%d checks, want none", gets)
	}
}

// TestSyncSoonAfterStoreRecovers tests that hanging calls of the initial listing are abandoned, so
// that it succeeds soon after an outage.
func TestSyncSoonAfterStoreRecovers(t *testing.T) {
	fake := &fakeStore{unresponsive: true}
	fake.put(tableAt(t, 1, 1))
	const maxStaleness = 4 * time.Second
	board, _ := startFollower(t, fake, maxStaleness)
	eventually(t, "the store is called", func() bool { lists, _ := fake.counts(); return lists > 0 })
	fake.setFaults(false, false)
	recovered := time.Now()
	eventually(t, "the configuration is active", tableActive(board, 1))
	if took := time.Since(recovered); took > maxStaleness/2 {
		t.Errorf("active %v after the store recovered", took)
	}
}

// TestVanishedReplicaExpires tests that a vanished replica expires in time without any further
// event, and also during a store outage.
func TestVanishedReplicaExpires(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		t.Run(fmt.Sprint("store unavailable ", unavailable), func(t *testing.T) {
			fake := &fakeStore{watchDelay: 100 * time.Millisecond}
			fake.put(replicaAt(t, 1, "a", topology.ReplicaServing))
			board, announcer := &blackboard.Board{}, &fakeAnnouncer{received: make(chan announce.Announcement)}
			const maxStaleness = 10 * time.Second
			f := New(Options{
				Store: fake, Announcer: announcer, Decoder: testDecoder{}, Keys: testKeys, Board: board,
				Self: topology.Node{ID: "self"}, MaxStaleness: maxStaleness, VanishedRetention: maxStaleness / 50,
			})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- f.Run(ctx) }()
			eventually(t, "the replica is known", func() bool { return board.Replicas.Load() != nil })
			gone := time.Now()
			fake.remove("replicas/a")
			eventually(t, "the replica has vanished", func() bool { return replicaStates(board)["a"] == topology.ReplicaVanished })
			fake.setFaults(false, unavailable)
			if unavailable {
				fake.breakWatches()
			}
			eventually(t, "the replica has expired", func() bool { return len(replicaStates(board)) == 0 })
			if took := time.Since(gone); took > maxStaleness/5 {
				t.Errorf("expired after %v", took)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// fakeSnapshotReader returns a snapshot provided by the test.
type fakeSnapshotReader struct {
	mutex    sync.Mutex
	snapshot handover.Snapshot
}

func (r *fakeSnapshotReader) set(handed handover.Snapshot) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.snapshot = handed
}

func (r *fakeSnapshotReader) Read(context.Context) (handover.Snapshot, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.snapshot.Revision == 0 {
		return handover.Snapshot{}, errors.New("no snapshot")
	}
	return r.snapshot, nil
}

// TestPeerSnapshotWhileStoreUnavailable tests that newer peer snapshots are applied and older ones
// are ignored.
func TestPeerSnapshotWhileStoreUnavailable(t *testing.T) {
	fake, snapshots := &fakeStore{}, &fakeSnapshotReader{}
	fake.put(tableAt(t, 3, 3))
	board, announcer := &blackboard.Board{}, &fakeAnnouncer{received: make(chan announce.Announcement)}
	f := New(Options{
		Store: fake, Announcer: announcer, PeerSnapshots: snapshots, Decoder: testDecoder{}, Keys: testKeys, Board: board,
		Self: topology.Node{ID: "self"}, MaxStaleness: 400 * time.Millisecond, VanishedRetention: time.Second,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	eventually(t, "the first configuration is active", tableActive(board, 3))
	fake.setFaults(true, true)
	eventually(t, "the store is unreachable", func() bool { return !board.Store.Load().Reachable })
	snapshots.set(handover.Snapshot{Revision: 2, Values: []store.KeyValue{tableAt(t, 2, 2)}})
	time.Sleep(300 * time.Millisecond)
	if !tableActive(board, 3)() {
		t.Error("an older snapshot was applied")
	}
	snapshots.set(handover.Snapshot{Revision: 9, Values: []store.KeyValue{tableAt(t, 9, 9)}})
	eventually(t, "the peer snapshot is active", tableActive(board, 9))
	if snapshot, known := f.Snapshot(); !known || snapshot.Revision != 9 || len(snapshot.Values) != 1 {
		t.Errorf("snapshot %+v, %v", snapshot, known)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestStoreStatusPublished(t *testing.T) {
	fake := &fakeStore{}
	fake.put(tableAt(t, 1, 1))
	board, _ := startFollower(t, fake, 200*time.Millisecond)
	reachable := func(want bool) func() bool {
		return func() bool {
			status := board.Store.Load()
			return status != nil && status.Reachable == want
		}
	}
	eventually(t, "the store is reachable", reachable(true))
	fake.setFaults(true, true)
	eventually(t, "the store is unreachable", reachable(false))
	if !tableActive(board, 1)() {
		t.Error("configuration lost during the outage")
	}
	fake.setFaults(false, false)
	eventually(t, "the store is reachable again", reachable(true))
}
