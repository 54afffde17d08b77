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

func TestADeafWatchIsNoticedByTheNodeItself(t *testing.T) {
	source := &fakeSource{}
	source.put(tableAt(t, 1, 1))
	board, peers := startFollower(t, source, 300*time.Millisecond)
	eventually(t, "the first table is in force", inForce(board, 1))
	source.set(true, false)
	source.put(tableAt(t, 2, 2))
	eventually(t, "the second table is in force", inForce(board, 2))
	if got := peers.highest(); got != 2 {
		t.Errorf("told the others of revision %d", got)
	}
}

// TestADeafWatchIsNoticedByAPeersWord: the node itself would ask later.
func TestADeafWatchIsNoticedByAPeersWord(t *testing.T) {
	source := &fakeSource{}
	source.put(tableAt(t, 1, 1))
	board, peers := startFollower(t, source, 6*time.Second)
	eventually(t, "the first table is in force", inForce(board, 1))
	source.set(true, false)
	source.put(tableAt(t, 2, 2))
	peers.received <- announce.Announcement{Revision: 2}
	eventually(t, "the second table is in force", inForce(board, 2))
	if lists, gets := source.counts(); lists != 2 || gets != 0 {
		t.Errorf("%d readings and %d questions", lists, gets)
	}
}

func TestConfirmationsOfOthersSaveCalls(t *testing.T) {
	source := &fakeSource{}
	source.put(tableAt(t, 1, 1))
	board, peers := startFollower(t, source, time.Second)
	eventually(t, "the table is in force", inForce(board, 1))
	for range 10 {
		time.Sleep(60 * time.Millisecond)
		peers.received <- announce.Announcement{Revision: 1}
	}
	if _, gets := source.counts(); gets != 0 {
		t.Errorf("asked the store %d times", gets)
	}
}

// TestAStoreThatComesBackIsReadSoon: calls that a silent store has left without
// an answer are given up, and the node that started meanwhile reads at once.
func TestAStoreThatComesBackIsReadSoon(t *testing.T) {
	source := &fakeSource{silent: true}
	source.put(tableAt(t, 1, 1))
	const news = 4 * time.Second
	board, _ := startFollower(t, source, news)
	eventually(t, "the store is asked", func() bool { lists, _ := source.counts(); return lists > 0 })
	source.set(false, false)
	back := time.Now()
	eventually(t, "the table is in force", inForce(board, 1))
	if took := time.Since(back); took > news/2 {
		t.Errorf("read %v after the store was back", took)
	}
}

// TestAVanishedReplicaIsForgottenInTime: also at a node that hears nothing else
// of the store, and asks it only much later; also while the store is away.
func TestAVanishedReplicaIsForgottenInTime(t *testing.T) {
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprint("store away ", away), func(t *testing.T) {
			source := &fakeSource{watchAfter: 100 * time.Millisecond}
			source.put(replicaAt(t, 1, "a", topology.ReplicaServing))
			board, peers := &blackboard.Board{}, &fakePeers{received: make(chan announce.Announcement)}
			const news = 10 * time.Second
			made := New(Options{
				Store: source, Announcer: peers, Decoder: testDecoder{}, Keys: testKeys, Board: board,
				Self: topology.Node{ID: "self"}, MaxStaleness: news, VanishedRetention: news / 50,
			})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- made.Run(ctx) }()
			eventually(t, "the replica is known", func() bool { return board.Replicas.Load() != nil })
			gone := time.Now()
			source.remove("replicas/a")
			eventually(t, "the replica has vanished", func() bool { return states(board)["a"] == topology.ReplicaMissing })
			source.set(false, away)
			if away {
				source.breakWatches()
			}
			eventually(t, "the replica is forgotten", func() bool { return len(states(board)) == 0 })
			if took := time.Since(gone); took > news/5 {
				t.Errorf("forgotten after %v", took)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// fakeOthers hands over what a test says.
type fakeOthers struct {
	mutex  sync.Mutex
	handed handover.Snapshot
}

func (o *fakeOthers) set(handed handover.Snapshot) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.handed = handed
}

func (o *fakeOthers) Read(context.Context) (handover.Snapshot, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.handed.Revision == 0 {
		return handover.Snapshot{}, errors.New("nobody knows")
	}
	return o.handed, nil
}

// TestANodeThatTheStoreRefusesReadsFromAnother: what is newer is taken over, what
// is older is not.
func TestANodeThatTheStoreRefusesReadsFromAnother(t *testing.T) {
	source, others := &fakeSource{}, &fakeOthers{}
	source.put(tableAt(t, 3, 3))
	board, peers := &blackboard.Board{}, &fakePeers{received: make(chan announce.Announcement)}
	made := New(Options{
		Store: source, Announcer: peers, PeerSnapshots: others, Decoder: testDecoder{}, Keys: testKeys, Board: board,
		Self: topology.Node{ID: "self"}, MaxStaleness: 400 * time.Millisecond, VanishedRetention: time.Second,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	eventually(t, "the first table is in force", inForce(board, 3))
	source.set(true, true)
	eventually(t, "the store is lost", func() bool { return !board.Store.Load().Reachable })
	others.set(handover.Snapshot{Revision: 2, Values: []store.KeyValue{tableAt(t, 2, 2)}})
	time.Sleep(300 * time.Millisecond)
	if !inForce(board, 3)() {
		t.Error("an older state was taken over")
	}
	others.set(handover.Snapshot{Revision: 9, Values: []store.KeyValue{tableAt(t, 9, 9)}})
	eventually(t, "what another node knows is in force", inForce(board, 9))
	if handed, known := made.Snapshot(); !known || handed.Revision != 9 || len(handed.Values) != 1 {
		t.Errorf("hands over %+v, %v", handed, known)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestTheStoresStateIsPublished(t *testing.T) {
	source := &fakeSource{}
	source.put(tableAt(t, 1, 1))
	board, _ := startFollower(t, source, 200*time.Millisecond)
	reachable := func(want bool) func() bool {
		return func() bool {
			status := board.Store.Load()
			return status != nil && status.Reachable == want
		}
	}
	eventually(t, "the store is reached", reachable(true))
	source.set(true, true)
	eventually(t, "the store is lost", reachable(false))
	if !inForce(board, 1)() {
		t.Error("what was known is gone")
	}
	source.set(false, false)
	eventually(t, "the store is reached again", reachable(true))
}
