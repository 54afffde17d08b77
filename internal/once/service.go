// Package once runs calls that must not be repeated, such as crediting a refund,
// at most once across all daemons. A claim on the call's key is created in the
// store before the call is dispatched, and is never transferred to another
// holder. Machine is the state machine of a call; Service drives it.
package once

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	defaultDeadline       = 10 * time.Second
	defaultStoreTimeout   = 2 * time.Second
	defaultMaxResultBytes = 64 << 10
	// settleTimeout limits the retries of recording a result or releasing a
	// claim.
	settleTimeout = time.Minute
	// drainTimeout limits how long Run waits for active calls when it stops.
	drainTimeout = 5 * time.Second

	maxKeyBytes     = 512
	maxNameBytes    = 128
	maxPayloadBytes = 1 << 20
)

// Dispatcher calls a replica of a back-end service. Its errors are
// *failure.Error, with NotRun set only if the call certainly did not run.
type Dispatcher interface {
	Call(ctx context.Context, service string, request backendapi.CallRequest) (backendapi.CallReply, error)
}

// Store is the subset of store.Store that a Service uses.
type Store interface {
	store.Reader
	store.Committer
	store.Leaser
}

// Options configures a Service.
type Options struct {
	Store      Store
	Dispatcher Dispatcher
	// Holder is the daemon's ID, which claims show to operators.
	Holder string
	// Now returns the time with a monotonic reading. The default is time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// Registerer registers the metrics. If nil, they are not registered.
	Registerer prometheus.Registerer
	// StoreTimeout limits how long a call waits for its claim before it is
	// refused as not run. It is also the timeout of requests to the store. The
	// default is 2 s.
	StoreTimeout time.Duration
	// WithTimeout limits how long a call waits for its response, and the service
	// for the store's. The default is context.WithTimeout. A call's deadline,
	// which counts pauses of the process, is still checked before dispatch.
	WithTimeout elapsed.TimeoutFunc
	// PausedTime returns for how long the process has been paused, which is not
	// taken from the time for which a call waits for its response. If nil, pauses
	// before WithTimeout is called count.
	PausedTime func() time.Duration
	// MaxResultBytes is the maximum size of a result that is stored for repeated
	// calls. A larger one is returned only to the first caller; repeated calls
	// fail with Conflict. The default is 64 KiB.
	MaxResultBytes int
	// HasPeers reports whether there may be other daemons. If so, Run waits for a
	// peer's watermark when it starts. If nil, there are no peers.
	HasPeers func() bool
	// StoreUnhealthy reports whether the store is known to be unavailable from
	// requests other than those of calls. If nil, it never is.
	StoreUnhealthy func() bool
	// Announce sends a watermark to peers. If nil, none is sent.
	Announce func(Watermark)
}

// Service runs at-most-once calls while Run is running. It is safe for
// concurrent use.
type Service struct {
	options     Options
	batcher     *batcher
	metrics     *metrics
	activeCalls *activeCalls
	fence       *Fence
}

// New returns a Service. Its Run must be called for calls to proceed.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.StoreTimeout <= 0 {
		options.StoreTimeout = defaultStoreTimeout
	}
	if options.MaxResultBytes <= 0 {
		options.MaxResultBytes = defaultMaxResultBytes
	}
	serviceMetrics := newMetrics(options.Registerer)
	claimLeases := &leases{leaser: options.Store, now: options.Now}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
	}
	if options.PausedTime == nil {
		options.PausedTime = func() time.Duration { return 0 }
	}
	if options.HasPeers == nil {
		options.HasPeers = func() bool { return false }
	}
	if options.StoreUnhealthy == nil {
		options.StoreUnhealthy = func() bool { return false }
	}
	if options.Announce == nil {
		options.Announce = func(Watermark) {}
	}
	fence := NewFence(options.Holder)
	service := &Service{
		options:     options,
		metrics:     serviceMetrics,
		batcher:     newBatcher(options, claimLeases, fence, serviceMetrics),
		activeCalls: newActiveCalls(),
		fence:       fence,
	}
	service.batcher.onStatus = service.handleStatus
	return service
}

// Run sends claims, results and releases to the store until ctx is done. It then
// refuses new calls, waits for active ones for a limited time, and returns the
// error of ctx.
func (s *Service) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.awaitPeerWatermark(runCtx)
		s.batcher.run(runCtx)
	}()
	s.maintainFence(ctx)
	drainCtx, cancelDrain := s.options.WithTimeout(runCtx, drainTimeout)
	defer cancelDrain()
	s.activeCalls.drain(drainCtx)
	cancel()
	<-stopped
	return ctx.Err()
}

// Call runs a call, or returns the result of the earlier call with the same key.
// Errors are *failure.Error, with NotRun set only if this request certainly did
// not run the call.
func (s *Service) Call(ctx context.Context, call client.Call) (client.CallResult, error) {
	pausedBefore := s.options.PausedTime() // read first, so that it includes no later pause
	arrival := s.options.Now()
	response, err := s.call(ctx, call, arrival, pausedBefore)
	s.metrics.observeCall(response, err)
	if err != nil {
		return client.CallResult{}, err
	}
	return client.CallResult{
		Key:              call.Key,
		Result:           response.Result,
		Repeated:         response.Repeated,
		TookMicroseconds: s.options.Now().Sub(arrival).Microseconds(),
	}, nil
}

func (s *Service) call(ctx context.Context, call client.Call, arrival time.Time, pausedBefore time.Duration) (Action, error) {
	if err := validate(call); err != nil {
		return Action{}, err
	}
	if rejection := s.fence.Admit(); rejection != nil {
		return Action{}, rejection
	}
	if !s.activeCalls.begin() {
		return Action{}, failure.New(failure.Draining, "daemon is stopping")
	}
	active := s.newActiveCall(call, arrival, pausedBefore)
	s.queueClaim(active)
	response := active.await(ctx)
	if response.Failure != nil {
		return response, response.Failure
	}
	return response, nil
}

func validate(call client.Call) error {
	switch {
	case call.Key == "" || len(call.Key) > maxKeyBytes:
		return failure.New(failure.InvalidRequest, "call: key must have 1 to 512 bytes")
	case call.Service == "" || len(call.Service) > maxNameBytes:
		return failure.New(failure.InvalidRequest, "call: service must have 1 to 128 bytes")
	case call.Operation == "" || len(call.Operation) > maxNameBytes:
		return failure.New(failure.InvalidRequest, "call: operation must have 1 to 128 bytes")
	case len(call.Payload) > maxPayloadBytes:
		return failure.New(failure.TooLarge, "call: payload exceeds 1 MiB")
	case call.DeadlineMilliseconds < 0:
		return failure.New(failure.InvalidRequest, "call: deadline is negative")
	default:
		return nil
	}
}

func (s *Service) newActiveCall(call client.Call, arrival time.Time, pausedBefore time.Duration) *activeCall {
	timeout := defaultDeadline
	if call.DeadlineMilliseconds > 0 {
		timeout = time.Duration(call.DeadlineMilliseconds) * time.Millisecond
	}
	deadline := arrival.Add(timeout)
	record := Record{
		ClaimID:                  ulid.Make().String(),
		Holder:                   s.options.Holder,
		Key:                      call.Key,
		Service:                  call.Service,
		Operation:                call.Operation,
		Fingerprint:              Fingerprint(call),
		NotAfterUnixMilliseconds: deadline.UnixMilli(),
		State:                    RecordClaimed,
		TimeUnixMilliseconds:     arrival.UnixMilli(),
	}
	return &activeCall{
		service:      s,
		call:         call,
		storeKey:     StoreKey(call.Key),
		record:       record,
		timeout:      timeout,
		deadline:     deadline,
		pausedBefore: pausedBefore,
		machine:      NewMachine(record.ClaimID, record.Fingerprint, deadline),
		responses:    make(chan Action, 1),
	}
}

// storeFailure converts an error that prevented a claim to a failure.Error.
func storeFailure(err error) *failure.Error {
	switch {
	case errors.Is(err, errServiceStopped):
		return failure.Wrap(err, failure.Draining, "claim key")
	case errors.Is(err, errQueueFull):
		return failure.Wrap(err, failure.Overloaded, "claim key")
	default:
		return failure.Wrap(err, failure.StoreUnavailable, "claim key")
	}
}
