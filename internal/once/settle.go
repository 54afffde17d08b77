package once

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

const (
	settleFirstWait   = 100 * time.Millisecond
	settleLongestWait = 5 * time.Second
)

// settling is the bounded background work that ends a call: recording its
// result or releasing its claim.
type settling struct {
	flight  *flight
	what    string
	until   time.Time
	tries   int
	attempt func()
}

func (s *Service) newSettling(f *flight, what string) *settling {
	return &settling{flight: f, what: what, until: s.options.Now().Add(settleTime)}
}

func (t *settling) end() { t.flight.step(Event{Kind: EventSettled}) }

// again tries later, or gives up when the time is over or the service stops.
func (t *settling) again(cause error) {
	service := t.flight.service
	if service.flights.closed() || !service.options.Now().Before(t.until) {
		service.metrics.unsettled.WithLabelValues(t.what).Inc()
		service.options.Logger.Warn("an at-most-once claim was left unsettled", slog.String("work", t.what),
			slog.String("key", t.flight.call.Key), slog.Any("error", cause))
		t.end()
		return
	}
	limit := min(settleLongestWait, settleFirstWait<<min(t.tries, 10))
	t.tries++
	time.AfterFunc(rand.N(limit), t.attempt)
}

// submit commits a transaction that is guarded by the claim's revision, so
// that a repeat does no harm and a failed comparison means that it is done.
func (t *settling) submit(transaction store.Transaction) {
	t.flight.service.batcher.submit(&entry{
		key:    t.flight.storeKey,
		begin:  func(store.Lease) (store.Transaction, bool) { return transaction, true },
		refuse: t.again,
		finish: func(_ store.Outcome, _ FenceStatus, err error) {
			if err != nil {
				t.again(err)
				return
			}
			t.end()
		},
	})
}

// record writes the result over the claim.
func (s *Service) record(f *flight, action Action) {
	work := s.newSettling(f, "record")
	finished := f.record.WithResult(action.Result, s.options.MaxResultBytes, s.options.Now().UnixMilli())
	f.mutex.Lock()
	lease := f.lease
	f.mutex.Unlock()
	transaction, err := ResultTransaction(finished, action.ModRevision, lease)
	if err != nil {
		// The back end's result is not JSON; that the call ran is still kept.
		finished.Result = nil
		finished.ResultBytes = max(1, len(action.Result))
		transaction, _ = ResultTransaction(finished, action.ModRevision, lease)
	}
	work.attempt = func() { work.submit(transaction) }
	work.attempt()
}

// release deletes the claim of a call that certainly did not run.
func (s *Service) release(f *flight, action Action) {
	work := s.newSettling(f, "release")
	if action.ModRevision > 0 {
		transaction := ReleaseTransaction(f.storeKey, action.ModRevision)
		work.attempt = func() { work.submit(transaction) }
		work.attempt()
		return
	}
	work.attempt = func() { work.find() }
	go work.attempt()
}

// find looks for a claim that may have been written. One that is not there
// may still arrive, so it is looked for again for a while.
func (t *settling) find() {
	service := t.flight.service
	ctx, cancel := context.WithTimeout(context.Background(), service.options.StoreTimeout)
	defer cancel()
	value, found, _, err := service.options.Store.Get(ctx, t.flight.storeKey)
	if err != nil || !found {
		t.again(err)
		return
	}
	if !IsPendingClaim(value.Value, t.flight.record.ClaimID) {
		t.end()
		return
	}
	t.submit(ReleaseTransaction(t.flight.storeKey, value.ModRevision))
}
