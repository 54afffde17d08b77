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

// claimAgainWait is the greatest wait before an unclear claim is sent again.
const claimAgainWait = 50 * time.Millisecond

// flight is one call under way.
type flight struct {
	service  *Service
	call     client.Call
	storeKey string
	record   Record
	deadline time.Time
	answers  chan Action

	mutex   sync.Mutex
	machine *Machine
	lease   store.Lease
}

// step gives the machine an event and runs what it wants, except a claim,
// which it returns as wanted.
func (f *flight) step(event Event) (claim bool) {
	f.mutex.Lock()
	before := f.machine.State()
	actions := f.machine.Step(f.service.options.Now(), event)
	ended := before != StateEnded && f.machine.State() == StateEnded
	f.mutex.Unlock()
	for _, action := range actions {
		claim = f.execute(action) || claim
	}
	if ended {
		f.service.flights.done()
	}
	return claim
}

func (f *flight) execute(action Action) (claim bool) {
	switch action.Kind {
	case ActionClaim:
		return true
	case ActionRequeue:
		time.AfterFunc(rand.N(claimAgainWait), func() { f.service.queueClaim(f) })
	case ActionDispatch:
		go f.dispatch()
	case ActionRespond:
		f.answers <- action
	case ActionRecord:
		f.service.record(f, action)
	case ActionRelease:
		f.service.release(f, action)
	}
	return false
}

// await returns the call's answer, giving up when the caller leaves or a time
// limit passes.
func (f *flight) await(ctx context.Context) Action {
	left := f.deadline.Sub(f.service.options.Now())
	bounded, cancel := f.service.options.WithTimeout(context.Background(), left)
	defer cancel()
	deadline := bounded.Done()
	storeLimit := time.NewTimer(f.service.options.StoreTimeout)
	defer storeLimit.Stop()
	leaving := ctx.Done()
	for {
		select {
		case given := <-f.answers:
			return given
		case <-leaving:
			leaving = nil
			f.step(Event{Kind: EventGiveUp, Reason: reasonOf(ctx)})
		case <-deadline:
			deadline = nil
			f.step(Event{Kind: EventGiveUp, Reason: DeadlineExceeded})
		case <-storeLimit.C:
			f.step(Event{Kind: EventGiveUp, Reason: StoreTimeout})
		}
	}
}

func reasonOf(ctx context.Context) GiveUpReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	return CallerCanceled
}

// queueClaim queues the claim of a call.
func (s *Service) queueClaim(f *flight) {
	s.batcher.submit(&entry{
		key:    f.storeKey,
		leased: true,
		begin:  f.beginClaim,
		finish: f.finishClaim,
		refuse: func(err error) { f.step(Event{Kind: EventNotApplied, Failure: storeFailure(err)}) },
	})
}

func (f *flight) beginClaim(lease store.Lease) (store.Transaction, bool) {
	if !f.step(Event{Kind: EventSending}) {
		return store.Transaction{}, false
	}
	f.mutex.Lock()
	f.lease = lease
	f.mutex.Unlock()
	if refused := f.service.fence.Admit(); refused != nil {
		f.step(Event{Kind: EventNotApplied, Failure: refused})
		return store.Transaction{}, false
	}
	transaction, err := ClaimTransaction(f.record, lease)
	if err != nil {
		cause := failure.Wrap(err, failure.Internal, "encode the claim").WithNotRun(true)
		f.step(Event{Kind: EventNotApplied, Failure: cause})
		return store.Transaction{}, false
	}
	return f.service.fence.Guard(transaction), true
}

func (f *flight) finishClaim(outcome store.Outcome, verdict FenceStatus, err error) {
	f.step(ClaimEvent(outcome, verdict, err))
}

// dispatch calls the back end. The call goes on when the caller leaves, so
// that its result can be recorded.
func (f *flight) dispatch() {
	left := f.deadline.Sub(f.service.options.Now())
	if left < time.Millisecond {
		late := failure.New(failure.DeadlineExceeded, "the deadline passed before dispatch")
		f.step(Event{Kind: EventRefused, Failure: late})
		return
	}
	if refused := f.service.fence.Admit(); refused != nil {
		f.step(Event{Kind: EventRefused, Failure: refused})
		return
	}
	ctx, cancel := f.service.options.WithTimeout(context.Background(), left)
	defer cancel()
	reply, err := f.service.options.Dispatcher.Call(ctx, f.call.Service, backendapi.CallRequest{
		Key:                      f.call.Key,
		Operation:                f.call.Operation,
		Payload:                  f.call.Payload,
		TimeoutMilliseconds:      left.Milliseconds(),
		NotAfterUnixMilliseconds: f.record.NotAfterUnixMilliseconds,
	})
	f.step(DispatchEvent(f.call.Key, reply, err))
}
