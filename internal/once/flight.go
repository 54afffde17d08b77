package once

import (
	"context"
	"encoding/json"
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
	case ActionQueue:
		time.AfterFunc(rand.N(claimAgainWait), func() { f.service.queueClaim(f) })
	case ActionDispatch:
		go f.dispatch()
	case ActionAnswer:
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
	deadline := time.NewTimer(left)
	defer deadline.Stop()
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
		case <-deadline.C:
			f.step(Event{Kind: EventGiveUp, Reason: DeadlinePassed})
		case <-storeLimit.C:
			f.step(Event{Kind: EventGiveUp, Reason: StoreTimeout})
		}
	}
}

func reasonOf(ctx context.Context) GiveUpReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlinePassed
	}
	return CallerLeft
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
	value, err := json.Marshal(f.record)
	if err != nil {
		cause := failure.Wrap(err, failure.Internal, "encode the claim").WithNotRun(true)
		f.step(Event{Kind: EventNotApplied, Failure: cause})
		return store.Transaction{}, false
	}
	return store.Transaction{
		Compares: []store.Compare{{Key: f.storeKey, Absent: true}},
		Writes:   []store.Write{{Key: f.storeKey, Value: value, Lease: lease}},
	}, true
}

func (f *flight) finishClaim(outcome store.Outcome, err error) {
	switch {
	case errors.Is(err, store.ErrNotApplied):
		f.step(Event{Kind: EventNotApplied, Failure: storeFailure(err)})
	case err != nil:
		f.step(Event{Kind: EventUnclear})
	case outcome.Applied:
		f.step(Event{Kind: EventClaimed, ModRevision: outcome.Revision})
	default:
		f.step(heldEvent(outcome))
	}
}

// heldEvent reads who holds the key; a claim that cannot be read is not ours
// to judge, so it is an unclear outcome.
func heldEvent(outcome store.Outcome) Event {
	if len(outcome.Current) != 1 {
		return Event{Kind: EventUnclear}
	}
	held, err := decodeRecord(outcome.Current[0].Value)
	if err != nil {
		return Event{Kind: EventUnclear}
	}
	return Event{Kind: EventHeld, Record: held, ModRevision: outcome.Current[0].ModRevision}
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
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	reply, err := f.service.options.Dispatcher.Call(ctx, f.call.Service, backendapi.CallRequest{
		Key:                      f.call.Key,
		Operation:                f.call.Operation,
		Payload:                  f.call.Payload,
		TimeoutMilliseconds:      left.Milliseconds(),
		NotAfterUnixMilliseconds: f.record.NotAfterUnixMilliseconds,
	})
	f.step(f.dispatchEvent(reply, err))
}

func (f *flight) dispatchEvent(reply backendapi.CallReply, err error) Event {
	if err == nil && reply.Key != f.call.Key {
		err = failure.New(failure.OutcomeUnknown, "the reply is for another key")
	}
	if err == nil {
		return Event{Kind: EventReplied, Result: reply.Result}
	}
	known := failure.From(err)
	if known.NotRun {
		return Event{Kind: EventRefused, Failure: known}
	}
	if known.Kind != failure.OutcomeUnknown {
		known = failure.Wrap(err, failure.OutcomeUnknown, "dispatch the call")
	}
	return Event{Kind: EventFailed, Failure: known}
}
