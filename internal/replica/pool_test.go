package replica

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/topology"
)

func TestSearchOutcomes(t *testing.T) {
	good, _ := json.Marshal(validReply())
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    decision.Outcome
		notRun  bool
	}{
		{"whole reply", respondModified(func(*backendapi.SearchReply) {}), decision.Success, false},
		{"no hits", respondModified(func(r *backendapi.SearchReply) { r.Hits, r.Count, r.Total = nil, 0, 0 }), decision.Success, false},
		{"other query", respondModified(func(r *backendapi.SearchReply) { r.QueryID = "q2" }), decision.Invalid, false},
		{"other attempt", respondModified(func(r *backendapi.SearchReply) { r.Attempt = 1 }), decision.Invalid, false},
		{"wrong snapshot", respondModified(func(r *backendapi.SearchReply) { r.Snapshot = 6 }), decision.Invalid, false},
		{"wrong index", respondModified(func(r *backendapi.SearchReply) { r.Index = "cues" }), decision.Invalid, false},
		{"wrong shard", respondModified(func(r *backendapi.SearchReply) { r.Shard = 2 }), decision.Invalid, false},
		{"wrong number of shards", respondModified(func(r *backendapi.SearchReply) { r.Shards = 4 }), decision.Invalid, false},
		{"fewer hits than count", respondModified(func(r *backendapi.SearchReply) { r.Hits = r.Hits[:1] }), decision.Invalid, false},
		{"fewer hits than limit", respondModified(func(r *backendapi.SearchReply) { r.Hits, r.Count = r.Hits[:1], 1 }), decision.Invalid, false},
		{"more hits than limit", respondModified(func(r *backendapi.SearchReply) {
			r.Hits, r.Count = append(r.Hits, client.Hit{ID: "c", Index: "cards"}), 3
		}), decision.Invalid, false},
		{"total below count", respondModified(func(r *backendapi.SearchReply) { r.Total = 1 }), decision.Invalid, false},
		{"duplicate hit", respondModified(func(r *backendapi.SearchReply) { r.Hits[1].ID = "a" }), decision.Invalid, false},
		{"hit of another index", respondModified(func(r *backendapi.SearchReply) { r.Hits[1].Index = "cues" }), decision.Invalid, false},
		{"reply sent twice", respondText(string(good) + string(good)), decision.Invalid, false},
		{"truncated JSON", respondText(string(good[:len(good)/2])), decision.Invalid, false},
		{"empty body", respondText(""), decision.Invalid, false},
		{"truncated body", truncate, decision.Failed, false},
		{"over the size limit", respondText(string(good) + strings.Repeat(" ", 5000)), decision.Failed, false},
		{"aborted after the write", abort, decision.Failed, false},
		{"server error", respondJSON(http.StatusInternalServerError, nil), decision.Failed, false},
		{"shed", respondRefusal(http.StatusTooManyRequests, backendapi.RefusedShed, true), decision.Shed, true},
		{"draining", respondRefusal(http.StatusServiceUnavailable, backendapi.RefusedDraining, true), decision.Draining, true},
		{"snapshot not held", respondRefusal(http.StatusGone, backendapi.RefusedSnapshotNotHeld, true), decision.SnapshotNotHeld, true},
		{"deadline passed", respondRefusal(http.StatusServiceUnavailable, backendapi.RefusedDeadlinePassed, true), decision.DeadlineExceeded, true},
		{"refusal that ran", respondRefusal(http.StatusTooManyRequests, backendapi.RefusedShed, false), decision.Failed, false},
		{"refusal with unexpected status", respondRefusal(http.StatusBadGateway, backendapi.RefusedShed, true), decision.Failed, false},
		{"503 without a refusal", respond503, decision.Failed, false},
	}
	for _, protocol := range []Protocol{ProtocolHTTP1, ProtocolH2C} {
		for _, test := range cases {
			t.Run(string(protocol)+"/"+test.name, func(t *testing.T) {
				result, _ := searchOnce(t, protocol, test.handler)
				if result.Outcome != test.want || result.NotRun != test.notRun {
					t.Errorf("outcome %d not run %v, want %d %v (%v)", result.Outcome, result.NotRun, test.want, test.notRun, result.Err)
				}
			})
		}
	}
}

func respond503(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// startBackend starts a backend that speaks the given protocol.
func startBackend(t *testing.T, protocol Protocol, handler http.HandlerFunc) *testBackend {
	t.Helper()
	backend := &testBackend{Server: httptest.NewUnstartedServer(handler)}
	backend.Config.Protocols = new(http.Protocols)
	backend.Config.Protocols.SetHTTP1(true)
	backend.Config.Protocols.SetUnencryptedHTTP2(protocol == ProtocolH2C)
	backend.Start()
	t.Cleanup(backend.Close)
	return backend
}

func searchOnce(t *testing.T, protocol Protocol, handler http.HandlerFunc) (SubrequestResult, *Handle) {
	t.Helper()
	backend := startBackend(t, protocol, handler)
	board := &blackboard.Board{}
	publish(board, backend.address())
	pool := newTestPool(t, board, func(options *PoolOptions) { options.Protocol = protocol })
	handle := pool.Acquire(testGroup, callWeights, nil)
	if handle == nil {
		t.Fatal("no replica")
	}
	result := pool.Search(t.Context(), handle, searchRequest())
	if inFlight := handle.inFlight.Load(); inFlight != 0 {
		t.Errorf("%d requests still in flight", inFlight)
	}
	return result, handle
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestSearchConnectionRefused(t *testing.T) {
	board := &blackboard.Board{}
	publish(board, unusedAddress(t))
	pool := newTestPool(t, board, nil)
	result := pool.Search(t.Context(), pool.Acquire(testGroup, callWeights, nil), searchRequest())
	if result.Outcome != decision.Failed || !result.NotRun {
		t.Errorf("outcome %d not run %v, want failed and not run", result.Outcome, result.NotRun)
	}
}

func TestSearchCanceledMayHaveRun(t *testing.T) {
	arrived := make(chan struct{})
	backend := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	})
	board := &blackboard.Board{}
	publish(board, backend.address())
	pool := newTestPool(t, board, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	result := pool.Search(ctx, pool.Acquire(testGroup, callWeights, nil), searchRequest())
	if result.Outcome != decision.Failed || result.NotRun {
		t.Errorf("outcome %d not run %v, want failed without proof that it did not run", result.Outcome, result.NotRun)
	}
}

func TestConnectionBudgetEnforced(t *testing.T) {
	release := make(chan struct{})
	backend := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondJSON(http.StatusOK, validReply())(w, r)
	})
	board := &blackboard.Board{}
	publish(board, backend.address())
	pool := newTestPool(t, board, nil)
	const budget = 9 // the limit of 10 minus connectionReserve
	results := make(chan SubrequestResult)
	handle := pool.Acquire(testGroup, callWeights, nil)
	go func() { results <- pool.Search(t.Context(), handle, searchRequest()) }()
	for range budget - 1 {
		handle := pool.Acquire(testGroup, callWeights, nil)
		go func() { results <- pool.Search(t.Context(), handle, searchRequest()) }()
	}
	if extra := pool.Acquire(testGroup, callWeights, nil); extra != nil {
		t.Error("acquired a handle beyond the connection budget")
	}
	close(release)
	for range budget {
		if result := <-results; result.Outcome != decision.Success {
			t.Errorf("outcome %d: %v", result.Outcome, result.Err)
		}
	}
	if open := handle.Connections(); open > budget {
		t.Errorf("%d connections open, exceeding the budget of %d", open, budget)
	}
}

func callRequest() backendapi.CallRequest {
	return backendapi.CallRequest{Key: "refund-1", Operation: "credit", TimeoutMilliseconds: 1000}
}

func TestCallOutcomes(t *testing.T) {
	good := respondJSON(http.StatusOK, backendapi.CallReply{Key: "refund-1", Result: json.RawMessage(`{}`)})
	cases := []struct {
		name    string
		handler http.HandlerFunc
		kind    failure.Kind
		notRun  bool
		// requests to the first replica and to both
		first, total int64
	}{
		{"ran", good, "", false, 1, 1},
		{"retried on another replica after shed", respondRefusal(http.StatusTooManyRequests, backendapi.RefusedShed, true), "", false, 1, 2},
		{"not retried if aborted after the write", abort, failure.OutcomeUnknown, false, 1, 1},
		{"not retried after server error", respondJSON(http.StatusInternalServerError, nil), failure.OutcomeUnknown, false, 1, 1},
		{"reply to another key", respondJSON(http.StatusOK, backendapi.CallReply{Key: "refund-2"}), failure.OutcomeUnknown, false, 1, 1},
		{"truncated JSON", respondText(`{"key":"refund-1"`), failure.OutcomeUnknown, false, 1, 1},
		{"truncated body", truncate, failure.OutcomeUnknown, false, 1, 1},
		{"refusal that ran", respondRefusal(http.StatusTooManyRequests, backendapi.RefusedShed, false), failure.OutcomeUnknown, false, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first, second := newBackend(t, test.handler), newBackend(t, good)
			board := &blackboard.Board{}
			publish(board, first.address(), second.address())
			pool := newTestPool(t, board, nil)
			_, err := pool.Call(t.Context(), testGroup, callRequest())
			checkCallError(t, err, test.kind, test.notRun)
			total := first.requests.Load() + second.requests.Load()
			if first.requests.Load() != test.first || total != test.total {
				t.Errorf("%d requests to the first replica and %d in total, want %d and %d", first.requests.Load(), total, test.first, test.total)
			}
		})
	}
}

func checkCallError(t *testing.T, err error, kind failure.Kind, notRun bool) {
	t.Helper()
	if kind == "" {
		if err != nil {
			t.Errorf("error %v", err)
		}
		return
	}
	if err == nil {
		t.Fatalf("no error, want %s", kind)
	}
	if known := failure.From(err); known.Kind != kind || known.NotRun != notRun {
		t.Errorf("error %v not run %v, want %s %v", err, known.NotRun, kind, notRun)
	}
}

// Aborts a request on a kept-alive connection after it was written, in which
// case net/http would retry an idempotent request.
func TestCallNotReplayedOnReusedConnection(t *testing.T) {
	var served atomic.Int64
	good := respondJSON(http.StatusOK, backendapi.CallReply{Key: "refund-1"})
	backend := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1) == 1 {
			good(w, r)
			return
		}
		abort(w, r)
	})
	board := &blackboard.Board{}
	publish(board, backend.address())
	pool := newTestPool(t, board, nil)
	if _, err := pool.Call(t.Context(), testGroup, callRequest()); err != nil {
		t.Fatal(err)
	}
	_, err := pool.Call(t.Context(), testGroup, callRequest())
	checkCallError(t, err, failure.OutcomeUnknown, false)
	if served.Load() != 2 {
		t.Errorf("backend received %d requests, want 2", served.Load())
	}
}

func TestCallRefusedByAll(t *testing.T) {
	board := &blackboard.Board{}
	publish(board, unusedAddress(t), unusedAddress(t))
	pool := newTestPool(t, board, nil)
	_, err := pool.Call(t.Context(), testGroup, callRequest())
	checkCallError(t, err, failure.BackendRefused, true)
	_, err = pool.Call(t.Context(), "unknown", callRequest())
	checkCallError(t, err, failure.NoReplica, true)
	late := callRequest()
	late.NotAfterUnixMilliseconds = 1
	_, err = pool.Call(t.Context(), testGroup, late)
	checkCallError(t, err, failure.DeadlineExceeded, true)
}

func TestDrainingReplyRemovesReplica(t *testing.T) {
	backend := newBackend(t, respondModified(func(r *backendapi.SearchReply) { r.Draining = true }))
	board := &blackboard.Board{}
	tracker := NewTracker(TrackerOptions{Lister: &fakeLister{}, Board: board})
	tracker.applyList([]topology.Replica{{Address: backend.address(), Incarnation: "1", Group: testGroup, Slots: 1, ConnectionLimit: 9}})
	pool := newTestPool(t, board, func(options *PoolOptions) { options.Tracker = tracker })
	result := pool.Search(t.Context(), pool.Acquire(testGroup, callWeights, nil), searchRequest())
	if result.Outcome != decision.Success {
		t.Fatalf("outcome %d: %v", result.Outcome, result.Err)
	}
	if handle := pool.Acquire(testGroup, callWeights, nil); handle != nil {
		t.Error("acquired a draining replica")
	}
}

func TestEjectionNeverEmptiesGroup(t *testing.T) {
	bad := newBackend(t, respondJSON(http.StatusInternalServerError, nil))
	fine := newBackend(t, respondJSON(http.StatusOK, validReply()))
	board := &blackboard.Board{}
	publish(board, bad.address(), fine.address(), fine.address())
	pool := newTestPool(t, board, nil)
	fail := func(handle *Handle) {
		for range ejectAfter {
			handle.inFlight.Add(1)
			pool.Search(t.Context(), handle, searchRequest())
		}
	}
	handles := pool.current().groups[testGroup].handles
	fail(handles[0])
	if statuses := pool.Statuses(); !slices.ContainsFunc(statuses, func(s Status) bool { return s.Ejected }) {
		t.Errorf("not ejected after %d consecutive failures: %+v", ejectAfter, statuses)
	}
	for range 20 {
		handle := pool.Acquire(testGroup, callWeights, nil)
		if handle == handles[0] {
			t.Fatal("acquired an ejected replica while others are healthy")
		}
		handle.release()
	}
	publish(board, bad.address())
	if pool.Acquire(testGroup, callWeights, nil) == nil {
		t.Error("no replica acquired from a group with all replicas ejected")
	}
}

func TestMemberChangeRebuildsInBackground(t *testing.T) {
	board := &blackboard.Board{}
	publish(board, "127.0.0.1:1")
	var pending []func()
	now := time.Unix(1000, 0)
	pool := newTestPool(t, board, func(options *PoolOptions) {
		options.Now = func() time.Time { return now }
		options.Background = func(work func()) { pending = append(pending, work) }
	})
	budget := func() int { return pool.Statuses()[0].ConnectionBudget }
	if budget() != 9 || len(pending) != 0 {
		t.Fatalf("initial budget %d, %d pending rebuilds; want 9 and 0", budget(), len(pending))
	}
	members := testMembers(3)
	members.Self = members.Members[0]
	board.Members.Publish(&members)
	for range 2 {
		if budget() != 9 || len(pending) != 1 {
			t.Errorf("budget %d, %d pending rebuilds after a member change; want 9 and 1", budget(), len(pending))
		}
	}
	pending[0]()
	if budget() != 3 || len(pending) != 1 {
		t.Errorf("budget %d after the rebuild, want 3", budget())
	}
	more := testMembers(9)
	more.Self = more.Members[0]
	board.Members.Publish(&more)
	if budget() != 3 || len(pending) != 1 {
		t.Error("rebuilt before rebuildInterval elapsed")
	}
	now = now.Add(rebuildInterval)
	if budget(); len(pending) != 2 {
		t.Error("not rebuilt after rebuildInterval")
	}
}
