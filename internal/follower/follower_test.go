package follower

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// testDecoder reads the tests' own documents.
type testDecoder struct{}

type testTable struct {
	Version uint64
	Limit   int
}

func (testDecoder) Routes(value []byte) (*routing.Table, error) {
	var read testTable
	if err := json.Unmarshal(value, &read); err != nil {
		return nil, err
	}
	services := map[string]routing.Service{"g": {Name: "g", ConnectionLimit: read.Limit}}
	return routing.NewTable(read.Version, nil, services, routing.Limits{}), nil
}

func (testDecoder) Replica(key string, value []byte) (topology.Replica, error) {
	var read topology.Replica
	err := json.Unmarshal(value, &read)
	read.Incarnation = key[len("replicas/"):]
	return read, err
}

var testKeys = Keys{Configuration: "table", Replicas: "replicas/", Nodes: "nodes/"}

func encoded(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func tableAt(t *testing.T, revision int64, version uint64) store.KeyValue {
	t.Helper()
	return store.KeyValue{Key: "table", Value: encoded(t, testTable{Version: version, Limit: 9}), ModRevision: revision}
}

func replicaAt(t *testing.T, revision int64, name string, state topology.ReplicaState) store.KeyValue {
	t.Helper()
	replica := topology.Replica{Address: name + ":1", Group: "g", Place: topology.Place{Zone: "z1"}, State: state}
	return store.KeyValue{Key: "replicas/" + name, Value: encoded(t, replica), ModRevision: revision}
}

func nodeAt(t *testing.T, revision int64, id string) store.KeyValue {
	t.Helper()
	return store.KeyValue{Key: "nodes/" + id, Value: encoded(t, topology.Node{ID: id, Ready: true}), ModRevision: revision}
}

func newTestState(t *testing.T) (*state, *blackboard.Board) {
	t.Helper()
	board := &blackboard.Board{}
	made := New(Options{
		Decoder: testDecoder{}, Keys: testKeys, Board: board, Regions: map[string]string{"z1": "r1"},
		Self: topology.Node{ID: "self"}, News: 3 * time.Second, VanishedFor: time.Second, EntryNodes: 2,
	})
	return made.state, board
}

var start = time.Unix(1000, 0)

func states(board *blackboard.Board) map[string]topology.ReplicaState {
	found := map[string]topology.ReplicaState{}
	for _, replica := range board.Replicas.Load().Groups["g"] {
		found[replica.Incarnation] = replica.State
	}
	return found
}

// fakeSource is a store whose watch can be deaf, and which can be silent.
type fakeSource struct {
	mutex    sync.Mutex
	values   []store.KeyValue
	revision int64
	deaf     bool
	silent   bool
	lists    int
	stales   int
	// compacted is the number of watches that ask for what is no longer kept.
	compacted int
	gets      int
	watching  []chan store.WatchBatch
}

func (s *fakeSource) put(value store.KeyValue) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = value.ModRevision
	s.values = slices.DeleteFunc(s.values, func(one store.KeyValue) bool { return one.Key == value.Key })
	s.values = append(s.values, value)
	for _, watch := range s.watching {
		if !s.deaf {
			watch <- store.WatchBatch{Revision: s.revision, Events: []store.Event{{KeyValue: value}}}
		}
	}
}

func (s *fakeSource) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.values = slices.DeleteFunc(s.values, func(one store.KeyValue) bool { return one.Key == key })
	for _, watch := range s.watching {
		watch <- store.WatchBatch{Revision: s.revision, Events: []store.Event{{KeyValue: store.KeyValue{Key: key}, Deleted: true}}}
	}
}

// breakWatches ends all watches.
func (s *fakeSource) breakWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, watch := range s.watching {
		close(watch)
	}
	s.watching = nil
}

func (s *fakeSource) set(deaf, silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deaf, s.silent = deaf, silent
}

func (s *fakeSource) counts() (lists, gets int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists, s.gets
}

// call waits as the store does that says nothing.
func (s *fakeSource) call(ctx context.Context, count *int) error {
	s.mutex.Lock()
	*count++
	silent := s.silent
	s.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	return nil
}

func (s *fakeSource) Get(ctx context.Context, _ string) (store.KeyValue, bool, int64, error) {
	if err := s.call(ctx, &s.gets); err != nil {
		return store.KeyValue{}, false, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return store.KeyValue{}, false, s.revision, nil
}

func (s *fakeSource) List(ctx context.Context, _ string, _ int) ([]store.KeyValue, int64, error) {
	if err := s.call(ctx, &s.lists); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.values), s.revision, nil
}

// ListStale implements store.StaleReader. It counts as a list, and is counted apart
// as well.
func (s *fakeSource) ListStale(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	if err := s.call(ctx, &s.lists); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stales++
	values := slices.DeleteFunc(slices.Clone(s.values), func(one store.KeyValue) bool { return !strings.HasPrefix(one.Key, prefix) })
	return values, s.revision, nil
}

func (s *fakeSource) Watch(ctx context.Context, _ string, _ int64, deliver func(store.WatchBatch) error) error {
	events := make(chan store.WatchBatch, 16)
	s.mutex.Lock()
	if s.silent { // the connection is refused, where calls on open ones hang
		s.mutex.Unlock()
		return store.ErrUnavailable
	}
	if s.compacted > 0 {
		s.compacted--
		s.mutex.Unlock()
		return store.ErrCompacted
	}
	s.watching = append(s.watching, events)
	s.mutex.Unlock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch, open := <-events:
			if !open {
				return store.ErrUnavailable
			}
			if err := deliver(batch); err != nil {
				return err
			}
		}
	}
}

// fakePeers collects what is sent and hands over what is received.
type fakePeers struct {
	received chan announce.Announcement
	mutex    sync.Mutex
	sent     []announce.Announcement
}

func (p *fakePeers) Send(news announce.Announcement) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sent = append(p.sent, news)
}

func (p *fakePeers) Received() <-chan announce.Announcement { return p.received }

func (p *fakePeers) highest() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	highest := int64(0)
	for _, news := range p.sent {
		highest = max(highest, news.Revision)
	}
	return highest
}

// startFollower runs a follower with so much time for news.
func startFollower(t *testing.T, source *fakeSource, news time.Duration) (*blackboard.Board, *fakePeers) {
	t.Helper()
	board, peers := &blackboard.Board{}, &fakePeers{received: make(chan announce.Announcement)}
	made := New(Options{
		Source: source, Peers: peers, Decoder: testDecoder{}, Keys: testKeys, Board: board,
		Self: topology.Node{ID: "self"}, News: news, VanishedFor: time.Second,
	})
	run(t, made)
	return board, peers
}

// eventually looks until a condition holds; the limit is generous, so that the
// speed of the machine does not decide.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func inForce(board *blackboard.Board, version uint64) func() bool {
	return func() bool {
		table := board.Routes.Load()
		return table != nil && table.Version == version
	}
}

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
			source := &fakeSource{}
			source.put(replicaAt(t, 1, "a", topology.ReplicaServing))
			board, peers := &blackboard.Board{}, &fakePeers{received: make(chan announce.Announcement)}
			const news = 10 * time.Second
			made := New(Options{
				Source: source, Peers: peers, Decoder: testDecoder{}, Keys: testKeys, Board: board,
				Self: topology.Node{ID: "self"}, News: news, VanishedFor: news / 50,
			})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- made.Run(ctx) }()
			eventually(t, "the replica is known", func() bool { return board.Replicas.Load() != nil })
			gone := time.Now()
			source.remove("replicas/a")
			eventually(t, "the replica has vanished", func() bool { return states(board)["a"] == topology.ReplicaVanished })
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
		Source: source, Peers: peers, Others: others, Decoder: testDecoder{}, Keys: testKeys, Board: board,
		Self: topology.Node{ID: "self"}, News: 400 * time.Millisecond, VanishedFor: time.Second,
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

// TestConfirm: a node that was paused waits for news of the store before it
// trusts what it knows.
func TestConfirm(t *testing.T) {
	source := &fakeSource{}
	source.put(tableAt(t, 1, 1))
	board, peers := &blackboard.Board{}, &fakePeers{received: make(chan announce.Announcement)}
	made := New(Options{
		Source: source, Peers: peers, Decoder: testDecoder{}, Keys: testKeys, Board: board,
		Self: topology.Node{ID: "self"}, News: 200 * time.Millisecond, VanishedFor: time.Second,
	})
	short, cancelShort := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancelShort()
	if made.Confirm(short) {
		t.Error("confirmed before anything was heard")
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	long, cancelLong := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancelLong()
	if !made.Confirm(long) {
		t.Error("not confirmed though the store answers")
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
