package query

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/replica"
)

// Driver gives a Service its time and concurrency, so that the same Service
// runs on goroutines in the daemon and on a virtual clock in simulation.
type Driver interface {
	// Start runs one sub-request beside its query.
	Start(work func())
	// WithCancel is as in package context.
	WithCancel(parent context.Context) (context.Context, context.CancelFunc)
	// Detached returns a context that outlives the request.
	Detached() context.Context
	// After runs work once, later.
	After(wait time.Duration, work func())
	// NewInbox makes the inbox of a run that starts now.
	NewInbox(capacity int) Inbox
}

// Inbox is where one run waits for what happens next. Only Deliver may be
// called by others than the run.
type Inbox interface {
	// Elapsed is the time since the run's start.
	Elapsed() time.Duration
	// SetTimer replaces the timer; at counts from the run's start.
	SetTimer(at time.Duration)
	// Deliver hands a result to the run; after Close it has no effect.
	Deliver(result AttemptResult)
	// Next waits for a result, the timer, or the end of ctx.
	Next(ctx context.Context) (AttemptResult, WakeReason)
	// Close ends the run: later results find nowhere to go.
	Close()
}

// AttemptResult is the result of one sub-request of a run.
type AttemptResult struct {
	Shard   int
	Attempt int
	Result  replica.SubrequestResult
}

// WakeReason says why Next returned.
type WakeReason int

// The reasons for which Next returns.
const (
	WakeResult WakeReason = iota
	WakeTimer
	WakeContextDone
)

// goroutines is the Driver of the daemon.
type goroutines struct{}

func (goroutines) Start(work func()) { go work() }

func (goroutines) WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(parent)
}

func (goroutines) Detached() context.Context { return context.Background() }

func (goroutines) After(wait time.Duration, work func()) { time.AfterFunc(wait, work) }

func (goroutines) NewInbox(capacity int) Inbox {
	return &channelInbox{
		started: time.Now(),
		results: make(chan AttemptResult, capacity),
		over:    make(chan struct{}),
	}
}

// channelInbox is an Inbox of channels.
type channelInbox struct {
	started time.Time
	results chan AttemptResult
	over    chan struct{}
	timer   *time.Timer
}

func (i *channelInbox) Elapsed() time.Duration { return time.Since(i.started) }

func (i *channelInbox) SetTimer(at time.Duration) {
	wait := at - i.Elapsed()
	if i.timer == nil {
		i.timer = time.NewTimer(wait)
		return
	}
	i.timer.Reset(wait)
}

func (i *channelInbox) Deliver(result AttemptResult) {
	select {
	case i.results <- result:
	case <-i.over:
	}
}

func (i *channelInbox) Next(ctx context.Context) (AttemptResult, WakeReason) {
	select {
	case result := <-i.results:
		return result, WakeResult
	case <-i.timer.C:
		return AttemptResult{}, WakeTimer
	case <-ctx.Done():
		return AttemptResult{}, WakeContextDone
	}
}

func (i *channelInbox) Close() {
	close(i.over)
	i.timer.Stop()
}
