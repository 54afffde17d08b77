package document

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
)

// The defaults of StoreWatcherOptions.
const (
	defaultElectionInterval = time.Second
	defaultResyncInterval   = 15 * time.Second
	defaultInitialBackoff   = 100 * time.Millisecond
	defaultMaxBackoff       = 10 * time.Second
)

// maxBackoffShift keeps the doubling of the backoff from overflowing.
const maxBackoffShift = 16

// The reasons other than a failure for which listAndWatch returns.
var (
	errNotElected = errors.New("daemon is no longer elected to watch the store")
	errResync     = errors.New("documents must be listed again")
)

// WatchedStore is the part of the store that a StoreWatcher uses.
type WatchedStore interface {
	store.Reader
	store.Watcher
}

// StoreWatcherOptions configures a StoreWatcher.
type StoreWatcherOptions struct {
	Store    WatchedStore
	Register *Register
	Board    *blackboard.Board
	// Elected reports whether this daemon is elected to watch the store.
	Elected func() bool
	Logger  *slog.Logger
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// Random is the source of the backoff jitter; nil means a randomly seeded
	// one. Only Run uses it.
	Random *rand.Rand
	// Registerer registers the metrics; nil means that they are not exported.
	Registerer prometheus.Registerer
	// ElectionInterval is the interval at which Elected is called, in addition to
	// changes of the membership; 0 means 1 s.
	ElectionInterval time.Duration
	// ResyncInterval is the interval at which the documents are listed while a
	// watch is open, because a watch can fail silently; 0 means 15 s.
	ResyncInterval time.Duration
	// InitialBackoff limits the random wait after an error. The limit doubles
	// with each further error, up to MaxBackoff. 0 means 100 ms and 10 s.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// StoreWatcher watches the documents in the store while this daemon is elected. It
// offers each version to the register and publishes the status of the store.
type StoreWatcher struct {
	options   StoreWatcherOptions
	requests  *prometheus.CounterVec
	status    blackboard.StoreStatus
	hasStatus bool
	failures  int
	// deliveredRevision is the revision of the store up to which the initial list
	// and the watch have delivered all changes.
	deliveredRevision int64
}

// NewStoreWatcher returns a StoreWatcher.
func NewStoreWatcher(options StoreWatcherOptions) *StoreWatcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	orDefault(&options.ElectionInterval, defaultElectionInterval)
	orDefault(&options.ResyncInterval, defaultResyncInterval)
	orDefault(&options.InitialBackoff, defaultInitialBackoff)
	orDefault(&options.MaxBackoff, defaultMaxBackoff)
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_store_watcher_requests_total",
		Help: "Requests to the store by the watcher of documents, by operation.",
	}, []string{"operation"})
	if options.Registerer != nil {
		options.Registerer.MustRegister(requests)
	}
	return &StoreWatcher{options: options, requests: requests}
}

func orDefault(setting *time.Duration, value time.Duration) {
	if *setting <= 0 {
		*setting = value
	}
}

// Run watches the store until ctx is done and returns the error of ctx.
func (w *StoreWatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.options.Elected() {
			w.awaitElection(ctx)
			continue
		}
		err := w.listAndWatch(ctx)
		if ctx.Err() != nil {
			break
		}
		w.backOff(ctx, err)
	}
	return ctx.Err()
}

// awaitElection waits for a change of the membership or ElectionInterval.
func (w *StoreWatcher) awaitElection(ctx context.Context) {
	changed := w.options.Board.Members.Changed()
	timer := time.NewTimer(w.options.ElectionInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// backOff handles the error of listAndWatch and waits before the next attempt.
func (w *StoreWatcher) backOff(ctx context.Context, err error) {
	switch {
	case errors.Is(err, errNotElected):
		return
	case errors.Is(err, store.ErrCompacted), errors.Is(err, errResync):
		// Not a failure of the store, but retrying needs a delay all the same.
	default:
		w.setReachable(false, err)
	}
	limit := min(w.options.MaxBackoff, w.options.InitialBackoff<<min(w.failures, maxBackoffShift))
	w.failures++
	timer := time.NewTimer(time.Duration(w.options.Random.Int64N(int64(limit)) + 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// listResult holds the revisions found by listing the documents.
type listResult struct {
	// revision is the revision of the store; newestModRevision is the highest
	// modification revision of the documents.
	revision, newestModRevision int64
}

// listAndWatch lists the documents, then watches them from the next revision on.
func (w *StoreWatcher) listAndWatch(ctx context.Context) error {
	listed, err := w.list(ctx)
	if err != nil {
		return err
	}
	w.deliveredRevision = listed.revision
	group, groupContext := errgroup.WithContext(ctx)
	batches := make(chan store.WatchBatch)
	group.Go(func() error { return w.watch(groupContext, listed.revision+1, batches) })
	group.Go(func() error { return w.consume(groupContext, batches) })
	return group.Wait()
}

// list reads all documents from the store and offers them to the register.
func (w *StoreWatcher) list(ctx context.Context) (listResult, error) {
	// The current revisions are taken before the list, so that a lower revision
	// in the list proves that the store has regressed.
	current := w.options.Register.Revisions()
	w.requests.WithLabelValues("list").Inc()
	values, revision, err := w.options.Store.List(ctx, KeyPrefix, 0)
	if err != nil {
		return listResult{}, eris.Wrap(err, "list documents")
	}
	w.setReachable(true, nil)
	stored := make(map[Name]uint64, len(values))
	listed := listResult{revision: revision}
	for _, value := range values {
		listed.newestModRevision = max(listed.newestModRevision, value.ModRevision)
		if version, ok := w.decode(value); ok {
			stored[version.Name] = version.Revision
			w.offer(version)
		}
	}
	w.checkRegressed(current, stored)
	return listed, nil
}

func (w *StoreWatcher) checkRegressed(current []Revision, stored map[Name]uint64) {
	regressed := false
	for _, revision := range current {
		regressed = regressed || stored[revision.Name] < revision.Revision
	}
	w.setRegressed(regressed)
}

// watch sends the batches to consume, so that only one goroutine uses the state of
// w.
func (w *StoreWatcher) watch(ctx context.Context, from int64, batches chan<- store.WatchBatch) error {
	w.requests.WithLabelValues("watch").Inc()
	err := w.options.Store.Watch(ctx, KeyPrefix, from, func(batch store.WatchBatch) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batches <- batch:
			return nil
		}
	})
	return eris.Wrap(err, "watch documents")
}

// consume applies batches and resyncs periodically. It returns errNotElected when
// the daemon is no longer elected.
func (w *StoreWatcher) consume(ctx context.Context, batches <-chan store.WatchBatch) error {
	resyncTicker := time.NewTicker(w.options.ResyncInterval)
	defer resyncTicker.Stop()
	election := time.NewTicker(w.options.ElectionInterval)
	defer election.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-batches:
			if err := w.applyBatch(batch); err != nil {
				return err
			}
		case <-resyncTicker.C:
			if err := w.resync(ctx); err != nil {
				return err
			}
		case <-election.C:
			if !w.options.Elected() {
				return errNotElected
			}
		}
	}
}

// resync lists the documents. If one is newer than what the watch has delivered,
// the watch has failed silently, for example because its connection is half-open,
// and must be replaced.
func (w *StoreWatcher) resync(ctx context.Context) error {
	listed, err := w.list(ctx)
	if err != nil {
		return err
	}
	w.failures = 0
	if listed.newestModRevision > w.deliveredRevision {
		return errResync
	}
	return nil
}

// applyBatch offers the versions in a batch to the register. A deletion or a
// revision below the current one may be an outdated event of a lagging watch, so it
// causes a new list.
func (w *StoreWatcher) applyBatch(batch store.WatchBatch) error {
	w.failures = 0
	w.deliveredRevision = max(w.deliveredRevision, batch.Revision)
	for _, event := range batch.Events {
		if event.Deleted {
			return errResync
		}
		version, ok := w.decode(event.KeyValue)
		if !ok {
			continue
		}
		current, _ := w.options.Register.Current(version.Name)
		if version.Revision < current.Revision || w.status.Regressed {
			w.offer(version)
			return errResync
		}
		w.offer(version)
	}
	return nil
}

// decode returns the document in a key of the store. Invalid documents are logged
// and skipped, so that the current version remains.
func (w *StoreWatcher) decode(value store.KeyValue) (Document, bool) {
	for _, name := range Names {
		if name.Key() != value.Key {
			continue
		}
		version, err := Parse(name, value.Value)
		if err != nil {
			w.options.Logger.Warn("invalid document in the store", slog.Any("error", err))
			return Document{}, false
		}
		return version, true
	}
	return Document{}, false
}

func (w *StoreWatcher) offer(version Document) {
	if _, err := w.options.Register.Offer(version); err != nil {
		w.options.Logger.Warn("document from the store rejected", slog.Any("error", err))
	}
}

func (w *StoreWatcher) setReachable(reachable bool, cause error) {
	changed := !w.hasStatus || w.status.Reachable != reachable
	next := w.status
	next.Reachable = reachable
	next.LastError = ""
	if cause != nil {
		next.LastError = cause.Error()
	}
	if changed {
		next.Since = w.options.Now()
		w.options.Logger.Info("store reachability changed", slog.Bool("reachable", reachable),
			slog.String("error", next.LastError))
	}
	w.publish(next)
}

func (w *StoreWatcher) setRegressed(regressed bool) {
	if w.status.Regressed == regressed {
		return
	}
	next := w.status
	next.Regressed = regressed
	w.options.Logger.Error("store regression changed", slog.Bool("regressed", regressed))
	w.publish(next)
}

func (w *StoreWatcher) publish(next blackboard.StoreStatus) {
	if w.hasStatus && next == w.status {
		return
	}
	w.hasStatus = true
	w.status = next
	published := next
	w.options.Board.Store.Publish(&published)
}
