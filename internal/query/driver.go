package query

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/replica"
)

// Driver provides time and concurrency to a Service, so that the same Service runs
// on goroutines in the daemon and on a virtual clock in simulations.
type Driver interface {
	// Start runs a sub-request concurrently with its query.
	Start(work func())
	// WithCancel is like context.WithCancel.
	WithCancel(parent context.Context) (context.Context, context.CancelFunc)
	// Detached returns a context that outlives the request.
	Detached() context.Context
	// After runs work once after a delay.
	After(wait time.Duration, work func())
	// NewInbox returns the inbox of a run that starts now.
	NewInbox(capacity int) Inbox
}

// Inbox is the event queue of one run. Only Elapsed and Deliver may be called from
// outside the run.
type Inbox interface {
	// Elapsed returns the time since the run's start.
	Elapsed() time.Duration
	// SetTimer replaces the timer; at is relative to the run's start.
	SetTimer(at time.Duration)
	// Deliver passes a result to the run; it has no effect after Close.
	Deliver(result AttemptResult)
	// Next waits for a result, the timer or the end of ctx. Results that are ready
	// come first.
	Next(ctx context.Context) (AttemptResult, WakeReason)
	// Ready returns the number of results that wait for Next.
	Ready() int
	// Close ends the run; later results are discarded.
	Close()
}

// AttemptResult is the result of one sub-request of a run.
type AttemptResult struct {
	Shard   int
	Attempt int
	Result  replica.SubrequestResult
}

// WakeReason is the reason why Inbox.Next returned.
type WakeReason int

// The reasons why Inbox.Next returns.
const (
	WakeResult WakeReason = iota
	WakeTimer
	WakeContextDone
)

// goroutineDriver is the Driver of the daemon.
type goroutineDriver struct{}

func (goroutineDriver) Start(work func()) { go work() }

func (goroutineDriver) WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(parent)
}

func (goroutineDriver) Detached() context.Context { return context.Background() }

func (goroutineDriver) After(wait time.Duration, work func()) { time.AfterFunc(wait, work) }

func (goroutineDriver) NewInbox(capacity int) Inbox {
	return &channelInbox{
		started: time.Now(),
		results: make(chan AttemptResult, capacity),
		closed:  make(chan struct{}),
	}
}

// minTimerWait keeps timers from being due when they are set. In a synctest bubble under the
// race detector, such timers run on their callers' threads at the same time and crash the
// detector.
const minTimerWait = time.Nanosecond

// channelInbox is an Inbox based on channels.
type channelInbox struct {
	started time.Time
	results chan AttemptResult
	closed  chan struct{}
	timer   *time.Timer
	// timerDue is true if the timer has fired and a result was returned before it.
	timerDue bool
}

func (i *channelInbox) Elapsed() time.Duration { return time.Since(i.started) }

func (i *channelInbox) SetTimer(at time.Duration) {
	i.timerDue = false
	wait := max(at-i.Elapsed(), minTimerWait)
	if i.timer == nil {
		i.timer = time.NewTimer(wait)
		return
	}
	i.timer.Reset(wait)
}

func (i *channelInbox) Deliver(result AttemptResult) {
	select {
	case i.results <- result:
	case <-i.closed:
	}
}

func (i *channelInbox) Next(ctx context.Context) (AttemptResult, WakeReason) {
	if result, ready := i.poll(); ready {
		return result, WakeResult
	}
	if i.timerDue {
		i.timerDue = false
		return AttemptResult{}, WakeTimer
	}
	select {
	case result := <-i.results:
		return result, WakeResult
	case <-i.timer.C:
		// On a process that ran late, replies may have become ready together with the timer.
		if result, ready := i.poll(); ready {
			i.timerDue = true
			return result, WakeResult
		}
		return AttemptResult{}, WakeTimer
	case <-ctx.Done():
		return AttemptResult{}, WakeContextDone
	}
}

// poll returns a result that is ready.
func (i *channelInbox) poll() (result AttemptResult, ready bool) {
	select {
	case result := <-i.results:
		return result, true
	default:
		return AttemptResult{}, false
	}
}

func (i *channelInbox) Ready() int { return len(i.results) }

func (i *channelInbox) Close() {
	close(i.closed)
	i.timer.Stop()
}
