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

// testCodec implements the headers used by the test replicas.
type testCodec struct{}

func (testCodec) RequestHeader(message *upstream.Request, incarnation string, _ time.Duration) http.Header {
	return http.Header{"Id": {message.ID}, "Process": {incarnation}}
}

func (testCodec) ReadResponse(reply *upstream.Response) {
	reply.Signature = reply.Header.Get("Signature")
	reply.Misdirected = reply.Status == http.StatusMisdirectedRequest
	reply.NotExecuted = reply.Misdirected || reply.Header.Get("Refused") != ""
}

func testCriteria() *SelectionCriteria {
	return &SelectionCriteria{
		Weights:  policy.Replicas{ZoneWeight: 1, RegionWeight: 1, FarWeight: 1},
		Baseline: &LatencyBaseline{}, LateAfter: 50 * time.Millisecond,
	}
}

func newMessagePool(t *testing.T, board *blackboard.Board, modify func(*PoolOptions)) *Pool {
	t.Helper()
	return newTestPool(t, board, func(options *PoolOptions) {
		options.Codec = testCodec{}
		if modify != nil {
			modify(options)
		}
	})
}

func testMessage() *upstream.Request {
	return &upstream.Request{ID: "m", Method: http.MethodGet, Target: "/", Host: "h"}
}

// Tests the outcome of each kind of answer, for a plain request and for a part
// of a scattered query.
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
		notRun, hasReply bool
	}{
		{"answer", signed(200), decision.Success, decision.Success, false, true},
		{"no signature", unsigned(200, false), decision.Invalid, decision.Invalid, false, false},
		{"refused", unsigned(503, true), decision.Shed, decision.Shed, true, false},
		{"refused and signed", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Refused", "1")
			signed(429)(w, r)
		}, decision.Shed, decision.Shed, true, false},
		{"signed 503", signed(503), decision.Failed, decision.Failed, false, true},
		{"signed 500", signed(500), decision.Failed, decision.Failed, false, true},
		{"signed 404", signed(404), decision.Success, decision.Failed, false, true},
		{"unsigned 503", unsigned(503, false), decision.Invalid, decision.Invalid, false, false},
		{"address reused", unsigned(421, false), decision.Misdirected, decision.Misdirected, true, false},
		{"aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, decision.Failed, decision.Failed, false, false},
	}
	for _, test := range cases {
		for _, scattered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, scattered %v", test.name, scattered), func(t *testing.T) {
				board := &blackboard.Board{}
				publish(board, newBackend(t, test.handler).address())
				pool := newMessagePool(t, board, nil)
				acquired := pool.AcquireForMessage(testGroup, testCriteria(), nil)
				got := pool.Forward(t.Context(), acquired.Handle, testMessage(), time.Second, testCriteria(), scattered)
				want := test.plain
				if scattered {
					want = test.scattered
				}
				if got.Outcome != want || got.NotRun != test.notRun || (got.UpstreamReply != nil) != test.hasReply {
					t.Errorf("outcome %v, not run %v, reply %v; want outcome %v", got.Outcome, got.NotRun, got.UpstreamReply, want)
				}
				if inFlight := acquired.Handle.inFlight.Load(); inFlight != 0 {
					t.Errorf("%d requests still in flight", inFlight)
				}
			})
		}
	}
}

func TestForwardUnreached(t *testing.T) {
	board := &blackboard.Board{}
	publish(board, "127.0.0.1:1")
	pool := newMessagePool(t, board, nil)
	acquired := pool.AcquireForMessage(testGroup, testCriteria(), nil)
	got := pool.Forward(t.Context(), acquired.Handle, testMessage(), time.Second, testCriteria(), false)
	if got.Outcome != decision.ConnectFailed || !got.NotRun {
		t.Errorf("outcome %v, not run %v", got.Outcome, got.NotRun)
	}
}

func TestForwardReportsAddressReuse(t *testing.T) {
	board := &blackboard.Board{}
	backend := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	publish(board, backend.address())
	var notified []string
	pool := newMessagePool(t, board, func(options *PoolOptions) {
		options.OnAddressReused = func(replica topology.Replica) { notified = append(notified, replica.Address) }
	})
	acquired := pool.AcquireForMessage(testGroup, testCriteria(), nil)
	pool.Forward(t.Context(), acquired.Handle, testMessage(), time.Second, testCriteria(), false)
	if len(notified) != 1 || notified[0] != backend.address() {
		t.Errorf("notified of %v", notified)
	}
}

// listReplicas publishes replicas of the test group, keeping their places.
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

// poolFixture is a pool with a near and a far replica and a fake clock.
type poolFixture struct {
	pool     *Pool
	criteria *SelectionCriteria
	now      time.Time
}

func newPoolFixture(t *testing.T) *poolFixture {
	t.Helper()
	board := &blackboard.Board{}
	listReplicas(board, topology.Replica{Address: "far:1", Place: farPlace}, topology.Replica{Address: "near:1", Place: nearPlace})
	fixture := &poolFixture{criteria: testCriteria(), now: time.Unix(1000, 0)}
	fixture.pool = newMessagePool(t, board, func(options *PoolOptions) {
		options.Self = nearPlace
		options.Now = func() time.Time { return fixture.now }
	})
	for _, handle := range fixture.pool.current().handles {
		handle.limit.Store(int64(handle.replica.Slots) * limitScale) // skip the slow start
	}
	for range 2 * minSamples {
		fixture.criteria.Baseline.record(topology.SameZone, 20*time.Millisecond)
		fixture.criteria.Baseline.record(topology.OtherRegion, 45*time.Millisecond)
	}
	return fixture
}

func (f *poolFixture) acquire(t *testing.T) *Handle {
	t.Helper()
	acquired := f.pool.AcquireForMessage(testGroup, f.criteria, nil)
	if acquired.Handle == nil {
		t.Fatal("no replica")
	}
	return acquired.Handle
}

func (f *poolFixture) end(handle *Handle, outcome decision.Outcome, elapsed time.Duration, canceled bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if canceled {
		cancel()
	}
	started := f.now
	f.now = f.now.Add(elapsed)
	f.pool.recordForward(ctx, handle, SubrequestResult{Outcome: outcome}, started, f.criteria)
	handle.release()
}

func TestAcquirePrefersNearReplica(t *testing.T) {
	f := newPoolFixture(t)
	if got := f.acquire(t).Address(); got != "near:1" {
		t.Errorf("chose %s", got)
	}
}

// First attempts must avoid a replica that holds a late request, until it
// answers.
func TestAcquireAvoidsUnresponsiveReplica(t *testing.T) {
	f := newPoolFixture(t)
	near := f.acquire(t)
	f.now = f.now.Add(30 * time.Millisecond)
	if got := f.acquire(t); got != near {
		t.Errorf("chose %s before the answer was late, want the near replica", got.Address())
	}
	f.now = f.now.Add(30 * time.Millisecond)
	if got := f.acquire(t); got == near {
		t.Error("chose a replica with a late request")
	}
	f.end(near, decision.Success, 0, false)
	if got := f.acquire(t); got != near {
		t.Errorf("chose %s after the late answer", got.Address())
	}
}

func TestAcquireRetriesSlowReplica(t *testing.T) {
	f := newPoolFixture(t)
	var near *Handle
	for range slowdownSamples {
		near = f.pool.current().handles[processID{"near:1", "1"}]
		near.Begin()
		f.end(near, decision.Success, 140*time.Millisecond, false)
	}
	if got := f.acquire(t); got == near {
		t.Error("chose the slow replica")
	}
	f.now = f.now.Add(6 * slowdownHalfLife)
	if got := f.acquire(t); got != near {
		t.Error("slow replica not tried again")
	}
}

func TestUnresponsiveReplicaIsEjected(t *testing.T) {
	f := newPoolFixture(t)
	near := f.pool.current().handles[processID{"near:1", "1"}]
	for range ejectAfter {
		near.Begin()
		f.end(near, decision.Failed, 300*time.Millisecond, true)
	}
	if !near.Candidate(f.now).Ejected {
		t.Error("replica not ejected after late cancellations")
	}
}

// A replica at its connection limit resets connections and must be sent less.
func TestResetDecreasesLimit(t *testing.T) {
	f := newPoolFixture(t)
	near := f.pool.current().handles[processID{"near:1", "1"}]
	before := near.limit.Load()
	near.Begin()
	err := fmt.Errorf("%w: %w", upstream.ErrIncomplete, syscall.ECONNRESET)
	f.pool.recordForward(t.Context(), near, SubrequestResult{Outcome: decision.Failed, Err: err}, f.now, f.criteria)
	if after := near.limit.Load(); after >= before {
		t.Errorf("limit %d before, %d after a reset", before, after)
	}
}

// The limit must grow by one per round of answers, so that a restart of all
// nodes does not overload a replica.
func TestSlowStart(t *testing.T) {
	f := newPoolFixture(t)
	near := f.pool.current().handles[processID{"near:1", "1"}]
	near.slowStart()
	for _, want := range []int{1, 2, 3} {
		for inFlight := range want {
			if got := f.acquire(t); got != near {
				t.Fatalf("chose %s with %d of %d requests in flight", got.Address(), inFlight, want)
			}
		}
		if got := f.acquire(t); got == near {
			t.Errorf("more than %d requests in flight", want)
		}
		for range want + 1 { // one more than a round, because of rounding
			f.end(near, decision.Success, 20*time.Millisecond, false)
			near.Begin()
		}
		for range want {
			near.release()
		}
	}
}

func TestFullGroupIsBusy(t *testing.T) {
	f := newPoolFixture(t)
	taken := 0
	for {
		acquired := f.pool.AcquireForMessage(testGroup, f.criteria, nil)
		if acquired.Handle == nil {
			if !acquired.Busy {
				t.Error("group with all replicas at their limits is not busy")
			}
			break
		}
		taken++
	}
	if taken == 0 || taken > 2*maxLimitPerSlot*4 {
		t.Errorf("acquired %d times", taken)
	}
	if unknown := f.pool.AcquireForMessage("unknown", f.criteria, nil); unknown.Busy || unknown.Handle != nil {
		t.Errorf("unknown group: %+v", unknown)
	}
}

// A replica may be unlisted because of a fault of the store, so it must remain
// usable when there is no other.
func TestVanishedReplicaIsLastResort(t *testing.T) {
	f := newPoolFixture(t)
	board := f.pool.options.Board
	listReplicas(board,
		topology.Replica{Address: "far:1", Place: farPlace},
		topology.Replica{Address: "near:1", Place: nearPlace, State: topology.ReplicaVanished})
	if got := f.acquire(t).Address(); got != "far:1" {
		t.Errorf("chose %s while another replica is listed", got)
	}
	listReplicas(board, topology.Replica{Address: "near:1", Place: nearPlace, State: topology.ReplicaVanished})
	if got := f.acquire(t).Address(); got != "near:1" {
		t.Errorf("chose %s", got)
	}
	listReplicas(board, topology.Replica{Address: "near:1", Place: nearPlace, State: topology.ReplicaLeaving})
	if acquired := f.pool.AcquireForMessage(testGroup, f.criteria, nil); acquired.Handle != nil {
		t.Errorf("chose %s, which is leaving", acquired.Handle.Address())
	}
}

func TestConnectionLimitDoesNotEject(t *testing.T) {
	f := newPoolFixture(t)
	near := f.pool.current().handles[processID{"near:1", "1"}]
	for range 2 * ejectAfter {
		near.Begin()
		err := fmt.Errorf("%w: %w", upstream.ErrNotSent, upstream.ErrConnectionLimit)
		f.pool.recordForward(t.Context(), near, SubrequestResult{Outcome: decision.ConnectFailed, Err: err}, f.now, f.criteria)
	}
	if near.Candidate(f.now).Ejected {
		t.Error("ejected because of this node's own connection limit")
	}
}
