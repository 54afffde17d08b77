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
	defaultReadInterval     = 15 * time.Second
	defaultFirstBackoff     = 100 * time.Millisecond
	defaultLongestBackoff   = 10 * time.Second
)

// maxBackoffShift keeps the doubling of the backoff from overflowing.
const maxBackoffShift = 16

// The reasons for which following the store ends without a fault.
var (
	errNotElected = errors.New("this daemon no longer watches the store")
	errReadAgain  = errors.New("the store's documents must be read again")
)

// WatchedStore is the part of the store that a StoreWatcher uses.
type WatchedStore interface {
	store.Reader
	store.Watcher
}

// StoreWatcherOptions are the parts and settings of a StoreWatcher.
type StoreWatcherOptions struct {
	Store    WatchedStore
	Register *Register
	Board    *blackboard.Board
	// Elected says whether this daemon is one of the few that watch.
	Elected func() bool
	Logger  *slog.Logger
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// Random gives the jitter; nil means a random seed. Run alone uses it.
	Random *rand.Rand
	// Registerer takes the metrics; nil means none are kept.
	Registerer prometheus.Registerer
	// ElectionInterval is how often Elected is asked besides changes of the
	// membership; 0 means 1 s.
	ElectionInterval time.Duration
	// ResyncInterval is how often the documents are read besides the watch,
	// which can break without a sign; 0 means 15 s.
	ResyncInterval time.Duration
	// InitialBackoff and LongestBackoff bound the wait after an error; 0 means
	// 100 ms and 10 s.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// StoreWatcher follows the store's documents while it is elected, offers each
// version to the register, and publishes the store's status.
type StoreWatcher struct {
	options  StoreWatcherOptions
	requests *prometheus.CounterVec
	status   blackboard.StoreStatus
	known    bool
	failures int
	// delivered is the store's revision up to which the reading that opened
	// the watch, and the watch since, have told everything.
	delivered int64
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
	orDefault(&options.ResyncInterval, defaultReadInterval)
	orDefault(&options.InitialBackoff, defaultFirstBackoff)
	orDefault(&options.MaxBackoff, defaultLongestBackoff)
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

// Run follows the store until ctx ends, and returns ctx's error.
func (w *StoreWatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.options.Elected() {
			w.awaitElection(ctx)
			continue
		}
		err := w.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		w.afterFollow(ctx, err)
	}
	return ctx.Err()
}

// awaitElection waits until it is worth asking Elected again.
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

// afterFollow decides when to begin again.
func (w *StoreWatcher) afterFollow(ctx context.Context, err error) {
	switch {
	case errors.Is(err, errNotElected):
		return
	case errors.Is(err, store.ErrCompacted), errors.Is(err, errReadAgain):
		// Not a fault of the store, but it must not become a busy loop.
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

// reading is what one reading of the documents found.
type reading struct {
	// revision is the store's, newest that of the document changed last.
	revision, newest int64
}

// follow reads the documents, then watches them from the next revision on.
func (w *StoreWatcher) follow(ctx context.Context) error {
	found, err := w.read(ctx)
	if err != nil {
		return err
	}
	w.delivered = found.revision
	group, groupContext := errgroup.WithContext(ctx)
	batches := make(chan store.WatchBatch)
	group.Go(func() error { return w.watch(groupContext, found.revision+1, batches) })
	group.Go(func() error { return w.consume(groupContext, batches) })
	return group.Wait()
}

// read lists the documents once.
func (w *StoreWatcher) read(ctx context.Context) (reading, error) {
	// The revisions in force are taken before the reading: a reading that
	// began later and is lower proves that the store went back.
	inForce := w.options.Register.Revisions()
	w.requests.WithLabelValues("list").Inc()
	values, revision, err := w.options.Store.List(ctx, KeyPrefix, 0)
	if err != nil {
		return reading{}, eris.Wrap(err, "read the documents")
	}
	w.setReachable(true, nil)
	held := make(map[Name]uint64, len(values))
	found := reading{revision: revision}
	for _, value := range values {
		found.newest = max(found.newest, value.ModRevision)
		if version, ok := w.decode(value); ok {
			held[version.Name] = version.Revision
			w.offer(version)
		}
	}
	w.checkRegressed(inForce, held)
	return found, nil
}

func (w *StoreWatcher) checkRegressed(inForce []Revision, held map[Name]uint64) {
	regressed := false
	for _, one := range inForce {
		regressed = regressed || held[one.Name] < one.Revision
	}
	w.setRegressed(regressed)
}

// watch hands the batches over to consume, which alone keeps the state.
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
	return eris.Wrap(err, "watch the documents")
}

// consume takes batches, reads again now and then, and ends when the daemon
// is no longer elected.
func (w *StoreWatcher) consume(ctx context.Context, batches <-chan store.WatchBatch) error {
	readAgain := time.NewTicker(w.options.ResyncInterval)
	defer readAgain.Stop()
	election := time.NewTicker(w.options.ElectionInterval)
	defer election.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-batches:
			if err := w.take(batch); err != nil {
				return err
			}
		case <-readAgain.C:
			if err := w.readBesideWatch(ctx); err != nil {
				return err
			}
		case <-election.C:
			if !w.options.Elected() {
				return errNotElected
			}
		}
	}
}

// readBesideWatch reads again. A document that is newer than what the watch
// has told shows that the watch is dead without a sign, as after a half-open
// connection: it must be opened anew.
func (w *StoreWatcher) readBesideWatch(ctx context.Context) error {
	found, err := w.read(ctx)
	if err != nil {
		return err
	}
	w.failures = 0
	if found.newest > w.delivered {
		return errReadAgain
	}
	return nil
}

// take offers the versions of one batch. A lower version than the one in
// force, or a deletion, may be old news of a lagging watch: only a new
// reading can tell.
func (w *StoreWatcher) take(batch store.WatchBatch) error {
	w.failures = 0
	w.delivered = max(w.delivered, batch.Revision)
	for _, event := range batch.Events {
		if event.Deleted {
			return errReadAgain
		}
		version, ok := w.decode(event.KeyValue)
		if !ok {
			continue
		}
		current, _ := w.options.Register.Current(version.Name)
		if version.Revision < current.Revision || w.status.Regressed {
			w.offer(version)
			return errReadAgain
		}
		w.offer(version)
	}
	return nil
}

// decode reads a document out of a key; what cannot be read is logged and
// left out, so that the version in force stays.
func (w *StoreWatcher) decode(value store.KeyValue) (Document, bool) {
	for _, name := range Names {
		if name.Key() != value.Key {
			continue
		}
		version, err := Parse(name, value.Value)
		if err != nil {
			w.options.Logger.Warn("a document in the store cannot be read", slog.Any("error", err))
			return Document{}, false
		}
		return version, true
	}
	return Document{}, false
}

func (w *StoreWatcher) offer(version Document) {
	if _, err := w.options.Register.Offer(version); err != nil {
		w.options.Logger.Warn("a document in the store was rejected", slog.Any("error", err))
	}
}

func (w *StoreWatcher) setReachable(reachable bool, cause error) {
	changed := !w.known || w.status.Reachable != reachable
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
	if w.known && next == w.status {
		return
	}
	w.known = true
	w.status = next
	published := next
	w.options.Board.Store.Publish(&published)
}
