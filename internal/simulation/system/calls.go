package system

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/store"
)

// The timing of the service of at-most-once calls, as in package once.
const (
	claimAgainWait  = 50 * time.Millisecond
	settleFor       = time.Minute
	settleWait      = 100 * time.Millisecond
	longestSettle   = 5 * time.Second
	settleDoublings = 6
	largestBatch    = 64
	keptResult      = 64 << 10
)

// callService is the shell around once.Machine in a simulated daemon.
type callService struct {
	daemon     *daemon
	fence      *once.Fence
	started    time.Time
	queue      []claimEntry
	committing bool
}

// claimEntry is a transaction that waits to be committed.
type claimEntry struct {
	key    string
	begin  func() (store.Transaction, bool)
	finish func(store.Outcome, once.FenceStatus, error)
	// claim is set if the entry is one.
	claim *flight
}

// flight is one call under way at one daemon.
type flight struct {
	service  *callService
	call     client.Call
	storeKey string
	record   once.Record
	deadline time.Time
	machine  *once.Machine
	answer   func(once.Action)
	// executions is how often back ends ran it, for the checks.
	executions int
	// answered is true once its caller has its answer.
	answered bool
	// saidNotRun is true once its caller was told that it did not run.
	saidNotRun bool
}

// begin starts a call; answer is called once.
func (s *callService) begin(call client.Call, answer func(once.Action)) *flight {
	d := s.daemon
	deadline := d.now().Add(time.Duration(call.DeadlineMilliseconds) * time.Millisecond)
	record := once.Record{
		ClaimID: d.world.newID(), Holder: d.id, Key: call.Key, Service: call.Service,
		Operation: call.Operation, Fingerprint: once.Fingerprint(call),
		NotAfterUnixMilliseconds: deadline.UnixMilli(), State: once.RecordClaimed,
		TimeUnixMilliseconds: d.now().UnixMilli(),
	}
	started := &flight{
		service: s, call: call, storeKey: once.StoreKey(call.Key), record: record, deadline: deadline,
		machine: once.NewMachine(record.ClaimID, record.Fingerprint, deadline), answer: answer,
	}
	d.world.checks.flightBegins(started)
	if refused := s.fence.Admit(); refused != nil {
		started.step(once.Event{Kind: once.EventSending})
		started.step(once.Event{Kind: once.EventNotApplied, Failure: refused})
		return started
	}
	d.process.After(deadline.Sub(d.now()), func() {
		started.step(once.Event{Kind: once.EventGiveUp, Reason: once.DeadlineExceeded})
	})
	d.process.After(storeTimeout, func() {
		started.step(once.Event{Kind: once.EventGiveUp, Reason: once.StoreTimeout})
	})
	s.claim(started)
	return started
}

func (s *callService) claim(f *flight) {
	s.submit(claimEntry{
		key: f.storeKey,
		begin: func() (store.Transaction, bool) {
			if !f.step(once.Event{Kind: once.EventSending}) {
				return store.Transaction{}, false
			}
			if refused := s.fence.Admit(); refused != nil {
				f.step(once.Event{Kind: once.EventNotApplied, Failure: refused})
				return store.Transaction{}, false
			}
			transaction, err := once.ClaimTransaction(f.record, 0)
			return s.fence.Guard(transaction), err == nil
		},
		finish: func(outcome store.Outcome, verdict once.FenceStatus, err error) {
			f.step(once.ClaimEvent(outcome, verdict, err))
		},
		claim: f,
	})
}

func (s *callService) submit(entry claimEntry) {
	s.queue = append(s.queue, entry)
	s.pump()
}

// pump commits what waits, one request at a time.
func (s *callService) pump() {
	if s.committing || len(s.queue) == 0 {
		return
	}
	s.committing = true
	s.daemon.process.After(0, func() { s.daemon.world.spawn(s.daemon.process, nil, s.commit) })
}

func (s *callService) commit() {
	defer func() {
		s.committing = false
		s.pump()
	}()
	s.awaitMark()
	batch := s.take()
	if s.fence.ProbeRequired() && !s.probe(batch) {
		return
	}
	var sent []claimEntry
	var transactions []store.Transaction
	for _, entry := range batch {
		if transaction, wanted := entry.begin(); wanted {
			sent = append(sent, entry)
			transactions = append(transactions, transaction)
		}
	}
	if len(sent) > 0 {
		s.send(sent, transactions)
	}
}

// take removes a batch of distinct keys from the queue.
func (s *callService) take() []claimEntry {
	keys := make(map[string]bool)
	var batch, left []claimEntry
	for _, entry := range s.queue {
		if keys[entry.key] || len(batch) == largestBatch {
			left = append(left, entry)
			continue
		}
		keys[entry.key] = true
		batch = append(batch, entry)
	}
	s.queue = left
	return batch
}

// step gives the machine an event and carries out what it wants, except a
// claim, which it returns as wanted.
func (f *flight) step(event once.Event) (claim bool) {
	for _, action := range f.machine.Step(f.service.daemon.now(), event) {
		claim = f.execute(action) || claim
	}
	return claim
}

func (f *flight) execute(action once.Action) (claim bool) {
	d := f.service.daemon
	switch action.Kind {
	case once.ActionClaim:
		return true
	case once.ActionRequeue:
		d.process.After(d.world.jitter(claimAgainWait), func() { f.service.claim(f) })
	case once.ActionDispatch:
		d.process.After(0, func() { d.world.spawn(d.process, func(t *task) { t.flight = f }, f.dispatch) })
	case once.ActionRespond:
		f.saidNotRun = action.Failure != nil && action.Failure.NotRun
		if f.answered {
			f.service.daemon.world.violate(PromiseAnswer, "call %s at %s was answered twice", f.call.Key, f.service.daemon.id)
		}
		f.answered = true
		f.answer(action)
	case once.ActionRecord:
		finished := f.record.WithResult(action.Result, keptResult, d.now().UnixMilli())
		if transaction, err := once.ResultTransaction(finished, action.ModRevision, 0); err == nil {
			f.settle(transaction, 0)
		}
	case once.ActionRelease:
		f.release(action.ModRevision)
	}
	return false
}

// dispatch calls the back end through the pool.
func (f *flight) dispatch() {
	d := f.service.daemon
	left := f.deadline.Sub(d.now())
	if left < time.Millisecond {
		f.step(once.DispatchEvent(f.call.Key, backendapi.CallReply{}, errLate))
		return
	}
	if refused := f.service.fence.Admit(); refused != nil {
		f.step(once.Event{Kind: once.EventRefused, Failure: refused})
		return
	}
	ctx, cancel := newContext(d.process).withTimeout(left)
	defer cancel()
	reply, err := d.pool.Call(ctx, f.call.Service, backendapi.CallRequest{
		Key: f.call.Key, Operation: f.call.Operation, TimeoutMilliseconds: left.Milliseconds(),
		NotAfterUnixMilliseconds: f.record.NotAfterUnixMilliseconds,
	})
	f.step(once.DispatchEvent(f.call.Key, reply, err))
}

// settle commits a guarded transaction until its outcome is known.
func (f *flight) settle(transaction store.Transaction, tries int) {
	f.service.submit(claimEntry{
		key:   f.storeKey,
		begin: func() (store.Transaction, bool) { return transaction, true },
		finish: func(_ store.Outcome, _ once.FenceStatus, err error) {
			if err != nil {
				f.later(tries, func() { f.settle(transaction, tries+1) })
				return
			}
			f.step(once.Event{Kind: once.EventSettled})
		},
	})
}

// later tries a settling again, as long as it may.
func (f *flight) later(tries int, again func()) {
	d := f.service.daemon
	if d.now().Sub(f.deadline) > settleFor {
		f.step(once.Event{Kind: once.EventSettled})
		return
	}
	limit := min(longestSettle, settleWait<<min(tries, settleDoublings))
	d.process.After(d.world.jitter(limit), again)
}

// release deletes the claim of a call that certainly did not run.
func (f *flight) release(modRevision int64) {
	if modRevision > 0 {
		f.settle(once.ReleaseTransaction(f.storeKey, modRevision), 0)
		return
	}
	f.find(0)
}

// find looks for a claim that may have been written.
func (f *flight) find(tries int) {
	d := f.service.daemon
	d.process.After(0, func() {
		d.world.spawn(d.process, nil, func() {
			value, found, _, err := storeClient{d}.Get(context.Background(), f.storeKey)
			switch {
			case err != nil || !found:
				f.later(tries, func() { f.find(tries + 1) })
			case !once.IsPendingClaim(value.Value, f.record.ClaimID):
				f.step(once.Event{Kind: once.EventSettled})
			default:
				f.settle(once.ReleaseTransaction(f.storeKey, value.ModRevision), 0)
			}
		})
	})
}
