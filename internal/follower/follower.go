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
	ColdBound decision.ColdRateLimit
	// Logger and Now may be left out. Now has to count a suspension of the machine.
	Logger *slog.Logger
	Now    func() time.Time
	// RanWithoutPause tells whether the process has run for some time without a pause; nil means
	// always.
	RanWithoutPause func(lasting time.Duration) bool
}

// The parts of the time for news.
const (
	// checkShare is how long a confirmation counts.
	checkShare = 0.4
	// rankShare is divided among the nodes, so that they ask one after the
	// other.
	rankShare = 0.2
	// graceShare is what a watch may take to tell what others know already; it
	// is over gatherShare. A watch of another node has relayShare longer: that node gives
	// its own watch up at the same time, and what it then reads comes a moment later.
	graceShare = 0.3
	relayShare = 0.05
	// askShare bounds one question, and the first attempt to read everything. It is also
	// what the store's watch may take after another node's has told nothing: the two
	// graces would add up to the whole time for news.
	askShare = 0.15
	// gatherShare is how long after a change the next one is waited for, so
	// that changes that come together cost one call.
	gatherShare = 0.1
	// adoptShare is how long a configuration may wait for replicas of its new
	// groups.
	adoptShare = 0.3
)

func (o *Options) share(of float64) time.Duration { return time.Duration(of * float64(o.MaxStaleness)) }

// Follower follows the store; Run starts it.
type Follower struct {
	options   Options
	state     *state
	staleness staleness
	validity  validity
	reached   bool
	// mustRead is true while everything has to be read before it is watched: at the
	// start, and when the store's history or a watch has let changes pass.
	mustRead bool
	// relayBehind is true from when a node that was watched did not tell what others know
	// until the store has spoken.
	relayBehind bool
	// answers counts the answers of the store.
	answers int
	// refusals counts the readings in a row that were followed by a refused watch.
	refusals int
	// refused is true while the store is left alone for a pause.
	refused bool
	// patience bounds the next reading of everything. A call that the store has
	// left without an answer will have none, so the first ones are given up
	// soon; each failure doubles the time, for a store that is slow.
	patience time.Duration
	// permit is the validity's, for the goroutines of requests, which ask for another one
	// over asked. hurried is true from then on until there is one.
	permit  atomic.Pointer[permit]
	asked   chan struct{}
	hurried bool
	// waits counts the requests that have waited, vainWaits those that did so in vain.
	waits, vainWaits atomic.Int64
	// snapshot is what is handed over to other nodes, feed what those that watch
	// this one are told.
	snapshot atomic.Pointer[snapshot]
	feed     relay.Feed
	// relaysFailed counts the watches of other nodes that have failed of late,
	// relayFailedAt is when the last did.
	relaysFailed  int
	relayFailedAt time.Time
	// needsStore is true from when the node that was watched no longer had the changes
	// that this one lacks until the store has told them.
	needsStore bool
	// silentInTurn counts the nodes that were watched one after the other and did not
	// answer.
	silentInTurn int
	// suspected brings what is found out about other nodes.
	suspected chan []relay.Suspicion
}

// The pauses between two attempts to read the store while it fails.
const (
	shortestPause = 100 * time.Millisecond
	longestPause  = time.Second
	// eagerNodes, and those that watch the store for their zones, pause for no longer
	// than longestPause; the others, which hear from them that the store is back, for
	// patientShare of the time for news.
	eagerNodes   = 3
	patientShare = 0.6
)

// longestPause is this node's longest pause. Calls that the store refuses are
// priced as well.
func (f *Follower) longestPause() time.Duration {
	if f.rank() < eagerNodes || f.isWatcher() {
		return longestPause
	}
	return max(longestPause, f.options.share(patientShare))
}

// nextPause is the pause after another one. A node that knows others which call the
// store again soon leaves it alone for the longest at once.
func (f *Follower) nextPause(last time.Duration) time.Duration {
	longest := f.longestPause()
	if longest > longestPause {
		return longest
	}
	return min(max(shortestPause, 2*last), longest)
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
		options: options, state: newState(&options), reached: true, mustRead: true, patience: options.share(askShare),
		staleness: staleness{checkAfter: options.share(checkShare), grace: options.share(graceShare)},
		validity:  validity{bound: options.share(validShare)},
		suspected: make(chan []relay.Suspicion, 1), asked: make(chan struct{}, 1),
	}
	f.permit.Store(&permit{replaced: make(chan struct{})})
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
		f.lost(err)
		if heard {
			pause = 0
			continue // it has answered since; call it again at once
		}
		pause = f.nextPause(pause)
		f.withoutStore(ctx, pause)
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
	hasRead := f.mustRead
	if f.mustRead {
		if err := f.read(ctx); err != nil {
			return false, err
		}
	}
	answers := f.answers
	err = f.watch(ctx, f.staleness.known)
	f.mustRead = errors.Is(err, store.ErrCompacted) || errors.Is(err, errBehind)
	told := f.answers > answers
	if !hasRead || !f.mustRead || told {
		f.refusals = 0
		return f.mustRead || told || hasRead, err
	}
	f.refusals++
	return f.refusals <= mostRefusals, err
}

// mostRefusals is how often a watch may be refused, though everything has just been read, and be
// followed by another reading at once: the first reading may be older than what the store keeps.
// More readings would bring no more. (Without the bound, three nodes made 5,000 in 3 s.)
const mostRefusals = 1

// read takes everything in.
func (f *Follower) read(ctx context.Context) error {
	if f.staleness.known == 0 {
		return f.readFirst(ctx)
	}
	began := f.options.Now()
	values, revision, err := f.list(ctx, f.readAll)
	if err != nil {
		return err
	}
	if revision < f.staleness.known {
		return eris.Wrapf(errOlder, "revision %d, where %d is known", revision, f.staleness.known)
	}
	now := f.takeIn(values, revision)
	f.learned(now, revision)
	f.validity.confirm(began)
	f.allow()
	return nil
}

// errOlder ends a reading that has brought an older state than the one known.
var errOlder = eris.New("the store has told an older state than before, without a new era")

// takeIn puts a whole reading of a revision in force, and returns when.
func (f *Follower) takeIn(values []store.KeyValue, revision int64) time.Time {
	now := f.options.Now()
	f.heard(now)
	f.replace(now, values, revision)
	f.state.publish(now)
	return now
}

// replace puts a whole reading in the place of what is known. The first of a later era of the
// store is of a copy, which may lack what its writers have not written again yet.
func (f *Follower) replace(now time.Time, values []store.KeyValue, revision int64) {
	known := f.staleness.known
	if known == 0 || store.EraOf(revision) == store.EraOf(known) {
		f.state.replace(now, values)
		return
	}
	f.options.Logger.Warn("the store has come back from a copy",
		"era", store.EraOf(revision), "revision", store.NumberOf(revision),
		"known_era", store.EraOf(known), "known_revision", store.NumberOf(known))
	f.state.replaceByCopy(now, values)
}

// reading reads everything from the store.
type reading func(ctx context.Context) ([]store.KeyValue, int64, error)

func (f *Follower) readAll(ctx context.Context) ([]store.KeyValue, int64, error) {
	return f.options.Store.List(ctx, "", 0)
}

// list makes a reading within the node's patience.
func (f *Follower) list(ctx context.Context, read reading) ([]store.KeyValue, int64, error) {
	bounded, cancel := context.WithTimeout(ctx, f.patience)
	defer cancel()
	var values []store.KeyValue
	var revision int64
	var err error
	began := f.options.Now()
	f.ask(func() { values, revision, err = read(bounded) })
	if err != nil {
		f.noteUnreachable(began)
		f.patience = min(2*f.patience, f.options.MaxStaleness)
		return nil, 0, err
	}
	f.patience = f.options.share(askShare)
	return values, revision, nil
}

// told takes in what another node has heard, and passes news on.
func (f *Follower) told(news announce.Announcement) {
	now := f.options.Now()
	f.claimed(now.Add(-news.Age()), news.Revision)
	if f.confirm(now, now.Add(-news.Age()), news.Revision) {
		f.options.Announcer.Send(news)
	}
}

func (f *Follower) deliver(batch store.WatchBatch) {
	now := f.options.Now()
	for _, event := range batch.Events {
		f.state.apply(now, event)
	}
	f.state.publish(now)
	if batch.Relayed {
		f.know(batch.Revision)
		f.feedOthers()
		f.enterEra()
		return
	}
	f.needsStore = false
	f.heard(now)
	f.claimed(now, batch.Revision)
	f.learned(now, batch.Revision)
}

// enterEra keeps what is known for others as soon as it is of a later era of the store. The
// next confirmation comes up to the time for news later, and this node would go on holding the
// lease of an era that is over.
func (f *Follower) enterEra() {
	if held := f.snapshot.Load(); held != nil && store.EraOf(held.revision) < store.EraOf(f.staleness.known) {
		f.keepSnapshot()
	}
}

// confirm notes that the store was at a revision at some time, and tells
// whether others should hear of it.
func (f *Follower) confirm(now, at time.Time, revision int64) (news bool) {
	news = f.staleness.confirm(now, at, revision)
	if f.staleness.known >= f.staleness.confirmed {
		f.keepSnapshot()
	}
	return news
}

// learned notes that everything up to a revision is known now, and tells the
// others when that is news.
func (f *Follower) learned(now time.Time, revision int64) {
	f.know(revision)
	f.feedOthers()
	if f.confirm(now, now, revision) {
		f.options.Announcer.Send(announce.Announcement{Revision: revision})
	}
}

// heard notes that the store has spoken.
func (f *Follower) heard(now time.Time) {
	f.answers++
	f.relayBehind = false
	if f.reached && f.options.Board.Store.Load() != nil {
		return
	}
	f.reached = true
	f.options.Board.Store.Publish(&blackboard.StoreStatus{Reachable: true, Since: now})
	f.options.Logger.Info("store reached")
}

// lost notes that the store has failed.
func (f *Follower) lost(err error) {
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, errBehind) {
		f.options.Logger.Info("reading the store anew", "reason", err.Error(), "known_era", store.EraOf(f.staleness.known), "known_revision", store.NumberOf(f.staleness.known))
		return
	}
	if !f.reached {
		return
	}
	f.reached = false
	now := f.options.Now()
	f.options.Board.Store.Publish(&blackboard.StoreStatus{Since: now, LastError: err.Error()})
	f.options.Logger.Warn("store lost; going on with what is known",
		"error", err.Error(), "known_era", store.EraOf(f.staleness.known), "known_revision", store.NumberOf(f.staleness.known), "confirmed_ago", now.Sub(f.staleness.confirmedAt).String())
}

// hasPrefix tells whether a key belongs to a part of the store that is used.
func hasPrefix(key, prefix string) bool { return prefix != "" && strings.HasPrefix(key, prefix) }
