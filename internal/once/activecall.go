package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

// maxClaimRetryDelay is the maximum delay before a claim is sent again.
const maxClaimRetryDelay = 50 * time.Millisecond

// activeCall drives the Machine of one call.
type activeCall struct {
	service  *Service
	call     client.Call
	storeKey string
	record   Record
	timeout  time.Duration
	deadline time.Time
	// pausedBefore is the process's paused time before the call arrived.
	pausedBefore time.Duration
	responses    chan Action

	mutex   sync.Mutex
	machine *Machine
	lease   store.Lease
}

// step passes an event to the machine and executes the resulting actions, except
// ActionClaim: claim reports whether the caller must send the claim.
func (c *activeCall) step(event Event) (claim bool) {
	c.mutex.Lock()
	before := c.machine.State()
	actions := c.machine.Step(c.service.options.Now(), event)
	ended := before != StateEnded && c.machine.State() == StateEnded
	c.mutex.Unlock()
	for _, action := range actions {
		claim = c.execute(action) || claim
	}
	if ended {
		c.service.activeCalls.done()
	}
	return claim
}

func (c *activeCall) execute(action Action) (claim bool) {
	switch action.Kind {
	case ActionClaim:
		return true
	case ActionRequeue:
		time.AfterFunc(rand.N(maxClaimRetryDelay), func() { c.service.queueClaim(c) })
	case ActionDispatch:
		go c.dispatch()
	case ActionRespond:
		c.responses <- action
	case ActionRecord:
		c.service.recordResult(c, action)
	case ActionRelease:
		c.service.releaseClaim(c, action)
	}
	return false
}

// await returns the response to the caller. It gives the call up when ctx is
// done or a timeout expires.
func (c *activeCall) await(ctx context.Context) Action {
	remaining := c.deadline.Sub(c.service.options.Now())
	deadlineCtx, cancel := c.service.options.WithTimeout(context.Background(), c.responseTimeout(remaining))
	defer cancel()
	deadline := deadlineCtx.Done()
	storeCtx, cancelStore := c.service.options.WithTimeout(context.Background(), c.service.options.StoreTimeout)
	defer cancelStore()
	storeTimeout := storeCtx.Done()
	canceled := ctx.Done()
	for {
		select {
		case response := <-c.responses:
			return response
		case <-canceled:
			canceled = nil
			c.step(Event{Kind: EventGiveUp, Reason: giveUpReason(ctx)})
		case <-deadline:
			deadline = nil
			c.step(Event{Kind: EventGiveUp, Reason: DeadlineExceeded})
		case <-storeTimeout:
			storeTimeout = nil
			c.step(Event{Kind: EventGiveUp, Reason: StoreTimeout})
		}
	}
}

// responseTimeout returns how long to wait for the response of a call. A pause since the call
// arrived has shortened the time remaining before its deadline, but its replica needs as long as
// without a pause. The paused time may include a suspension of the machine that remaining does not
// count, hence the limit.
func (c *activeCall) responseTimeout(remaining time.Duration) time.Duration {
	paused := c.service.options.PausedTime() - c.pausedBefore
	return min(remaining+paused, c.timeout)
}

func giveUpReason(ctx context.Context) GiveUpReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	return CallerCanceled
}

func (s *Service) queueClaim(c *activeCall) {
	s.batcher.submit(&queuedTransaction{
		key:        c.storeKey,
		needsLease: true,
		prepare:    c.prepareClaim,
		complete:   c.completeClaim,
		reject:     func(err error) { c.step(Event{Kind: EventNotApplied, Failure: storeFailure(err)}) },
	})
}

func (c *activeCall) prepareClaim(lease store.Lease) (store.Transaction, bool) {
	if !c.step(Event{Kind: EventSending}) {
		return store.Transaction{}, false
	}
	c.mutex.Lock()
	c.lease = lease
	c.mutex.Unlock()
	if rejection := c.service.fence.Admit(); rejection != nil {
		c.step(Event{Kind: EventNotApplied, Failure: rejection})
		return store.Transaction{}, false
	}
	transaction, err := ClaimTransaction(c.record, lease)
	if err != nil {
		cause := failure.Wrap(err, failure.Internal, "encode claim").WithNotRun(true)
		c.step(Event{Kind: EventNotApplied, Failure: cause})
		return store.Transaction{}, false
	}
	return c.service.fence.Guard(transaction), true
}

func (c *activeCall) completeClaim(outcome store.Outcome, status FenceStatus, err error) {
	c.step(ClaimEvent(outcome, status, err))
}

// dispatch calls the back end. The call continues when the caller cancels, so
// that its result can be recorded.
func (c *activeCall) dispatch() {
	remaining := c.deadline.Sub(c.service.options.Now())
	if remaining < time.Millisecond {
		cause := failure.New(failure.DeadlineExceeded, "deadline passed before dispatch")
		c.step(Event{Kind: EventRefused, Failure: cause})
		return
	}
	if rejection := c.service.fence.Admit(); rejection != nil {
		c.step(Event{Kind: EventRefused, Failure: rejection})
		return
	}
	responseTimeout := c.responseTimeout(remaining)
	ctx, cancel := c.service.options.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	reply, err := c.service.options.Dispatcher.Call(ctx, c.call.Service, backendapi.CallRequest{
		Key:                      c.call.Key,
		Operation:                c.call.Operation,
		Payload:                  c.call.Payload,
		TimeoutMilliseconds:      remaining.Milliseconds(),
		NotAfterUnixMilliseconds: c.record.NotAfterUnixMilliseconds,
		ResponseTimeout:          responseTimeout,
	})
	c.step(DispatchEvent(c.call.Key, reply, err))
}
