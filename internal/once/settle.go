package once

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

const (
	settleInitialBackoff = 100 * time.Millisecond
	settleMaxBackoff     = 5 * time.Second
)

// settling records the result of a call or releases its claim in the
// background, with retries until the deadline.
type settling struct {
	activeCall *activeCall
	operation  string
	deadline   time.Time
	retries    int
	attempt    func()
}

func (s *Service) newSettling(c *activeCall, operation string) *settling {
	return &settling{activeCall: c, operation: operation, deadline: s.options.Now().Add(settleTimeout)}
}

func (t *settling) finish() { t.activeCall.step(Event{Kind: EventSettled}) }

// retry schedules another attempt, or gives up if the deadline has passed or the
// service is stopping.
func (t *settling) retry(cause error) {
	service := t.activeCall.service
	if service.activeCalls.isDraining() || !service.options.Now().Before(t.deadline) {
		service.metrics.unsettled.WithLabelValues(t.operation).Inc()
		service.options.Logger.Warn("gave up settling an at-most-once claim", slog.String("work", t.operation),
			slog.String("key", t.activeCall.call.Key), slog.Any("error", cause))
		t.finish()
		return
	}
	backoff := min(settleMaxBackoff, settleInitialBackoff<<min(t.retries, 10))
	t.retries++
	time.AfterFunc(rand.N(backoff), t.attempt)
}

// commit commits a transaction that compares the claim's revision. It can
// therefore be retried, and a failed comparison needs no further attempt.
func (t *settling) commit(transaction store.Transaction) {
	t.activeCall.service.batcher.submit(&queuedTransaction{
		key:     t.activeCall.storeKey,
		prepare: func(store.Lease) (store.Transaction, bool) { return transaction, true },
		reject:  t.retry,
		complete: func(_ store.Outcome, _ FenceStatus, err error) {
			if err != nil {
				t.retry(err)
				return
			}
			t.finish()
		},
	})
}

// recordResult replaces the claim by the result.
func (s *Service) recordResult(c *activeCall, action Action) {
	work := s.newSettling(c, "record")
	completed := c.record.WithResult(action.Result, s.options.MaxResultBytes, s.options.Now().UnixMilli())
	c.mutex.Lock()
	lease := c.lease
	c.mutex.Unlock()
	transaction, err := ResultTransaction(completed, action.ModRevision, lease)
	if err != nil {
		// The result is not valid JSON; record only that the call ran.
		completed.Result = nil
		completed.ResultBytes = max(1, len(action.Result))
		transaction, _ = ResultTransaction(completed, action.ModRevision, lease)
	}
	work.attempt = func() { work.commit(transaction) }
	work.attempt()
}

// releaseClaim deletes the claim of a call that certainly did not run.
func (s *Service) releaseClaim(c *activeCall, action Action) {
	work := s.newSettling(c, "release")
	if action.ModRevision > 0 {
		transaction := ReleaseTransaction(c.storeKey, action.ModRevision)
		work.attempt = func() { work.commit(transaction) }
		work.attempt()
		return
	}
	work.attempt = func() { work.findClaim() }
	go work.attempt()
}

// findClaim reads and releases a claim that may have been written. If it is
// absent, the read is retried, since the write may still be applied.
func (t *settling) findClaim() {
	service := t.activeCall.service
	ctx, cancel := service.options.WithTimeout(context.Background(), service.options.StoreTimeout)
	defer cancel()
	value, found, _, err := service.options.Store.Get(ctx, t.activeCall.storeKey)
	if err != nil || !found {
		t.retry(err)
		return
	}
	if !IsPendingClaim(value.Value, t.activeCall.record.ClaimID) {
		t.finish()
		return
	}
	t.commit(ReleaseTransaction(t.activeCall.storeKey, value.ModRevision))
}
