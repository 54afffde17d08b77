package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/relay"
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
	services := map[string]routing.Service{"g": {
		Name: "g", ConnectionLimit: read.Limit, ColdDuration: testColdTime, ColdRate: testColdRate,
	}}
	return routing.NewTable(read.Version, nil, services, routing.Limits{}), nil
}

func (testDecoder) Replica(key string, value []byte) (topology.Replica, error) {
	var read topology.Replica
	err := json.Unmarshal(value, &read)
	read.Incarnation = key[len("replicas/"):]
	return read, err
}

var testKeys = Keys{Configuration: "table", Replicas: "replicas/", Nodes: "nodes/", Evacuations: "evacuated/"}

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
		Self: topology.Node{ID: "self"}, MaxStaleness: 3 * time.Second, VanishedRetention: time.Second, EntryNodes: 2,
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
	// watchAfter is how long a watch takes to begin.
	watchAfter time.Duration
	deaf       bool
	silent     bool
	lists      int
	stales     int
	// compacted is the number of watches that ask for what is no longer kept.
	compacted int
	gets      int
	watching  []chan store.WatchBatch
	// history is told to a watch that begins after it was made.
	history []store.WatchBatch
}

// tell adds a change to the history and brings it to the watches that hear.
func (s *fakeSource) tell(batch store.WatchBatch, deaf bool) {
	s.history = append(s.history, batch)
	if deaf {
		return
	}
	for _, watch := range s.watching {
		watch <- batch
	}
}

func (s *fakeSource) put(value store.KeyValue) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = value.ModRevision
	s.values = slices.DeleteFunc(s.values, func(one store.KeyValue) bool { return one.Key == value.Key })
	s.values = append(s.values, value)
	s.tell(store.WatchBatch{Revision: s.revision, Events: []store.Event{{KeyValue: value}}}, s.deaf)
}

func (s *fakeSource) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.values = slices.DeleteFunc(s.values, func(one store.KeyValue) bool { return one.Key == key })
	removed := store.Event{KeyValue: store.KeyValue{Key: key}, Deleted: true}
	s.tell(store.WatchBatch{Revision: s.revision, Events: []store.Event{removed}}, false)
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

func (s *fakeSource) Watch(ctx context.Context, _ string, fromRevision int64, deliver func(store.WatchBatch) error) error {
	time.Sleep(s.watchAfter)
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
	events := make(chan store.WatchBatch, 16+len(s.history))
	for _, batch := range s.history {
		if !s.deaf && batch.Revision >= fromRevision {
			events <- batch
		}
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
		Store: source, Announcer: peers, Decoder: testDecoder{}, Keys: testKeys, Board: board,
		Self: topology.Node{ID: "self"}, MaxStaleness: news, VanishedRetention: time.Second,
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

// run runs a follower until the test ends.
func run(t *testing.T, made *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// fakeRelays are other nodes that may be watched.
type fakeRelays struct {
	mu     sync.Mutex
	broken bool
	// forgetful nodes do not keep the changes that are asked for.
	forgetful bool
	// silent are the ports of nodes that do not answer.
	silent  map[uint16]bool
	watched []netip.AddrPort
	batches chan store.WatchBatch
}

func (r *fakeRelays) Watch(ctx context.Context, node netip.AddrPort, _ int64, deliver func(store.WatchBatch) error) error {
	r.mu.Lock()
	r.watched = append(r.watched, node)
	broken, silent, forgetful := r.broken, r.silent[node.Port()], r.forgetful
	r.mu.Unlock()
	if forgetful {
		return fmt.Errorf("%w: %w", relay.ErrBroken, relay.ErrForgotten)
	}
	if silent {
		return fmt.Errorf("%w: %w", relay.ErrBroken, relay.ErrSilent)
	}
	if broken {
		return relay.ErrBroken
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-r.batches:
			if err := deliver(batch); err != nil {
				return err
			}
		}
	}
}

func (r *fakeRelays) asked() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]netip.AddrPort(nil), r.watched...)
}

// nodeWith is a node's entry with its state address.
func nodeWith(t *testing.T, revision int64, id, address string) store.KeyValue {
	t.Helper()
	node := topology.Node{ID: id, Ready: true, StateAddress: address}
	return store.KeyValue{Key: "nodes/" + id, Value: encoded(t, node), ModRevision: revision}
}

// startRelayed runs a follower of node "self", beside others that are recorded.
func startRelayed(t *testing.T, source *fakeSource, relays *fakeRelays, others []store.KeyValue) *blackboard.Board {
	t.Helper()
	return startTold(t, source, relays, others, &fakePeers{received: make(chan announce.Announcement)}, time.Minute)
}

// startTold is startRelayed with what other nodes announce, and the time for news.
func startTold(t *testing.T, source *fakeSource, relays *fakeRelays, others []store.KeyValue, peers *fakePeers, news time.Duration) *blackboard.Board {
	t.Helper()
	for _, other := range others {
		source.put(other)
	}
	source.put(tableAt(t, 4, 1))
	board := &blackboard.Board{}
	made := New(Options{
		Store: source, Announcer: peers, RelayClient: relays,
		Decoder: testDecoder{}, Keys: testKeys, Board: board, EntryNodes: 2,
		Self: topology.Node{ID: "self"}, MaxStaleness: news, VanishedRetention: time.Second,
	})
	run(t, made)
	return board
}

func twoOthers(t *testing.T) []store.KeyValue {
	t.Helper()
	return []store.KeyValue{nodeWith(t, 2, "a", "127.0.0.1:1001"), nodeWith(t, 3, "b", "127.0.0.1:1002")}
}
