// Package once runs calls that may not be repeated, such as a refund credit,
// at most once across all daemons: a claim on the call's key is created in
// the store before the call is dispatched, and is never handed to another
// holder. Machine is the pure state of one call; Service runs it.
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
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	defaultDeadline     = 10 * time.Second
	defaultStoreTimeout = 2 * time.Second
	defaultMaxResult    = 64 << 10
	// settleTime bounds the retries of recording a result and of releasing a
	// claim.
	settleTime = time.Minute
	// stopTime bounds how long Run waits for calls under way when it ends.
	stopTime = 5 * time.Second

	maxKey     = 512
	maxName    = 128
	maxPayload = 1 << 20
)

// Dispatcher calls a replica of a back-end service. Its errors are
// *failure.Error; NotRun is true only if the call provably did not run.
type Dispatcher interface {
	Call(ctx context.Context, service string, request backendapi.CallRequest) (backendapi.CallReply, error)
}

// Store is the part of the store that a Service uses.
type Store interface {
	store.Reader
	store.Committer
	store.Leaser
}

// Options are the parts and settings of a Service.
type Options struct {
	Store      Store
	Dispatcher Dispatcher
	// Holder is the daemon's ID, for operators to read in a claim.
	Holder string
	// Now is the clock, with a monotonic reading; nil means time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// Registerer takes the metrics; nil means none are kept.
	Registerer prometheus.Registerer
	// StoreTimeout bounds the wait for the store before a call is refused as
	// not run; 0 means 2 s.
	StoreTimeout time.Duration
	// WithTimeout bounds the wait for the answer of a call that runs; nil means
	// context.WithTimeout. That of an elapsed.Meter does not count a pause of the
	// process, after which the answer may be there at the same moment as the deadline.
	WithTimeout func(parent context.Context, lasting time.Duration) (context.Context, context.CancelFunc)
	// MaxResultBytes is the greatest result that is kept for repeats; a
	// larger one is given to its caller only, and a repeat gets a Conflict
	// that says so. 0 means 64 KiB.
	MaxResultBytes int
	// HasPeers tells whether other daemons may exist, whose mark of the store
	// is awaited for a moment after the start; nil means that none do.
	HasPeers func() bool
	// StoreUnhealthy tells whether the store is seen to be out by other means
	// than calls; nil means that it never is.
	StoreUnhealthy func() bool
	// Announce tells peers of a mark; nil means that nobody is told.
	Announce func(Watermark)
}

// Service runs at-most-once calls. It is safe for concurrent use; Run must be
// running.
type Service struct {
	options Options
	batcher *batcher
	metrics *metrics
	flights *flights
	fence   *Fence
}

// New returns a Service.
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
		options.MaxResultBytes = defaultMaxResult
	}
	kept := newMetrics(options.Registerer)
	granted := &leases{leaser: options.Store, now: options.Now}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
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
	created := &Service{
		options: options,
		metrics: kept,
		batcher: newBatcher(options.Store, granted, fence, options.StoreTimeout, kept),
		flights: newFlights(),
		fence:   fence,
	}
	created.batcher.judged = created.judged
	return created
}

// Run sends claims, results and releases to the store until ctx ends. Then it
// refuses new calls, waits a while for those under way, and returns ctx's
// error.
func (s *Service) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.awaitMark(running)
		s.batcher.run(running)
	}()
	s.tendFence(ctx)
	s.flights.close(stopTime)
	cancel()
	<-ended
	return ctx.Err()
}

// Call runs a call, or tells the result of the earlier call with its key. The
// error is a *failure.Error whose NotRun is true only if this call's key was
// certainly not run by this call.
func (s *Service) Call(ctx context.Context, call client.Call) (client.CallResult, error) {
	arrival := s.options.Now()
	given, err := s.call(ctx, call, arrival)
	s.metrics.called(given, err)
	if err != nil {
		return client.CallResult{}, err
	}
	return client.CallResult{
		Key:              call.Key,
		Result:           given.Result,
		Repeated:         given.Repeated,
		TookMicroseconds: s.options.Now().Sub(arrival).Microseconds(),
	}, nil
}

func (s *Service) call(ctx context.Context, call client.Call, arrival time.Time) (Action, error) {
	if err := validate(call); err != nil {
		return Action{}, err
	}
	if refused := s.fence.Admit(); refused != nil {
		return Action{}, refused
	}
	if !s.flights.open() {
		return Action{}, failure.New(failure.Draining, "the daemon is stopping")
	}
	current := s.newFlight(call, arrival)
	s.queueClaim(current)
	given := current.await(ctx)
	if given.Failure != nil {
		return given, given.Failure
	}
	return given, nil
}

func validate(call client.Call) error {
	switch {
	case call.Key == "" || len(call.Key) > maxKey:
		return failure.New(failure.InvalidRequest, "call: the key must have 1 to 512 bytes")
	case call.Service == "" || len(call.Service) > maxName:
		return failure.New(failure.InvalidRequest, "call: the service must have 1 to 128 bytes")
	case call.Operation == "" || len(call.Operation) > maxName:
		return failure.New(failure.InvalidRequest, "call: the operation must have 1 to 128 bytes")
	case len(call.Payload) > maxPayload:
		return failure.New(failure.TooLarge, "call: the payload is over 1 MiB")
	case call.DeadlineMilliseconds < 0:
		return failure.New(failure.InvalidRequest, "call: the deadline is negative")
	default:
		return nil
	}
}

func (s *Service) newFlight(call client.Call, arrival time.Time) *flight {
	allowed := defaultDeadline
	if call.DeadlineMilliseconds > 0 {
		allowed = time.Duration(call.DeadlineMilliseconds) * time.Millisecond
	}
	deadline := arrival.Add(allowed)
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
	return &flight{
		service:  s,
		call:     call,
		storeKey: StoreKey(call.Key),
		record:   record,
		deadline: deadline,
		machine:  NewMachine(record.ClaimID, record.Fingerprint, deadline),
		answers:  make(chan Action, 1),
	}
}

// storeFailure gives a store's error before dispatch its kind.
func storeFailure(err error) *failure.Error {
	switch {
	case errors.Is(err, errStopped):
		return failure.Wrap(err, failure.Draining, "claim the key")
	case errors.Is(err, errQueueFull):
		return failure.Wrap(err, failure.Overloaded, "claim the key")
	default:
		return failure.Wrap(err, failure.StoreUnavailable, "claim the key")
	}
}
