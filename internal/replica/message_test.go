package replica

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// plainCodec names what the tests' replicas say.
type plainCodec struct{}

func (plainCodec) RequestHeader(message *upstream.Message, incarnation string, _ time.Duration) http.Header {
	return http.Header{"Id": {message.ID}, "Process": {incarnation}}
}

func (plainCodec) ReadReply(reply *upstream.Reply) {
	reply.Signature = reply.Header.Get("Signature")
	reply.Elsewhere = reply.Status == http.StatusMisdirectedRequest
	reply.NotRun = reply.Elsewhere || reply.Header.Get("Refused") != ""
}

func allTerms() *SelectionCriteria {
	return &SelectionCriteria{
		Weights:  policy.Replicas{ZoneWeight: 1, RegionWeight: 1, FarWeight: 1},
		Baseline: &LatencyBaseline{}, LateAfter: 50 * time.Millisecond,
	}
}

func messagePool(t *testing.T, board *blackboard.Board, change func(*PoolOptions)) *Pool {
	t.Helper()
	return newTestPool(t, board, func(options *PoolOptions) {
		options.Codec = plainCodec{}
		if change != nil {
			change(options)
		}
	})
}

func testMessage() *upstream.Message {
	return &upstream.Message{ID: "m", Method: http.MethodGet, Target: "/", Host: "h"}
}

// TestForwardOutcomes has what a replica may answer, and what it means for a
// plain request and for a part of a scattered one.
func TestForwardOutcomes(t *testing.T) {
	signed := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signature", "s")
			w.WriteHeader(status)
		}
	}
	unsigned := func(status int, refused bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if refused {
				w.Header().Set("Refused", "1")
			}
			w.WriteHeader(status)
		}
	}
	cases := []struct {
		name             string
		handler          http.HandlerFunc
		plain, scattered decision.Outcome
		notRun, hasPart  bool
	}{
		{"answer", signed(200), decision.Success, decision.Success, false, true},
		{"no signature", unsigned(200, false), decision.Invalid, decision.Invalid, false, false},
		{"full", unsigned(503, true), decision.Shed, decision.Shed, true, false},
		{"refused though signed", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Refused", "1")
			signed(429)(w, r)
		}, decision.Shed, decision.Shed, true, false},
		{"its own 503", signed(503), decision.Failed, decision.Failed, false, true},
		{"its own 500", signed(500), decision.Failed, decision.Failed, false, true},
		{"its own 404", signed(404), decision.Success, decision.Failed, false, true},
		{"unsigned 503", unsigned(503, false), decision.Invalid, decision.Invalid, false, false},
		{"another process", unsigned(421, false), decision.Misdirected, decision.Misdirected, true, false},
		{"breaks off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, decision.Failed, decision.Failed, false, false},
	}
	for _, test := range cases {
		for _, scattered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, scattered %v", test.name, scattered), func(t *testing.T) {
				board := &blackboard.Board{}
				publish(board, newBackend(t, test.handler).address())
				pool := messagePool(t, board, nil)
				acquired := pool.AcquireForMessage(testGroup, allTerms(), nil)
				got := pool.Forward(t.Context(), acquired.Handle, testMessage(), time.Second, allTerms(), scattered)
				want := test.plain
				if scattered {
					want = test.scattered
				}
				if got.Outcome != want || got.NotRun != test.notRun || (got.UpstreamReply != nil) != test.hasPart {
					t.Errorf("outcome %v, not run %v, part %v; want %v", got.Outcome, got.NotRun, got.UpstreamReply, want)
				}
				if held := acquired.Handle.inFlight.Load(); held != 0 {
					t.Errorf("%d requests are still counted", held)
				}
			})
		}
	}
}

func TestAReplicaNotReachedHasNotRun(t *testing.T) {
	board := &blackboard.Board{}
	publish(board, "127.0.0.1:1")
	pool := messagePool(t, board, nil)
	acquired := pool.AcquireForMessage(testGroup, allTerms(), nil)
	got := pool.Forward(t.Context(), acquired.Handle, testMessage(), time.Second, allTerms(), false)
	if got.Outcome != decision.ConnectFailed || !got.NotRun {
		t.Errorf("outcome %v, not run %v", got.Outcome, got.NotRun)
	}
}

func TestAReplicaElsewhereIsTold(t *testing.T) {
	board := &blackboard.Board{}
	backend := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	publish(board, backend.address())
	var told []string
	pool := messagePool(t, board, func(options *PoolOptions) {
		options.OnAddressReused = func(replica topology.Replica) { told = append(told, replica.Address) }
	})
	acquired := pool.AcquireForMessage(testGroup, allTerms(), nil)
	pool.Forward(t.Context(), acquired.Handle, testMessage(), time.Second, allTerms(), false)
	if len(told) != 1 || told[0] != backend.address() {
		t.Errorf("told of %v", told)
	}
}

// listReplicas publishes replicas of the test group in their own places.
func listReplicas(board *blackboard.Board, replicas ...topology.Replica) {
	for i := range replicas {
		replicas[i].Group, replicas[i].Incarnation = testGroup, "1"
		replicas[i].Slots, replicas[i].ConnectionLimit = 4, 20
	}
	board.Replicas.Publish(&topology.Replicas{Groups: map[string][]topology.Replica{testGroup: replicas}})
}

var (
	nearPlace = topology.Place{Region: "r1", Zone: "z1"}
	farPlace  = topology.Place{Region: "r2", Zone: "z2"}
)

// virtual is a pool over a near and a far replica on a clock of its own.
type virtual struct {
	pool  *Pool
	terms *SelectionCriteria
	now   time.Time
}

func newVirtual(t *testing.T) *virtual {
	t.Helper()
	board := &blackboard.Board{}
	listReplicas(board, topology.Replica{Address: "far:1", Place: farPlace}, topology.Replica{Address: "near:1", Place: nearPlace})
	made := &virtual{terms: allTerms(), now: time.Unix(1000, 0)}
	made.pool = messagePool(t, board, func(options *PoolOptions) {
		options.Self = nearPlace
		options.Now = func() time.Time { return made.now }
	})
	for _, handle := range made.pool.current().handles {
		handle.limit.Store(int64(handle.replica.Slots) * limitScale) // as after some answers
	}
	for range 2 * leastSamples {
		made.terms.Baseline.record(topology.SameZone, 20*time.Millisecond)
		made.terms.Baseline.record(topology.OtherRegion, 45*time.Millisecond)
	}
	return made
}

func (v *virtual) acquire(t *testing.T) *Handle {
	t.Helper()
	acquired := v.pool.AcquireForMessage(testGroup, v.terms, nil)
	if acquired.Handle == nil {
		t.Fatal("no replica")
	}
	return acquired.Handle
}

func (v *virtual) end(handle *Handle, outcome decision.Outcome, took time.Duration, givenUp bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if givenUp {
		cancel()
	}
	started := v.now
	v.now = v.now.Add(took)
	v.pool.learnReply(ctx, handle, SubrequestResult{Outcome: outcome}, started, v.terms)
	handle.release()
}

func TestTheNearReplicaIsPreferred(t *testing.T) {
	v := newVirtual(t)
	if got := v.acquire(t).Address(); got != "near:1" {
		t.Errorf("chose %s", got)
	}
}

// TestAPausedReplicaIsLeftAlone: a first attempt goes elsewhere while a replica
// holds a request for longer than is usual, and comes back with its answer.
func TestAPausedReplicaIsLeftAlone(t *testing.T) {
	v := newVirtual(t)
	held := v.acquire(t)
	v.now = v.now.Add(30 * time.Millisecond)
	if got := v.acquire(t); got != held {
		t.Errorf("chose %s before the answer was late", got.Address())
	}
	v.now = v.now.Add(30 * time.Millisecond)
	if got := v.acquire(t); got == held {
		t.Error("chose a replica that holds a late request")
	}
	v.end(held, decision.Success, 0, false)
	if got := v.acquire(t); got != held {
		t.Errorf("chose %s after the late answer", got.Address())
	}
}

func TestASlowReplicaIsLeftAndTriedAgain(t *testing.T) {
	v := newVirtual(t)
	var near *Handle
	for range speedSamples {
		near = v.pool.current().handles[process{"near:1", "1"}]
		near.Begin()
		v.end(near, decision.Success, 140*time.Millisecond, false)
	}
	if got := v.acquire(t); got == near {
		t.Error("chose the slow replica")
	}
	v.now = v.now.Add(6 * speedHalfLife)
	if got := v.acquire(t); got != near {
		t.Error("the replica that was slow is not tried again")
	}
}

func TestAReplicaThatGoesSilentIsEjected(t *testing.T) {
	v := newVirtual(t)
	near := v.pool.current().handles[process{"near:1", "1"}]
	for range ejectAfter {
		near.Begin()
		v.end(near, decision.Failed, 300*time.Millisecond, true)
	}
	if !near.Candidate(v.now).Ejected {
		t.Error("a replica that answered none of three requests is not ejected")
	}
}

// TestResetsCutTheLimit: a replica that is full resets connections, and is sent
// less until it answers.
func TestResetsCutTheLimit(t *testing.T) {
	v := newVirtual(t)
	near := v.pool.current().handles[process{"near:1", "1"}]
	before := near.limit.Load()
	near.Begin()
	err := fmt.Errorf("%w: %w", upstream.ErrBroken, syscall.ECONNRESET)
	v.pool.learnReply(t.Context(), near, SubrequestResult{Outcome: decision.Failed, Err: err}, v.now, v.terms)
	if after := near.limit.Load(); after >= before {
		t.Errorf("limit %d before, %d after a reset", before, after)
	}
}

// TestANewReplicaStartsWithOneRequest: its limit grows by one with each round of
// answers, so that a restart of all nodes does not overrun it.
func TestANewReplicaStartsWithOneRequest(t *testing.T) {
	v := newVirtual(t)
	near := v.pool.current().handles[process{"near:1", "1"}]
	near.startSlowly()
	for _, want := range []int{1, 2, 3} {
		for held := range want {
			if got := v.acquire(t); got != near {
				t.Fatalf("chose %s with %d requests in flight, of %d", got.Address(), held, want)
			}
		}
		if got := v.acquire(t); got == near {
			t.Errorf("more than %d requests at once", want)
		}
		for range want + 1 { // the limit is reached just after a round, by rounding
			v.end(near, decision.Success, 20*time.Millisecond, false)
			near.Begin()
		}
		for range want {
			near.release()
		}
	}
}

func TestAFullGroupIsBusy(t *testing.T) {
	v := newVirtual(t)
	taken := 0
	for {
		acquired := v.pool.AcquireForMessage(testGroup, v.terms, nil)
		if acquired.Handle == nil {
			if !acquired.Busy {
				t.Error("a group whose replicas are at their limits is not busy")
			}
			break
		}
		taken++
	}
	if taken == 0 || taken > 2*limitSlots*4 {
		t.Errorf("%d requests were let through", taken)
	}
	if unknown := v.pool.AcquireForMessage("unknown", v.terms, nil); unknown.Busy || unknown.Handle != nil {
		t.Errorf("an unknown group: %+v", unknown)
	}
}

// TestAVanishedReplicaIsTheLastResort: its entry is gone, which may be the
// store's fault.
func TestAVanishedReplicaIsTheLastResort(t *testing.T) {
	v := newVirtual(t)
	board := v.pool.options.Board
	listReplicas(board,
		topology.Replica{Address: "far:1", Place: farPlace},
		topology.Replica{Address: "near:1", Place: nearPlace, State: topology.ReplicaMissing})
	if got := v.acquire(t).Address(); got != "far:1" {
		t.Errorf("chose %s beside a listed one", got)
	}
	listReplicas(board, topology.Replica{Address: "near:1", Place: nearPlace, State: topology.ReplicaMissing})
	if got := v.acquire(t).Address(); got != "near:1" {
		t.Errorf("chose %s", got)
	}
	listReplicas(board, topology.Replica{Address: "near:1", Place: nearPlace, State: topology.ReplicaLeaving})
	if acquired := v.pool.AcquireForMessage(testGroup, v.terms, nil); acquired.Handle != nil {
		t.Errorf("chose %s, which leaves", acquired.Handle.Address())
	}
}

func TestConnectionLimitIsNoFailureOfTheReplica(t *testing.T) {
	v := newVirtual(t)
	near := v.pool.current().handles[process{"near:1", "1"}]
	for range 2 * ejectAfter {
		near.Begin()
		err := fmt.Errorf("%w: %w", upstream.ErrNotSent, upstream.ErrConnectionLimit)
		v.pool.learnReply(t.Context(), near, SubrequestResult{Outcome: decision.ConnectFailed, Err: err}, v.now, v.terms)
	}
	if near.Candidate(v.now).Ejected {
		t.Error("ejected for this node's own limit")
	}
}
