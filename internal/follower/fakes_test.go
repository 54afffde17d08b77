package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
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

// testDecoder decodes the JSON documents of these tests.
type testDecoder struct{}

type testTable struct {
	Version uint64
	Limit   int
	// Tenants maps the names of tenants to one key each.
	Tenants map[string]string
}

func (testDecoder) Routes(value []byte) (*routing.Table, error) {
	var read testTable
	if err := json.Unmarshal(value, &read); err != nil {
		return nil, err
	}
	services := map[string]routing.Service{"g": {
		Name: "g", ConnectionLimit: read.Limit, ColdDuration: testColdTime, ColdRate: testColdRate,
	}}
	var tenants []routing.TenantSpec
	for _, name := range slices.Sorted(maps.Keys(read.Tenants)) {
		tenants = append(tenants, routing.TenantSpec{Tenant: routing.Tenant{Name: name}, Keys: []string{read.Tenants[name]}})
	}
	return routing.NewTable(read.Version, nil, services, routing.Limits{}).WithTenants(tenants), nil
}

func (testDecoder) Replica(key string, value []byte) (topology.Replica, error) {
	var read topology.Replica
	err := json.Unmarshal(value, &read)
	read.Incarnation = key[len("replicas/"):]
	return read, err
}

var testKeys = Keys{Configuration: "table", Replicas: "replicas/", Nodes: "nodes/", Evacuations: "evacuated/"}

func mustEncode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func tableAt(t *testing.T, revision int64, version uint64) store.KeyValue {
	t.Helper()
	return store.KeyValue{Key: "table", Value: mustEncode(t, testTable{Version: version, Limit: 9}), ModRevision: revision}
}

func replicaAt(t *testing.T, revision int64, name string, state topology.ReplicaState) store.KeyValue {
	t.Helper()
	replica := topology.Replica{Address: name + ":1", Group: "g", Place: topology.Place{Zone: "z1"}, State: state}
	return store.KeyValue{Key: "replicas/" + name, Value: mustEncode(t, replica), ModRevision: revision}
}

func nodeAt(t *testing.T, revision int64, id string) store.KeyValue {
	t.Helper()
	return store.KeyValue{Key: "nodes/" + id, Value: mustEncode(t, topology.Node{ID: id, Ready: true}), ModRevision: revision}
}

func newTestState(t *testing.T) (*state, *blackboard.Board) {
	t.Helper()
	board := &blackboard.Board{}
	f := New(Options{
		Decoder: testDecoder{}, Keys: testKeys, Board: board, Regions: map[string]string{"z1": "r1"},
		Self: topology.Node{ID: "self"}, MaxStaleness: 3 * time.Second, VanishedRetention: time.Second, EntryNodes: 2,
	})
	return f.state, board
}

var start = time.Unix(1000, 0)

func replicaStates(board *blackboard.Board) map[string]topology.ReplicaState {
	states := map[string]topology.ReplicaState{}
	for _, replica := range board.Replicas.Load().Groups["g"] {
		states[replica.Incarnation] = replica.State
	}
	return states
}

// fakeStore is a store that may be unresponsive and whose watches may stall.
type fakeStore struct {
	mutex    sync.Mutex
	values   []store.KeyValue
	revision int64
	// watchDelay is how long a watch takes to start.
	watchDelay   time.Duration
	stalled      bool
	unresponsive bool
	// held is closed to release answers that are held back; nil if none are.
	held       chan struct{}
	lists      int
	staleLists int
	// compactedWatches is the number of watches still to be rejected as compacted.
	compactedWatches int
	gets             int
	watchers         []chan store.WatchBatch
	// history is delivered to later watches.
	history []store.WatchBatch
}

// emit adds a batch to the history and, unless stalled, delivers it to the current watches.
func (s *fakeStore) emit(batch store.WatchBatch, stalled bool) {
	s.history = append(s.history, batch)
	if stalled {
		return
	}
	for _, watch := range s.watchers {
		watch <- batch
	}
}

func (s *fakeStore) put(value store.KeyValue) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = value.ModRevision
	s.values = slices.DeleteFunc(s.values, func(one store.KeyValue) bool { return one.Key == value.Key })
	s.values = append(s.values, value)
	s.emit(store.WatchBatch{Revision: s.revision, Events: []store.Event{{KeyValue: value}}}, s.stalled)
}

func (s *fakeStore) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.values = slices.DeleteFunc(s.values, func(one store.KeyValue) bool { return one.Key == key })
	removed := store.Event{KeyValue: store.KeyValue{Key: key}, Deleted: true}
	s.emit(store.WatchBatch{Revision: s.revision, Events: []store.Event{removed}}, false)
}

// breakWatches ends all watches.
func (s *fakeStore) breakWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, watch := range s.watchers {
		close(watch)
	}
	s.watchers = nil
}

func (s *fakeStore) setFaults(stalled, unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stalled, s.unresponsive = stalled, unresponsive
}

func (s *fakeStore) counts() (lists, gets int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists, s.gets
}

// call counts a call, and blocks until ctx is done if the store is unresponsive.
func (s *fakeStore) call(ctx context.Context, count *int) error {
	s.mutex.Lock()
	*count++
	unresponsive, held := s.unresponsive, s.held
	s.mutex.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			unresponsive = true
		}
	}
	if unresponsive {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	return nil
}

// holdAnswers holds back the answers to further calls until release is called. Calls that wait for
// an earlier release still do.
func (s *fakeStore) holdAnswers() (release func()) {
	held := make(chan struct{})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.held = held
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.held == held {
			s.held = nil
		}
		close(held)
	}
}

func (s *fakeStore) Get(ctx context.Context, _ string) (store.KeyValue, bool, int64, error) {
	if err := s.call(ctx, &s.gets); err != nil {
		return store.KeyValue{}, false, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return store.KeyValue{}, false, s.revision, nil
}

func (s *fakeStore) List(ctx context.Context, _ string, _ int) ([]store.KeyValue, int64, error) {
	if err := s.call(ctx, &s.lists); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.values), s.revision, nil
}

// ListStale implements store.StaleReader. It counts as a list, and also as a stale one.
func (s *fakeStore) ListStale(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	if err := s.call(ctx, &s.lists); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.staleLists++
	values := slices.DeleteFunc(slices.Clone(s.values), func(one store.KeyValue) bool { return !strings.HasPrefix(one.Key, prefix) })
	return values, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, fromRevision int64, deliver func(store.WatchBatch) error) error {
	time.Sleep(s.watchDelay)
	s.mutex.Lock()
	if s.unresponsive { // new connections are refused, while calls on open ones hang
		s.mutex.Unlock()
		return store.ErrUnavailable
	}
	if s.compactedWatches > 0 {
		s.compactedWatches--
		s.mutex.Unlock()
		return store.ErrCompacted
	}
	events := make(chan store.WatchBatch, 16+len(s.history))
	for _, batch := range s.history {
		if !s.stalled && batch.Revision >= fromRevision {
			events <- batch
		}
	}
	s.watchers = append(s.watchers, events)
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

// fakeAnnouncer records what is sent and delivers what a test provides.
type fakeAnnouncer struct {
	received chan announce.Announcement
	mutex    sync.Mutex
	sent     []announce.Announcement
}

func (a *fakeAnnouncer) Send(announcement announce.Announcement) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sent = append(a.sent, announcement)
}

func (a *fakeAnnouncer) Received() <-chan announce.Announcement { return a.received }

func (a *fakeAnnouncer) highestSent() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	highest := int64(0)
	for _, announcement := range a.sent {
		highest = max(highest, announcement.Revision)
	}
	return highest
}

// startFollower runs a follower with the given MaxStaleness.
func startFollower(t *testing.T, fake *fakeStore, maxStaleness time.Duration) (*blackboard.Board, *fakeAnnouncer) {
	t.Helper()
	board, announcer := &blackboard.Board{}, &fakeAnnouncer{received: make(chan announce.Announcement)}
	f := New(Options{
		Store: fake, Announcer: announcer, Decoder: testDecoder{}, Keys: testKeys, Board: board,
		Self: topology.Node{ID: "self"}, MaxStaleness: maxStaleness, VanishedRetention: time.Second,
	})
	runFollower(t, f)
	return board, announcer
}

// eventually waits until a condition holds. The timeout is generous to allow for slow machines.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func tableActive(board *blackboard.Board, version uint64) func() bool {
	return func() bool {
		table := board.Routes.Load()
		return table != nil && table.Version == version
	}
}

// runFollower runs a follower until the test ends.
func runFollower(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// fakeRelayClient watches fake relays.
type fakeRelayClient struct {
	mu     sync.Mutex
	broken bool
	// compacted makes the relays lack the requested history.
	compacted bool
	// unresponsive are the ports of the relays that do not respond.
	unresponsive map[uint16]bool
	watched      []netip.AddrPort
	batches      chan store.WatchBatch
}

func (r *fakeRelayClient) Watch(ctx context.Context, node netip.AddrPort, _ int64, deliver func(store.WatchBatch) error) error {
	r.mu.Lock()
	r.watched = append(r.watched, node)
	broken, unresponsive, compacted := r.broken, r.unresponsive[node.Port()], r.compacted
	r.mu.Unlock()
	if compacted {
		return fmt.Errorf("%w: %w", relay.ErrWatchEnded, relay.ErrRevisionUnavailable)
	}
	if unresponsive {
		return fmt.Errorf("%w: %w", relay.ErrWatchEnded, relay.ErrNoResponse)
	}
	if broken {
		return relay.ErrWatchEnded
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

func (r *fakeRelayClient) watchedNodes() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]netip.AddrPort(nil), r.watched...)
}

// nodeAtAddress returns a node's entry with a state address.
func nodeAtAddress(t *testing.T, revision int64, id, address string) store.KeyValue {
	t.Helper()
	node := topology.Node{ID: id, Ready: true, StateAddress: address}
	return store.KeyValue{Key: "nodes/" + id, Value: mustEncode(t, node), ModRevision: revision}
}

// startRelayed runs a follower of the node "self" beside registered peers.
func startRelayed(t *testing.T, fake *fakeStore, relays *fakeRelayClient, peers []store.KeyValue) *blackboard.Board {
	t.Helper()
	return startRelayedWith(t, fake, relays, peers, &fakeAnnouncer{received: make(chan announce.Announcement)}, time.Minute)
}

// startRelayedWith is startRelayed with the given announcer and MaxStaleness.
func startRelayedWith(t *testing.T, fake *fakeStore, relays *fakeRelayClient, peers []store.KeyValue, announcer *fakeAnnouncer, maxStaleness time.Duration) *blackboard.Board {
	t.Helper()
	for _, peer := range peers {
		fake.put(peer)
	}
	fake.put(tableAt(t, 4, 1))
	board := &blackboard.Board{}
	f := New(Options{
		Store: fake, Announcer: announcer, RelayClient: relays,
		Decoder: testDecoder{}, Keys: testKeys, Board: board, EntryNodes: 2,
		Self: topology.Node{ID: "self"}, MaxStaleness: maxStaleness, VanishedRetention: time.Second,
	})
	runFollower(t, f)
	return board
}

func twoPeers(t *testing.T) []store.KeyValue {
	t.Helper()
	return []store.KeyValue{nodeAtAddress(t, 2, "a", "127.0.0.1:1001"), nodeAtAddress(t, 3, "b", "127.0.0.1:1002")}
}
