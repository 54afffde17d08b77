package replica

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
)

// ForwardServer forwards requests to replicas on behalf of peers that must not
// connect to them. It sends each request at most once, to a replica that this
// daemon is connected to, and never to another peer. It implements
// peer.Forwarder.
type ForwardServer struct {
	pool  *Pool
	gauge prometheus.Gauge

	mutex    sync.Mutex
	inFlight int
	idle     chan struct{} // closed when nothing is in flight
}

// NewForwardServer returns a ForwardServer. If registerer is nil, metrics are
// not exported.
func NewForwardServer(pool *Pool, registerer prometheus.Registerer) *ForwardServer {
	s := &ForwardServer{pool: pool, idle: make(chan struct{})}
	close(s.idle)
	s.gauge = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "doorpondd_forwarding_requests_count", Help: "Requests of peers in flight to this daemon's replicas.",
	})
	register(registerer, s.gauge)
	return s
}

// Forward implements peer.Forwarder. NotRun is set in its errors only if no
// replica ran any part of the request.
func (s *ForwardServer) Forward(ctx context.Context, request peer.ForwardRequest) (peer.ForwardReply, error) {
	s.begin()
	defer s.end()
	handle := s.pool.acquireDirect(request.Group, callWeights)
	if handle == nil {
		return peer.ForwardReply{}, failure.New(failure.NoReplica, "no replica of "+request.Group+" is reachable from this peer").WithNotRun(true)
	}
	if request.Call != nil {
		return s.call(ctx, handle, *request.Call)
	}
	return s.search(ctx, handle, &request.Search)
}

func (s *ForwardServer) search(ctx context.Context, handle *Handle, request *backendapi.SearchRequest) (peer.ForwardReply, error) {
	result := s.pool.Search(ctx, handle, request)
	reason, refused := refusalReasons[result.Outcome]
	switch {
	case result.Outcome == decision.Success:
		return peer.ForwardReply{Search: *result.Reply, Address: handle.Address()}, nil
	case refused && result.NotRun:
		return peer.ForwardReply{Address: handle.Address(), Refusal: &backendapi.Refusal{
			Reason: reason, NotRun: true, RetryAfterMilliseconds: result.RetryAfter.Milliseconds(),
			Draining:    result.Outcome == decision.Draining,
			Incarnation: handle.replica.Incarnation,
		}}, nil
	case result.NotRun:
		return peer.ForwardReply{}, failure.Wrap(result.Err, failure.BackendRefused, "forward for peer").WithNotRun(true)
	default:
		return peer.ForwardReply{}, failure.Wrap(result.Err, failure.OutcomeUnknown, "forward for peer")
	}
}

// refusalReasons is the inverse of refusalOutcome.
var refusalReasons = map[decision.Outcome]backendapi.RefusalReason{
	decision.Shed:             backendapi.RefusedShed,
	decision.Draining:         backendapi.RefusedDraining,
	decision.SnapshotNotHeld:  backendapi.RefusedSnapshotNotHeld,
	decision.DeadlineExceeded: backendapi.RefusedDeadlinePassed,
}

func (s *ForwardServer) call(ctx context.Context, handle *Handle, request backendapi.CallRequest) (peer.ForwardReply, error) {
	if deadlinePassed(s.pool, ctx, request) {
		handle.release()
		return peer.ForwardReply{}, failure.New(failure.DeadlineExceeded, "deadline passed before the call was sent").WithNotRun(true)
	}
	reply, err := s.pool.callOnce(ctx, handle, request)
	if err != nil {
		return peer.ForwardReply{}, err
	}
	return peer.ForwardReply{Call: &reply, Address: handle.Address()}, nil
}

func (s *ForwardServer) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.inFlight == 0 {
		s.idle = make(chan struct{})
	}
	s.inFlight++
	s.gauge.Inc()
}

func (s *ForwardServer) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	s.gauge.Dec()
	if s.inFlight == 0 {
		close(s.idle)
	}
}

// AwaitIdle blocks until no forwarded request is in flight or ctx is done. It
// is called during graceful shutdown, after peers have been told that this
// daemon is leaving.
func (s *ForwardServer) AwaitIdle(ctx context.Context) error {
	s.mutex.Lock()
	idle := s.idle
	s.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
