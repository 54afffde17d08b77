package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

const (
	// maxBatch is the greatest number of transactions in one request; etcd
	// allows 128 operations.
	maxBatch = 64
	// maxQueue bounds the transactions that wait.
	maxQueue = 20000
)

// errStopped says that the service runs no more.
var errStopped = eris.New("the service of at-most-once calls has stopped")

// errQueueFull says that too many transactions wait.
var errQueueFull = eris.New("too many claims wait for the store")

// entry is one transaction that waits to be committed.
type entry struct {
	key string
	// begin is called when the transaction is about to be sent; ok is false
	// when it is no longer wanted.
	begin func(lease store.Lease) (transaction store.Transaction, ok bool)
	// finish is called with the outcome and what it says of the store, once, if
	// begin returned ok. It must not block.
	finish func(outcome store.Outcome, verdict FenceStatus, err error)
	// refuse is called in place of begin when nothing can be sent.
	refuse func(err error)
	// leased is true when begin needs a lease.
	leased bool
}

// batcher commits transactions one request at a time; those that come
// meanwhile form the next request, so that grouping adds no wait.
type batcher struct {
	committer store.Committer
	leases    *leases
	fence     *Fence
	// judged is called after each verdict. It must not block.
	judged  func(FenceStatus)
	timeout time.Duration
	metrics *metrics

	mutex   sync.Mutex
	queue   []*entry
	stopped bool
	wake    chan struct{}
}

func newBatcher(committer store.Committer, leases *leases, fence *Fence, timeout time.Duration, metrics *metrics) *batcher {
	return &batcher{
		committer: committer,
		leases:    leases,
		fence:     fence,
		judged:    func(FenceStatus) {},
		timeout:   timeout,
		metrics:   metrics,
		wake:      make(chan struct{}, 1),
	}
}

// submit queues a transaction, or refuses it at once.
func (b *batcher) submit(one *entry) {
	if err := b.push(one); err != nil {
		one.refuse(err)
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batcher) push(one *entry) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped {
		return errStopped
	}
	if len(b.queue) >= maxQueue {
		return errQueueFull
	}
	b.queue = append(b.queue, one)
	return nil
}

// run commits until ctx ends, then refuses what waits.
func (b *batcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := b.take()
		if len(batch) > 0 {
			b.commit(ctx, batch)
			continue
		}
		select {
		case <-ctx.Done():
		case <-b.wake:
		}
	}
	for _, one := range b.stop() {
		one.refuse(errStopped)
	}
}

func (b *batcher) stop() []*entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopped = true
	left := b.queue
	b.queue = nil
	return left
}

// take removes the next batch from the queue; a key that is in it already
// waits for the next.
func (b *batcher) take() []*entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	keys := make(map[string]bool)
	var batch, left []*entry
	for at, one := range b.queue {
		if len(batch) == maxBatch {
			left = append(left, b.queue[at:]...)
			break
		}
		if keys[one.key] {
			left = append(left, one)
			continue
		}
		keys[one.key] = true
		batch = append(batch, one)
	}
	b.queue = left
	return batch
}

// commit sends one batch. The request outlives ctx, as breaking it off would
// make its outcome unclear.
func (b *batcher) commit(ctx context.Context, batch []*entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.timeout)
	defer cancel()
	if b.fence.ProbeRequired() {
		if err := b.probe(ctx); err != nil {
			b.postpone(batch, err)
			return
		}
	}
	lease, err := b.leaseFor(ctx, batch)
	var sent []*entry
	var transactions []store.Transaction
	for _, one := range batch {
		if one.leased && err != nil {
			b.fence.RequireProbe()
			one.refuse(err)
			continue
		}
		if transaction, ok := one.begin(lease); ok {
			sent = append(sent, one)
			transactions = append(transactions, transaction)
		}
	}
	if len(sent) > 0 {
		b.send(ctx, sent, transactions)
	}
}

// probe finds out, without writing, whether the store that failed a while ago
// is as new as it was.
func (b *batcher) probe(ctx context.Context) error {
	sent := b.fence.Watermark()
	outcomes, err := b.committer.CommitAll(ctx, []store.Transaction{b.fence.Probe()})
	if err != nil {
		return err
	}
	if len(outcomes) != 1 {
		return eris.Wrapf(store.ErrUnavailable, "%d outcomes for a probe", len(outcomes))
	}
	b.judged(b.fence.Check(sent, outcomes[0], false))
	return nil
}

// postpone queues what can wait again after a probe failed; what the store
// refuses at once is refused at once.
func (b *batcher) postpone(batch []*entry, cause error) {
	for _, one := range batch {
		if !one.leased || errors.Is(cause, store.ErrNotApplied) {
			one.refuse(cause)
			continue
		}
		time.AfterFunc(rand.N(claimAgainWait), func() { b.submit(one) })
	}
}

func (b *batcher) leaseFor(ctx context.Context, batch []*entry) (store.Lease, error) {
	for _, one := range batch {
		if one.leased {
			return b.leases.current(ctx)
		}
	}
	return 0, nil
}

// send commits transactions together with a probe of the fence.
func (b *batcher) send(ctx context.Context, sent []*entry, transactions []store.Transaction) {
	mark := b.fence.Watermark()
	transactions = append(transactions, b.fence.Probe())
	outcomes, err := b.committer.CommitAll(ctx, transactions)
	b.metrics.committed(len(sent), err)
	if err == nil && len(outcomes) != len(sent)+1 {
		err = eris.Wrapf(store.ErrOutcomeUnknown, "%d outcomes for %d transactions", len(outcomes), len(sent)+1)
	}
	b.leases.after(err)
	if err != nil {
		b.fence.RequireProbe()
		for _, one := range sent {
			one.finish(store.Outcome{}, FenceCurrent, err)
		}
		b.judged(FenceCurrent)
		return
	}
	verdict := b.fence.Check(mark, outcomes[len(sent)], AnyWritten(transactions, outcomes))
	for at, one := range sent {
		one.finish(outcomes[at], verdict, nil)
	}
	b.judged(verdict)
}
