package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	// maxBatchTransactions is the maximum number of transactions in a request.
	// etcd allows 128 operations per transaction.
	maxBatchTransactions = 64
	// maxQueuedTransactions limits the length of the queue.
	maxQueuedTransactions = 20000
)

var errServiceStopped = eris.New("at-most-once service stopped")

var errQueueFull = eris.New("too many transactions queued for the store")

// queuedTransaction is a transaction waiting to be committed.
type queuedTransaction struct {
	key string
	// prepare returns the transaction when it is about to be sent. ok is false
	// if it is no longer needed.
	prepare func(lease store.Lease) (transaction store.Transaction, ok bool)
	// complete is called once with the outcome and the fence status if prepare
	// returned ok. It must not block.
	complete func(outcome store.Outcome, status FenceStatus, err error)
	// reject is called instead of prepare if the transaction cannot be sent.
	reject func(err error)
	// needsLease is set if prepare needs a lease.
	needsLease bool
}

// batcher commits transactions in batches, one request at a time. Transactions
// submitted during a request form the next batch, so that batching adds no
// delay.
type batcher struct {
	committer store.Committer
	leases    *leases
	fence     *Fence
	// onStatus is called after each commit or probe. It must not block.
	onStatus    func(FenceStatus)
	timeout     time.Duration
	withTimeout elapsed.TimeoutFunc
	metrics     *metrics

	mutex   sync.Mutex
	queue   []*queuedTransaction
	stopped bool
	wake    chan struct{}
}

func newBatcher(options Options, leases *leases, fence *Fence, metrics *metrics) *batcher {
	return &batcher{
		committer:   options.Store,
		leases:      leases,
		fence:       fence,
		onStatus:    func(FenceStatus) {},
		timeout:     options.StoreTimeout,
		withTimeout: options.WithTimeout,
		metrics:     metrics,
		wake:        make(chan struct{}, 1),
	}
}

// submit queues a transaction, or rejects it if the batcher has stopped or the
// queue is full.
func (b *batcher) submit(queued *queuedTransaction) {
	if err := b.enqueue(queued); err != nil {
		queued.reject(err)
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batcher) enqueue(queued *queuedTransaction) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped {
		return errServiceStopped
	}
	if len(b.queue) >= maxQueuedTransactions {
		return errQueueFull
	}
	b.queue = append(b.queue, queued)
	return nil
}

// run commits batches until ctx is done, then rejects the queued transactions.
func (b *batcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := b.nextBatch()
		if len(batch) > 0 {
			b.commit(ctx, batch)
			continue
		}
		select {
		case <-ctx.Done():
		case <-b.wake:
		}
	}
	for _, queued := range b.stop() {
		queued.reject(errServiceStopped)
	}
}

func (b *batcher) stop() []*queuedTransaction {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopped = true
	remaining := b.queue
	b.queue = nil
	return remaining
}

// nextBatch removes the next batch from the queue. Each key occurs at most once
// in a batch; further transactions on it stay queued.
func (b *batcher) nextBatch() []*queuedTransaction {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	keys := make(map[string]bool)
	var batch, remaining []*queuedTransaction
	for i, queued := range b.queue {
		if len(batch) == maxBatchTransactions {
			remaining = append(remaining, b.queue[i:]...)
			break
		}
		if keys[queued.key] {
			remaining = append(remaining, queued)
			continue
		}
		keys[queued.key] = true
		batch = append(batch, queued)
	}
	b.queue = remaining
	return batch
}

// commit sends one batch. It is not canceled with ctx, as the outcome of a
// canceled request is unknown.
func (b *batcher) commit(ctx context.Context, batch []*queuedTransaction) {
	ctx, cancel := b.withTimeout(context.WithoutCancel(ctx), b.timeout)
	defer cancel()
	if b.fence.ProbeRequired() {
		if err := b.probe(ctx); err != nil {
			b.requeue(batch, err)
			return
		}
	}
	lease, err := b.leaseFor(ctx, batch)
	var sent []*queuedTransaction
	var transactions []store.Transaction
	for _, queued := range batch {
		if queued.needsLease && err != nil {
			b.fence.RequireProbe()
			queued.reject(err)
			continue
		}
		if transaction, ok := queued.prepare(lease); ok {
			sent = append(sent, queued)
			transactions = append(transactions, transaction)
		}
	}
	if len(sent) > 0 {
		b.send(ctx, sent, transactions)
	}
}

// probe checks, without writing, whether the store was restored to an older
// state since a request failed.
func (b *batcher) probe(ctx context.Context) error {
	before := b.fence.Watermark()
	outcomes, err := b.committer.CommitAll(ctx, []store.Transaction{b.fence.Probe()})
	if err != nil {
		return err
	}
	if len(outcomes) != 1 {
		return eris.Wrapf(store.ErrUnavailable, "got %d outcomes for a probe", len(outcomes))
	}
	b.onStatus(b.fence.Check(before, outcomes[0], false))
	return nil
}

// requeue handles a batch after a failed probe. Transactions with a lease are
// submitted again after a delay, unless the store rejected the probe; the others
// are rejected.
func (b *batcher) requeue(batch []*queuedTransaction, cause error) {
	for _, queued := range batch {
		if !queued.needsLease || errors.Is(cause, store.ErrNotApplied) {
			queued.reject(cause)
			continue
		}
		time.AfterFunc(rand.N(maxClaimRetryDelay), func() { b.submit(queued) })
	}
}

func (b *batcher) leaseFor(ctx context.Context, batch []*queuedTransaction) (store.Lease, error) {
	for _, queued := range batch {
		if queued.needsLease {
			return b.leases.current(ctx)
		}
	}
	return 0, nil
}

// send commits transactions and a probe of the fence in one request.
func (b *batcher) send(ctx context.Context, sent []*queuedTransaction, transactions []store.Transaction) {
	before := b.fence.Watermark()
	transactions = append(transactions, b.fence.Probe())
	outcomes, err := b.committer.CommitAll(ctx, transactions)
	b.metrics.observeCommit(len(sent), err)
	if err == nil && len(outcomes) != len(sent)+1 {
		err = eris.Wrapf(store.ErrOutcomeUnknown, "got %d outcomes for %d transactions", len(outcomes), len(sent)+1)
	}
	b.leases.handleCommitError(err)
	if err != nil {
		b.fence.RequireProbe()
		for _, queued := range sent {
			queued.complete(store.Outcome{}, FenceCurrent, err)
		}
		b.onStatus(FenceCurrent)
		return
	}
	status := b.fence.Check(before, outcomes[len(sent)], AnyWritten(transactions, outcomes))
	for i, queued := range sent {
		queued.complete(outcomes[i], status, nil)
	}
	b.onStatus(status)
}
