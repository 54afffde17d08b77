// Package follower keeps the blackboard in sync with the store: the operators' configuration, the
// replicas, and the nodes. A single watch covers all of them. Since a watch may stall without an
// error, the nodes take turns in querying the store's revision and announce it to their peers; a
// node that lags behind lists everything again.
package follower

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Decoder decodes the store's values.
type Decoder interface {
	// Routes decodes the operators' configuration.
	Routes(value []byte) (*routing.Table, error)
	// Replica decodes a replica's entry.
	Replica(key string, value []byte) (topology.Replica, error)
}

// Store is the part of the store that a Follower reads.
type Store interface {
	store.Reader
	store.StaleReader
	store.Watcher
}

// Announcer exchanges announcements of the store's revision with peers.
type Announcer interface {
	Send(announcement announce.Announcement)
	Received() <-chan announce.Announcement
}

// RelayClient watches the store's changes through another node.
type RelayClient interface {
	Watch(ctx context.Context, node netip.AddrPort, fromRevision int64, deliver func(store.WatchBatch) error) error
}

// SnapshotReader reads a peer's snapshot of the store.
type SnapshotReader interface {
	Read(ctx context.Context) (handover.Snapshot, error)
}

// Keys are the keys and key prefixes of the store's entries.
type Keys struct {
	// Configuration is the key of the operators' configuration.
	Configuration string
	// Replicas, Nodes and Evacuations are the prefixes of the entries of replicas, nodes and
	// evacuated zones. An evacuation's key ends with the name of the zone.
	Replicas, Nodes, Evacuations string
	// Quarantine is the prefix of quarantined requests. The key ends with the request's identity.
	Quarantine string
}

// Quarantine receives the quarantined requests in the store.
type Quarantine interface {
	HandleStored(identity string, value []byte)
	// HandleDeleted is called when a request's entry is gone from the store.
	HandleDeleted(identity string)
}

// Options configures a Follower.
type Options struct {
	Store     Store
	Announcer Announcer
	// PeerSnapshots is used while the store is unavailable to this node but not to its peers. It is
	// optional.
	PeerSnapshots SnapshotReader
	// RelayClient is optional. Without it the node always watches the store itself.
	RelayClient RelayClient
	// Unreachable returns the nodes, by state address, that cannot be reached. It is optional.
	Unreachable func(ctx context.Context, nodes []netip.AddrPort) []netip.AddrPort
	Decoder     Decoder
	// Quarantine is optional.
	Quarantine Quarantine
	Keys       Keys
	Board      *blackboard.Board
	// Regions maps zones to regions.
	Regions map[string]string
	Self    topology.Node
	// EntryNodes is the number of nodes per zone that callers are routed to.
	EntryNodes int
	// MaxStaleness is the time within which a change in the store must take effect. Check intervals
	// and timeouts are fractions of it.
	MaxStaleness time.Duration
	// VanishedRetention is how long a replica whose entry is gone may still receive requests if its
	// group has no other replica.
	VanishedRetention time.Duration
	// ColdRateLimit limits the rate of requests that all nodes together send to a cold replica.
	ColdRateLimit decision.ColdRateLimit
	// Logger and Now are optional. Now must advance while the machine is suspended.
	Logger *slog.Logger
	Now    func() time.Time
	// RanWithoutPause reports whether the process has run without a pause for the given time. It
	// defaults to always true.
	RanWithoutPause func(lasting time.Duration) bool
	// WithTimeout bounds calls to the store and waits for them. It defaults to context.WithTimeout.
	WithTimeout elapsed.TimeoutFunc
}

// Fractions of Options.MaxStaleness. Together they must fit into validityFraction.
const (
	// confirmationFraction is how long a confirmation of the store's revision lasts before the next
	// check is due.
	confirmationFraction = 0.4
	// rankFraction is divided among the nodes so that they check one after another.
	rankFraction = 0.2
	// graceFraction is how long a watch may lag behind an announced revision; it must exceed
	// batchFraction. A watch of a relay gets relayGraceFraction more, since the relay gives up its
	// own watch at the same time and needs time to list everything.
	graceFraction      = 0.3
	relayGraceFraction = 0.05
	// callTimeoutFraction is the timeout of a call and of the first attempt at a full listing. It
	// is also the grace period of a store watch that follows a lagging relay: two full grace
	// periods would exceed MaxStaleness.
	callTimeoutFraction = 0.15
	// batchFraction is how long to wait for further changes after a change, so that changes in
	// quick succession cost one call.
	batchFraction = 0.1
	// activationFraction is how long a configuration may wait for replicas of its new groups.
	activationFraction = 0.3
)

func (o *Options) fraction(factor float64) time.Duration {
	return time.Duration(factor * float64(o.MaxStaleness))
}

// Follower keeps the blackboard in sync with the store.
type Follower struct {
	options        Options
	state          *state
	staleness      staleness
	validity       validity
	storeReachable bool
	// needsResync is true when everything must be listed before the next watch: at startup, and
	// when the history was compacted or the watch lagged.
	needsResync bool
	// relayLagged is true from when a relay did not deliver an announced revision until the store
	// responds.
	relayLagged bool
	// storeResponses counts responses from the store.
	storeResponses int
	// watchRejections counts consecutive listings whose watch was rejected.
	watchRejections int
	// backingOff is true while the store is not called.
	backingOff bool
	// listTimeout is the timeout of the next full listing. It starts low, as a call that hangs is
	// best abandoned early, and doubles with each failure, as the store may be slow.
	listTimeout time.Duration
	// window is the validity window for request goroutines, which ask for a new one over
	// refreshRequested. refreshing is true from such a request until the state is fresh again.
	window           atomic.Pointer[validityWindow]
	refreshRequested chan struct{}
	refreshing       bool
	// waits counts requests that waited for fresh state, failedWaits those that gave up.
	waits, failedWaits atomic.Int64
	// snapshot is served to peers that read the whole state, feed to peers that watch this node.
	snapshot atomic.Pointer[snapshot]
	feed     relay.Feed
	// relayFailures counts recent failed watches of relays; lastRelayFailure is the time of the
	// last one.
	relayFailures    int
	lastRelayFailure time.Time
	// needsStoreWatch is true from when a relay no longer had the required history until the store
	// has delivered it.
	needsStoreWatch bool
	// consecutiveUnresponsive counts relays in a row that did not respond.
	consecutiveUnresponsive int
	// suspected delivers suspicions about other nodes.
	suspected chan []relay.Suspicion
}

// The backoff between attempts to read the store while it fails.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// The first fastRetryNodes nodes and the zone watchers back off for at most maxBackoff. The
	// others learn from them that the store is available again, and back off for slowRetryFraction
	// of MaxStaleness.
	fastRetryNodes    = 3
	slowRetryFraction = 0.6
)

// maxBackoff returns this node's maximum backoff. It limits the calls to a failing store, which are
// billed as well.
func (f *Follower) maxBackoff() time.Duration {
	if f.rank() < fastRetryNodes || f.isZoneWatcher() {
		return maxBackoff
	}
	return max(maxBackoff, f.options.fraction(slowRetryFraction))
}

// nextBackoff returns the backoff after the last one. Nodes that can rely on faster ones use their
// maximum at once.
func (f *Follower) nextBackoff(last time.Duration) time.Duration {
	limit := f.maxBackoff()
	if limit > maxBackoff {
		return limit
	}
	return min(max(minBackoff, 2*last), limit)
}

// New returns a Follower; call Run to start it.
func New(options Options) *Follower {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.RanWithoutPause == nil {
		options.RanWithoutPause = func(time.Duration) bool { return true }
	}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
	}
	if options.Quarantine == nil {
		options.Quarantine = noQuarantine{}
	}
	f := &Follower{
		options: options, state: newState(&options), storeReachable: true, needsResync: true, listTimeout: options.fraction(callTimeoutFraction),
		staleness: staleness{checkInterval: options.fraction(confirmationFraction), grace: options.fraction(graceFraction)},
		validity:  validity{bound: options.fraction(validityFraction)},
		suspected: make(chan []relay.Suspicion, 1), refreshRequested: make(chan struct{}, 1),
	}
	f.window.Store(&validityWindow{replaced: make(chan struct{})})
	f.feed.Suspicions = f.suspicions
	return f
}

type noQuarantine struct{}

func (noQuarantine) HandleStored(string, []byte) {}
func (noQuarantine) HandleDeleted(string)        {}

// Run follows the store until ctx is done, and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		progressed, err := f.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.recordFailure(err)
		if progressed {
			backoff = 0
			continue // the store has responded since, so retry at once
		}
		backoff = f.nextBackoff(backoff)
		f.backOff(ctx, backoff)
	}
	return nil
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow watches the store until the watch fails. It lists everything first if needed; after a mere
// outage the store's history brings the changes since. progressed is true when the store has
// responded, also if only to reject a compacted revision, so that it can be called again at once.
func (f *Follower) follow(ctx context.Context) (progressed bool, err error) {
	resynced := f.needsResync
	if f.needsResync {
		if err := f.resync(ctx); err != nil {
			return false, err
		}
	}
	responses := f.storeResponses
	err = f.watch(ctx, f.staleness.applied)
	f.needsResync = errors.Is(err, store.ErrCompacted) || errors.Is(err, errWatchLagging)
	responded := f.storeResponses > responses
	if !resynced || !f.needsResync || responded {
		f.watchRejections = 0
		return f.needsResync || responded || resynced, err
	}
	f.watchRejections++
	return f.watchRejections <= maxWatchRejections, err
}

// maxWatchRejections is how many consecutive watches may be rejected right after a listing and
// still be followed by another listing at once. A stale listing may be older than the compacted
// revision, but further listings would not help and would overload the store.
const maxWatchRejections = 1

// resync lists everything and applies it.
func (f *Follower) resync(ctx context.Context) error {
	if f.staleness.applied == 0 {
		return f.initialSync(ctx)
	}
	startedAt := f.options.Now()
	values, revision, err := f.listWithTimeout(ctx, f.listAll)
	if err != nil {
		return err
	}
	if revision < f.staleness.applied {
		return eris.Wrapf(errRevisionRegressed, "listed revision %d, applied revision %d", revision, f.staleness.applied)
	}
	now := f.applyListing(values, revision)
	f.announceApplied(now, revision)
	f.validity.confirm(startedAt)
	f.publishWindow()
	return nil
}

// errRevisionRegressed rejects a listing at a lower revision than the one already applied.
var errRevisionRegressed = eris.New("store revision went back without a new era")

// applyListing applies a full listing, publishes the state, and returns the time.
func (f *Follower) applyListing(values []store.KeyValue, revision int64) time.Time {
	now := f.options.Now()
	f.recordResponse(now)
	f.replace(now, values, revision)
	f.state.publish(now)
	return now
}

// replace replaces the state by a full listing. The first listing of a later era comes from a
// restored store, which may lack entries that have not been written again yet.
func (f *Follower) replace(now time.Time, values []store.KeyValue, revision int64) {
	applied := f.staleness.applied
	if applied == 0 || store.EraOf(revision) == store.EraOf(applied) {
		f.state.replace(now, values)
		return
	}
	f.options.Logger.Warn("store restored from a backup",
		"era", store.EraOf(revision), "revision", store.SequenceOf(revision),
		"known_era", store.EraOf(applied), "known_revision", store.SequenceOf(applied))
	f.state.replaceAfterRestore(now, values)
}

// listFunc lists all entries of the store.
type listFunc func(ctx context.Context) ([]store.KeyValue, int64, error)

func (f *Follower) listAll(ctx context.Context) ([]store.KeyValue, int64, error) {
	return f.options.Store.List(ctx, "", 0)
}

// listWithTimeout calls list with the current list timeout.
func (f *Follower) listWithTimeout(ctx context.Context, list listFunc) ([]store.KeyValue, int64, error) {
	bounded, cancel := f.options.WithTimeout(ctx, f.listTimeout)
	defer cancel()
	var values []store.KeyValue
	var revision int64
	var err error
	startedAt := f.options.Now()
	f.callStore(func() { values, revision, err = list(bounded) })
	if err != nil {
		f.recordUnreachable(startedAt)
		f.listTimeout = min(2*f.listTimeout, f.options.MaxStaleness)
		return nil, 0, err
	}
	f.listTimeout = f.options.fraction(callTimeoutFraction)
	return values, revision, nil
}

// handleAnnouncement handles a peer's announcement, and forwards it if it is news.
func (f *Follower) handleAnnouncement(announcement announce.Announcement) {
	now := f.options.Now()
	at := f.sentAfter(now).Add(-announcement.Age())
	f.observe(at, announcement.Revision)
	if f.confirm(now, at, announcement.Revision) {
		announcement.AgeMilliseconds = now.Sub(at).Milliseconds()
		f.options.Announcer.Send(announcement)
	}
}

func (f *Follower) handleBatch(batch store.WatchBatch) {
	now := f.options.Now()
	for _, event := range batch.Events {
		f.state.apply(now, event)
	}
	f.state.publish(now)
	if batch.Relayed {
		f.markApplied(batch.Revision)
		f.publishFeed()
		f.snapshotNewEra()
		return
	}
	f.needsStoreWatch = false
	f.recordResponse(now)
	f.observe(now, batch.Revision)
	f.announceApplied(now, batch.Revision)
}

// snapshotNewEra updates the snapshot for peers as soon as a later era is entered. Waiting for the
// next confirmation would leave this node with its lease of the old era.
func (f *Follower) snapshotNewEra() {
	if current := f.snapshot.Load(); current != nil && store.EraOf(current.revision) < store.EraOf(f.staleness.applied) {
		f.updateSnapshot()
	}
}

// confirm records that the store was at a revision at a given time. It reports whether peers should
// be told.
func (f *Follower) confirm(now, at time.Time, revision int64) (isNews bool) {
	isNews = f.staleness.confirm(now, at, revision)
	if f.staleness.applied >= f.staleness.confirmed {
		f.updateSnapshot()
	}
	return isNews
}

// announceApplied marks a revision that was just read as applied, and announces it to peers if it
// is news.
func (f *Follower) announceApplied(now time.Time, revision int64) {
	f.markApplied(revision)
	f.publishFeed()
	at := f.sentAfter(now)
	if f.confirm(now, at, revision) {
		f.options.Announcer.Send(announce.Announcement{Revision: revision, AgeMilliseconds: now.Sub(at).Milliseconds()})
	}
}

// sentAfter returns the time after which a message that was just read is known to have been sent:
// now, but for the short time on the way. After a pause of the process it may have waited unread,
// and nothing is known beyond the last confirmation.
func (f *Follower) sentAfter(now time.Time) time.Time {
	switch {
	case f.ranWithoutPause():
		return now
	case f.staleness.confirmedAt.IsZero():
		return now.Add(-f.options.MaxStaleness)
	default:
		return f.staleness.confirmedAt
	}
}

// recordResponse records that the store has responded.
func (f *Follower) recordResponse(now time.Time) {
	f.storeResponses++
	f.relayLagged = false
	if f.storeReachable && f.options.Board.Store.Load() != nil {
		return
	}
	f.storeReachable = true
	f.options.Board.Store.Publish(&blackboard.StoreStatus{Reachable: true, Since: now})
	f.options.Logger.Info("store reached")
}

// recordFailure records that the store has failed.
func (f *Follower) recordFailure(err error) {
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, errWatchLagging) {
		f.options.Logger.Info("listing the store again", "reason", err.Error(), "known_era", store.EraOf(f.staleness.applied), "known_revision", store.SequenceOf(f.staleness.applied))
		return
	}
	if !f.storeReachable {
		return
	}
	f.storeReachable = false
	now := f.options.Now()
	f.options.Board.Store.Publish(&blackboard.StoreStatus{Since: now, LastError: err.Error()})
	f.options.Logger.Warn("store unreachable; serving from the last known state",
		"error", err.Error(), "known_era", store.EraOf(f.staleness.applied), "known_revision", store.SequenceOf(f.staleness.applied), "confirmed_ago", now.Sub(f.staleness.confirmedAt).String())
}

// hasPrefix reports whether a key has a prefix. No key has an empty prefix, which stands for an
// unused kind of entry.
func hasPrefix(key, prefix string) bool { return prefix != "" && strings.HasPrefix(key, prefix) }
