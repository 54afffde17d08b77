package replica

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/topology"
)

// startPeer serves the peer protocol and returns its address.
func startPeer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = peer.ServerProtocols()
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startHolder starts a daemon that may connect to the replicas.
func startHolder(t *testing.T, replicas ...string) (string, *ForwardServer) {
	t.Helper()
	board := &blackboard.Board{}
	publish(board, replicas...)
	forwarder := NewForwardServer(newTestPool(t, board, nil), nil)
	return startPeer(t, peer.NewServer(peer.ServerOptions{Forwarder: forwarder})), forwarder
}

// newForwardingPool returns the pool of a daemon that must not connect to the
// first replica. There are two daemons, each replica accepts one connection,
// and peerAddress is the address of both daemons.
func newForwardingPool(t *testing.T, peerAddress string, replicas ...string) *Pool {
	t.Helper()
	var listed []topology.Replica
	for _, replica := range replicas {
		listed = append(listed, topology.Replica{Address: replica, Incarnation: "1", Group: testGroup, Slots: 4, ConnectionLimit: 1})
	}
	members := topology.Members{Members: []topology.Member{{ID: "a", PeerAddress: peerAddress}, {ID: "b", PeerAddress: peerAddress}}}
	for _, self := range members.Members {
		members.Self = self
		if NewConnectionPlan(members).AllocateGroup(testGroup, listed).Budget(0) == 0 {
			break
		}
	}
	board := &blackboard.Board{}
	board.Replicas.Publish(&topology.Replicas{Groups: map[string][]topology.Replica{testGroup: listed}})
	board.Members.Publish(&members)
	client := peer.NewClient(peer.ClientOptions{})
	t.Cleanup(client.Close)
	return newTestPool(t, board, func(options *PoolOptions) { options.Peers = client })
}

func peerWithHandler(handler http.HandlerFunc) func(*testing.T, string) string {
	return func(t *testing.T, _ string) string { return startPeer(t, handler) }
}

func holderPeer(t *testing.T, replica string) string {
	address, _ := startHolder(t, replica)
	return address
}

// mismatchedForwarder answers with the reply to another request.
type mismatchedForwarder struct{}

func (mismatchedForwarder) Forward(context.Context, peer.ForwardRequest) (peer.ForwardReply, error) {
	reply := validReply()
	reply.QueryID = "q2"
	return peer.ForwardReply{Search: reply, Call: &backendapi.CallReply{Key: "refund-2"}}, nil
}

func mismatchedPeer(t *testing.T, _ string) string {
	return startPeer(t, peer.NewServer(peer.ServerOptions{Forwarder: mismatchedForwarder{}}))
}

func peerWithoutReplicas(t *testing.T, _ string) string {
	address, _ := startHolder(t)
	return address
}

func peerWithoutForwarder(t *testing.T, _ string) string {
	return startPeer(t, peer.NewServer(peer.ServerOptions{}))
}

func closedPeer(t *testing.T, _ string) string { return unusedAddress(t) }

func TestForwardedSearchOutcomes(t *testing.T) {
	good := respondJSON(http.StatusOK, validReply())
	cases := []struct {
		name     string
		replica  http.HandlerFunc
		peer     func(*testing.T, string) string
		want     decision.Outcome
		notRun   bool
		requests int64 // received by the replica
	}{
		{"whole reply", good, holderPeer, decision.Success, false, 1},
		{"replica sheds", respondRefusal(http.StatusTooManyRequests, backendapi.RefusedShed, true), holderPeer, decision.Shed, true, 1},
		{"replica drains", respondRefusal(http.StatusServiceUnavailable, backendapi.RefusedDraining, true), holderPeer, decision.Draining, true, 1},
		{"snapshot not held", respondRefusal(http.StatusGone, backendapi.RefusedSnapshotNotHeld, true), holderPeer, decision.SnapshotNotHeld, true, 1},
		{"replica aborts after the write", abort, holderPeer, decision.Failed, false, 1},
		{"replica's reply is truncated", truncate, holderPeer, decision.Failed, false, 1},
		{"replica replies to another query", respondModified(func(r *backendapi.SearchReply) { r.QueryID = "q2" }), holderPeer, decision.Failed, false, 1},
		{"peer replies to another query", good, mismatchedPeer, decision.Invalid, false, 0},
		{"peer reaches no replica", good, peerWithoutReplicas, decision.Failed, true, 0},
		{"peer does not forward", good, peerWithoutForwarder, decision.Failed, true, 0},
		{"peer is closed", good, closedPeer, decision.Failed, true, 0},
		{"peer resets after the write", good, peerWithHandler(abort), decision.Failed, false, 0},
		{"peer sends malformed reply", good, peerWithHandler(respondText("x")), decision.Failed, false, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			backend := newBackend(t, test.replica)
			pool := newForwardingPool(t, test.peer(t, backend.address()), backend.address())
			result := pool.Search(t.Context(), pool.Acquire(testGroup, callWeights, nil), searchRequest())
			if result.Outcome != test.want || result.NotRun != test.notRun {
				t.Errorf("outcome %d not run %v, want %d %v (%v)", result.Outcome, result.NotRun, test.want, test.notRun, result.Err)
			}
			if requests := backend.requests.Load(); requests != test.requests {
				t.Errorf("replica received %d requests, want %d", requests, test.requests)
			}
		})
	}
}

func TestForwardedCallRunsAtMostOnce(t *testing.T) {
	good := respondJSON(http.StatusOK, backendapi.CallReply{Key: "refund-1", Result: json.RawMessage(`{}`)})
	cases := []struct {
		name     string
		replica  http.HandlerFunc
		peer     func(*testing.T, string) string
		kind     failure.Kind
		notRun   bool
		requests int64
	}{
		{"ran", good, holderPeer, "", false, 1},
		{"replica sheds", respondRefusal(http.StatusTooManyRequests, backendapi.RefusedShed, true), holderPeer, failure.BackendRefused, true, 1},
		{"replica aborts after the write", abort, holderPeer, failure.OutcomeUnknown, false, 1},
		{"replica replies to another key", respondJSON(http.StatusOK, backendapi.CallReply{Key: "refund-2"}), holderPeer, failure.OutcomeUnknown, false, 1},
		{"peer replies to another key", good, mismatchedPeer, failure.OutcomeUnknown, false, 0},
		{"peer reaches no replica", good, peerWithoutReplicas, failure.BackendRefused, true, 0},
		{"peer is closed", good, closedPeer, failure.BackendRefused, true, 0},
		{"peer resets after the write", good, peerWithHandler(abort), failure.OutcomeUnknown, false, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			backend := newBackend(t, test.replica)
			pool := newForwardingPool(t, test.peer(t, backend.address()), backend.address())
			_, err := pool.Call(t.Context(), testGroup, callRequest())
			checkCallError(t, err, test.kind, test.notRun)
			if requests := backend.requests.Load(); requests != test.requests {
				t.Errorf("replica received %d requests, want %d", requests, test.requests)
			}
		})
	}
}

// timeoutForwarder records for how long the sender of a call waits.
type timeoutForwarder struct{ milliseconds atomic.Int64 }

func (f *timeoutForwarder) Forward(_ context.Context, request peer.ForwardRequest) (peer.ForwardReply, error) {
	f.milliseconds.Store(request.TimeoutMilliseconds)
	return peer.ForwardReply{Call: &backendapi.CallReply{Key: request.Call.Key}}, nil
}

// TestForwardedCallTimeout guards against a peer that gives up a call before its sender, which
// was paused, does.
func TestForwardedCallTimeout(t *testing.T) {
	cases := []struct {
		name            string
		responseTimeout time.Duration
		want            int64
	}{
		{"paused", 3 * time.Second, 3000},
		{"not paused", time.Second + time.Microsecond, 1000},
		{"not set", 0, 1000},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forwarder := &timeoutForwarder{}
			address := startPeer(t, peer.NewServer(peer.ServerOptions{Forwarder: forwarder}))
			pool := newForwardingPool(t, address, unusedAddress(t))
			request := callRequest()
			request.ResponseTimeout = test.responseTimeout
			if _, err := pool.Call(t.Context(), testGroup, request); err != nil {
				t.Fatal(err)
			}
			if got := forwarder.milliseconds.Load(); got != test.want {
				t.Errorf("forwarded with a timeout of %d ms, want %d", got, test.want)
			}
		})
	}
}

func TestForwardServerAwaitIdle(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	backend := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-release
		respondJSON(http.StatusOK, validReply())(w, r)
	})
	address, forwarder := startHolder(t, backend.address())
	if err := forwarder.AwaitIdle(t.Context()); err != nil {
		t.Fatal("AwaitIdle without requests in flight:", err)
	}
	pool := newForwardingPool(t, address, backend.address())
	results := make(chan SubrequestResult, 1)
	go func() {
		results <- pool.Search(t.Context(), pool.Acquire(testGroup, callWeights, nil), searchRequest())
	}()
	<-arrived
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := forwarder.AwaitIdle(canceled); !errors.Is(err, context.Canceled) {
		t.Error("AwaitIdle did not wait for a request in flight:", err)
	}
	close(release)
	if err := forwarder.AwaitIdle(t.Context()); err != nil {
		t.Error(err)
	}
	if result := <-results; result.Outcome != decision.Success {
		t.Errorf("outcome %d: %v", result.Outcome, result.Err)
	}
}

func TestAcquireFallsBackToPeer(t *testing.T) {
	backend := newBackend(t, respondJSON(http.StatusOK, validReply()))
	address, _ := startHolder(t, backend.address())
	broken := unusedAddress(t)
	pool := newForwardingPool(t, address, backend.address(), broken)
	for range ejectAfter {
		handle := pool.Acquire(testGroup, callWeights, nil)
		if handle.Address() != broken {
			t.Fatalf("acquired %s, want the directly connected replica", handle.Address())
		}
		pool.Search(t.Context(), handle, searchRequest())
	}
	handle := pool.Acquire(testGroup, callWeights, nil)
	if result := pool.Search(t.Context(), handle, searchRequest()); result.Outcome != decision.Success {
		t.Errorf("outcome %d through %s: %v", result.Outcome, handle.Address(), result.Err)
	}
}
