// Package follower keeps the blackboard up to date with the store: the
// operators' routes, the replicas, and the nodes of the system. One watch
// carries all of them. A watch is no proof that nothing has changed: it may
// have gone deaf. So one node at a time asks the store for its revision, tells
// the others, and whoever knows less than that reads anew.
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
	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Decoder turns the store's values into the product's types.
type Decoder interface {
	// Routes reads the operators' configuration.
	Routes(value []byte) (*routing.Table, error)
	// Replica reads one replica's entry.
	Replica(key string, value []byte) (topology.Replica, error)
}

// Store is the part of the store that a Follower reads.
type Store interface {
	store.Reader
	store.StaleReader
	store.Watcher
}

// Announcer spreads announcements among the nodes.
type Announcer interface {
	Send(news announce.Announcement)
	Received() <-chan announce.Announcement
}

// RelayClient let this node watch another one in place of the store.
type RelayClient interface {
	Watch(ctx context.Context, node netip.AddrPort, fromRevision int64, deliver func(store.WatchBatch) error) error
}

// SnapshotReader hand over what they know of the store.
type SnapshotReader interface {
	Read(ctx context.Context) (handover.Snapshot, error)
}

// Keys say where what lies in the store.
type Keys struct {
	// Configuration is the key of the operators' configuration.
	Configuration string
	// Replicas and Nodes begin the keys of their entries, Evacuations those of the
	// zones to whose replicas nothing is to be sent; the rest of such a key is the
	// zone's name.
	Replicas, Nodes, Evacuations string
	// Quarantine begins the keys of the quarantined requests; the rest is the identity.
	Quarantine string
}

// Quarantine takes in which requests the store holds as quarantined.
type Quarantine interface {
	Adopt(identity string, value []byte)
	// Forgotten is called when the store has lost a request.
	Forgotten(identity string)
}

// Options are what a Follower needs.
type Options struct {
	Store     Store
	Announcer Announcer
	// PeerSnapshots are asked while the store serves them and not this node.
	PeerSnapshots SnapshotReader
	// RelayClient may be left out: then this node watches the store itself.
	RelayClient RelayClient
	// Unreachable returns those of some nodes, by their state addresses, that cannot be
	// reached; nil means that it is not known.
	Unreachable func(ctx context.Context, nodes []netip.AddrPort) []netip.AddrPort
	Decoder     Decoder
	// Quarantine may be left out.
	Quarantine Quarantine
	Keys       Keys
	Board      *blackboard.Board
	// Regions names the region of each zone.
	Regions map[string]string
	Self    topology.Node
	// EntryNodes is how many nodes of each zone callers are led to.
	EntryNodes int
	// MaxStaleness is the time within which what the store says must have been acted
	// on. How often it is asked and how long it is waited for follow from it.
	MaxStaleness time.Duration
	// VanishedRetention is how long a replica whose entry is gone may still be asked
	// when no other is left.
	VanishedRetention time.Duration
	// ColdBound is what a cold replica may receive from all nodes.
	ColdBound decision.ColdBound
	// Logger and Now may be left out. Now has to count a suspension of the machine.
	Logger *slog.Logger
	Now    func() time.Time
	// RanWithoutPause tells whether the process has run for some time without a pause; nil means
	// always.
	RanWithoutPause func(lasting time.Duration) bool
}

// The parts of the time for news.
const (
	// confirmationFraction is how long a confirmation counts.
	confirmationFraction = 0.4
	// rankFraction is divided among the nodes, so that they ask one after the
	// other.
	rankFraction = 0.2
	// graceFraction is what a watch may take to tell what others know already; it
	// is over gatherShare. A watch of another node has relayShare longer: that node gives
	// its own watch up at the same time, and what it then reads comes a moment later.
	graceFraction      = 0.3
	relayGraceFraction = 0.05
	// callTimeoutFraction bounds one question, and the first attempt to read everything. It is also
	// what the store's watch may take after another node's has told nothing: the two
	// graces would add up to the whole time for news.
	callTimeoutFraction = 0.15
	// batchFraction is how long after a change the next one is waited for, so
	// that changes that come together cost one call.
	batchFraction = 0.1
	// activationFraction is how long a configuration may wait for replicas of its new
	// groups.
	activationFraction = 0.3
)

func (o *Options) fraction(of float64) time.Duration {
	return time.Duration(of * float64(o.MaxStaleness))
}

// Follower follows the store; Run starts it.
type Follower struct {
	options        Options
	state          *state
	staleness      staleness
	validity       validity
	storeReachable bool
	// needsResync is true while everything has to be read before it is watched: at the
	// start, and when the store's history or a watch has let changes pass.
	needsResync bool
	// relayLagged is true from when a node that was watched did not tell what others know
	// until the store has spoken.
	relayLagged bool
	// storeResponses counts the storeResponses of the store.
	storeResponses int
	// watchRejections counts the readings in a row that were followed by a refused watch.
	watchRejections int
	// backingOff is true while the store is left alone for a pause.
	backingOff bool
	// listTimeout bounds the next reading of everything. A call that the store has
	// left without an answer will have none, so the first ones are given up
	// soon; each failure doubles the time, for a store that is slow.
	listTimeout time.Duration
	// window is the validity's, for the goroutines of requests, which ask for another one
	// over asked. hurried is true from then on until there is one.
	window           atomic.Pointer[validityWindow]
	refreshRequested chan struct{}
	refreshing       bool
	// waits counts the requests that have waited, failedWaits those that did so in vain.
	waits, failedWaits atomic.Int64
	// snapshot is what is handed over to other nodes, feed what those that watch
	// this one are told.
	snapshot atomic.Pointer[snapshot]
	feed     relay.Feed
	// relayFailures counts the watches of other nodes that have failed of late,
	// relayFailedAt is when the last did.
	relayFailures    int
	lastRelayFailure time.Time
	// needsStoreWatch is true from when the node that was watched no longer had the changes
	// that this one lacks until the store has told them.
	needsStoreWatch bool
	// consecutiveSilent counts the nodes that were watched one after the other and did not
	// answer.
	consecutiveSilent int
	// suspected brings what is found out about other nodes.
	suspected chan []relay.Suspicion
}

// The pauses between two attempts to read the store while it fails.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// fastRetryNodes, and those that watch the store for their zones, pause for no longer
	// than longestPause; the others, which hear from them that the store is back, for
	// patientShare of the time for news.
	fastRetryNodes    = 3
	slowRetryFraction = 0.6
)

// maxBackoff is this node's longest pause. Calls that the store refuses are
// priced as well.
func (f *Follower) maxBackoff() time.Duration {
	if f.rank() < fastRetryNodes || f.isZoneWatcher() {
		return maxBackoff
	}
	return max(maxBackoff, f.options.fraction(slowRetryFraction))
}

// nextBackoff is the pause after another one. A node that knows others which call the
// store again soon leaves it alone for the longest at once.
func (f *Follower) nextBackoff(last time.Duration) time.Duration {
	longest := f.maxBackoff()
	if longest > maxBackoff {
		return longest
	}
	return min(max(minBackoff, 2*last), longest)
}

// New makes a Follower.
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
	f.feed.Suspected = f.suspicions
	return f
}

// noQuarantine takes nothing in.
type noQuarantine struct{}

func (noQuarantine) Adopt(string, []byte) {}
func (noQuarantine) Forgotten(string)     {}

// Run follows the store until ctx ends, and returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		heard, err := f.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.recordFailure(err)
		if heard {
			pause = 0
			continue // it has answered since; call it again at once
		}
		pause = f.nextBackoff(pause)
		f.backOff(ctx, pause)
	}
	return nil
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow watches until that fails, from a reading of everything or, where the store
// has only been away, from what is known: its history tells what has changed since.
// heard is true when the store has answered, also that its history has gone: then it
// is read at once.
func (f *Follower) follow(ctx context.Context) (heard bool, err error) {
	hasRead := f.needsResync
	if f.needsResync {
		if err := f.resync(ctx); err != nil {
			return false, err
		}
	}
	answers := f.storeResponses
	err = f.watch(ctx, f.staleness.applied)
	f.needsResync = errors.Is(err, store.ErrCompacted) || errors.Is(err, errWatchLagging)
	told := f.storeResponses > answers
	if !hasRead || !f.needsResync || told {
		f.watchRejections = 0
		return f.needsResync || told || hasRead, err
	}
	f.watchRejections++
	return f.watchRejections <= maxWatchRejections, err
}

// maxWatchRejections is how often a watch may be refused, though everything has just been read, and be
// followed by another reading at once: the first reading may be older than what the store keeps.
// More readings would bring no more. (Without the bound, three nodes made 5,000 in 3 s.)
const maxWatchRejections = 1

// resync takes everything in.
func (f *Follower) resync(ctx context.Context) error {
	if f.staleness.applied == 0 {
		return f.initialSync(ctx)
	}
	began := f.options.Now()
	values, revision, err := f.listWithTimeout(ctx, f.listAll)
	if err != nil {
		return err
	}
	if revision < f.staleness.applied {
		return eris.Wrapf(errRevisionRegressed, "revision %d, where %d is known", revision, f.staleness.applied)
	}
	now := f.applyListing(values, revision)
	f.announceApplied(now, revision)
	f.validity.confirm(began)
	f.publishWindow()
	return nil
}

// errRevisionRegressed ends a reading that has brought an older state than the one known.
var errRevisionRegressed = eris.New("the store has told an older state than before, without a new era")

// applyListing puts a whole reading of a revision in force, and returns when.
func (f *Follower) applyListing(values []store.KeyValue, revision int64) time.Time {
	now := f.options.Now()
	f.recordResponse(now)
	f.replace(now, values, revision)
	f.state.publish(now)
	return now
}

// replace puts a whole reading in the place of what is known. The first of a later era of the
// store is of a copy, which may lack what its writers have not written again yet.
func (f *Follower) replace(now time.Time, values []store.KeyValue, revision int64) {
	known := f.staleness.applied
	if known == 0 || store.EraOf(revision) == store.EraOf(known) {
		f.state.replace(now, values)
		return
	}
	f.options.Logger.Warn("the store has come back from a copy",
		"era", store.EraOf(revision), "revision", store.NumberOf(revision),
		"known_era", store.EraOf(known), "known_revision", store.NumberOf(known))
	f.state.replaceAfterRestore(now, values)
}

// listFunc reads everything from the store.
type listFunc func(ctx context.Context) ([]store.KeyValue, int64, error)

func (f *Follower) listAll(ctx context.Context) ([]store.KeyValue, int64, error) {
	return f.options.Store.List(ctx, "", 0)
}

// listWithTimeout makes a reading within the node's patience.
func (f *Follower) listWithTimeout(ctx context.Context, read listFunc) ([]store.KeyValue, int64, error) {
	bounded, cancel := context.WithTimeout(ctx, f.listTimeout)
	defer cancel()
	var values []store.KeyValue
	var revision int64
	var err error
	began := f.options.Now()
	f.callStore(func() { values, revision, err = read(bounded) })
	if err != nil {
		f.recordUnreachable(began)
		f.listTimeout = min(2*f.listTimeout, f.options.MaxStaleness)
		return nil, 0, err
	}
	f.listTimeout = f.options.fraction(callTimeoutFraction)
	return values, revision, nil
}

// handleAnnouncement takes in what another node has heard, and passes news on.
func (f *Follower) handleAnnouncement(news announce.Announcement) {
	now := f.options.Now()
	f.observe(now.Add(-news.Age()), news.Revision)
	if f.confirm(now, now.Add(-news.Age()), news.Revision) {
		f.options.Announcer.Send(news)
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

// snapshotNewEra keeps what is known for others as soon as it is of a later era of the store. The
// next confirmation comes up to the time for news later, and this node would go on holding the
// lease of an era that is over.
func (f *Follower) snapshotNewEra() {
	if held := f.snapshot.Load(); held != nil && store.EraOf(held.revision) < store.EraOf(f.staleness.applied) {
		f.updateSnapshot()
	}
}

// confirm notes that the store was at a revision at some time, and tells
// whether others should hear of it.
func (f *Follower) confirm(now, at time.Time, revision int64) (news bool) {
	news = f.staleness.confirm(now, at, revision)
	if f.staleness.applied >= f.staleness.confirmed {
		f.updateSnapshot()
	}
	return news
}

// announceApplied notes that everything up to a revision is known now, and tells the
// others when that is news.
func (f *Follower) announceApplied(now time.Time, revision int64) {
	f.markApplied(revision)
	f.publishFeed()
	if f.confirm(now, now, revision) {
		f.options.Announcer.Send(announce.Announcement{Revision: revision})
	}
}

// recordResponse notes that the store has spoken.
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

// recordFailure notes that the store has failed.
func (f *Follower) recordFailure(err error) {
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, errWatchLagging) {
		f.options.Logger.Info("reading the store anew", "reason", err.Error(), "known_era", store.EraOf(f.staleness.applied), "known_revision", store.NumberOf(f.staleness.applied))
		return
	}
	if !f.storeReachable {
		return
	}
	f.storeReachable = false
	now := f.options.Now()
	f.options.Board.Store.Publish(&blackboard.StoreStatus{Since: now, LastError: err.Error()})
	f.options.Logger.Warn("store lost; going on with what is known",
		"error", err.Error(), "known_era", store.EraOf(f.staleness.applied), "known_revision", store.NumberOf(f.staleness.applied), "confirmed_ago", now.Sub(f.staleness.confirmedAt).String())
}

// hasPrefix tells whether a key belongs to a part of the store that is used.
func hasPrefix(key, prefix string) bool { return prefix != "" && strings.HasPrefix(key, prefix) }
