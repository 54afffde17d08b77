package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/upstream"
)

// The rate at which suspects that are not quarantined are told to other nodes. When all
// replicas of a service end at once, each request in flight is one, and does no harm.
const (
	toldPerSecond = 2
	toldAtOnce    = 4
)

// toldFrom is the number of replicas that have to end under a suspect before other nodes are
// told. One that goes to fewer at once is told when as many have ended: each node on its own
// would need three ends of a plain request, nine nodes 27. One end alone says little, as other
// requests were in flight at that replica.
const toldFrom = 2

// Config is what a List is made of. Zero values take defaults.
type Config struct {
	// Duration is for how long a request is refused, Most the number of requests that are
	// known. Beyond it the suspect that is forgotten soonest makes room, and a new one is
	// not kept when all are quarantined.
	Duration   time.Duration
	MaxEntries int
	// Broadcast tells other nodes of a request; nil means that there are none. It must not
	// block.
	Broadcast  func(record Record)
	Registerer prometheus.Registerer
	Logger     *slog.Logger
	Now        func() time.Time
}

// List holds the requests that are suspected or quarantined. It is safe for concurrent use;
// a nil List knows none.
type List struct {
	config  Config
	metrics listMetrics
	told    *rate.Limiter
	// size is the number of entries: requests ask the list only while there are any.
	size atomic.Int64

	// found wakes the Keeper.
	found    chan struct{}
	answered answered

	mutex   sync.Mutex
	entries map[Identity]*entry
}

// entry is one request.
type entry struct {
	record Record
	// until is when the quarantine ends, or a suspect is forgotten.
	until       time.Time
	quarantined bool
	// own is true when this node has found it out, told when it has told others of it, and
	// stored when the store holds it.
	own, told, stored bool
	// since is when this node came to know of the quarantine.
	since time.Time
	// convictedAt is when the evidence first convicted it, before any verdict.
	convictedAt time.Time
}

// verdictDue is for how long a request is refused that is convicted without a verdict yet: a
// node waits for others to contest it, and its verdict takes its way.
const verdictDue = 200 * time.Millisecond

// New makes a List.
func New(config Config) *List {
	if config.Duration <= 0 {
		config.Duration = DefaultDuration
	}
	if config.MaxEntries <= 0 {
		config.MaxEntries = DefaultMaxEntries
	}
	if config.Broadcast == nil {
		config.Broadcast = func(Record) {}
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	l := &List{
		config: config, entries: make(map[Identity]*entry),
		told: rate.NewLimiter(toldPerSecond, toldAtOnce), found: make(chan struct{}, 1),
	}
	l.metrics = newListMetrics(config.Registerer, l)
	return l
}

// Lookup returns what is known of a request that comes.
func (l *List) Lookup(message *upstream.Message) Status {
	if l == nil || l.size.Load() == 0 {
		return Status{}
	}
	identity := IdentityOf(message)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.current(identity)
	if known == nil || l.answered.recently(message, l.config.Now()) {
		return Status{}
	}
	found := Status{Evidence: known.record.Evidence()}
	if known.quarantined {
		found.RefuseFor = known.until.Sub(l.config.Now())
		return found
	}
	if found.Evidence.Conclusive() {
		found.RefuseFor = max(0, known.convictedAt.Add(verdictDue).Sub(l.config.Now()))
	}
	if found.Evidence.Conclusive() && found.RefuseFor == 0 {
		found.Evidence = found.Evidence.Decayed() // it was contested
	}
	return found
}

// IsQuarantined tells whether a request is refused by the verdict of a node.
func (l *List) IsQuarantined(message *upstream.Message) bool {
	if l == nil || l.size.Load() == 0 {
		return false
	}
	identity := IdentityOf(message)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.current(identity)
	return known != nil && known.quarantined
}

// CountRefused counts a request that was refused.
func (l *List) CountRefused() { l.metrics.refused.Inc() }

// current returns the entry of a request, nil if there is none or its time is over. It must
// be called with the mutex held, as must all functions below that are not exported.
func (l *List) current(identity Identity) *entry {
	known := l.entries[identity]
	if known == nil || l.config.Now().Before(known.until) {
		return known
	}
	if !known.quarantined {
		l.remove(identity)
		return nil
	}
	l.lapse(known)
	return known
}

// lapse makes a request whose quarantine is over a suspect again: the next time it comes, it
// is tried on one replica, and if that ends it is quarantined anew.
func (l *List) lapse(known *entry) {
	known.quarantined, known.stored, known.own = false, false, false
	known.record.RefuseMilliseconds = 0
	known.record.setEvidence(known.record.Evidence().Decayed())
	known.until = l.config.Now().Add(l.config.Duration)
	l.log("quarantine is over; the request will be tried on one replica", &known.record)
}

// Route is what a request was sent by.
type Route struct {
	Name string
	// Shards is the number of replicas that it goes to at once.
	Shards int
}

// RecordCrash takes in that replicas ended while they ran a request that none has survived, unless
// one has answered it of late: the evidence is all there is by now. canary names the replica that ended last, if it was tried
// there alone.
func (l *List) RecordCrash(message *upstream.Message, route Route, canary string, evidence decision.CrashEvidence) {
	if l == nil || l.answered.recently(message, l.config.Now()) {
		return
	}
	record := Record{
		Identity: IdentityOf(message), Route: shortened(route.Name, mostRouteBytes), Caller: message.Caller.String(), Target: shortened(message.Target, mostTargetBytes),
	}
	record.setEvidence(evidence)
	if canary != "" {
		record.Canaries = []string{shortened(canary, mostProcessBytes)}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed, known := l.merge(record)
	if known == nil || known.quarantined || known.record.CrashedReplicas < min(toldFrom, route.Shards) || (known.told && !changed) {
		return
	}
	if evidence.Conclusive() || l.told.AllowN(l.config.Now(), 1) {
		known.told = true
		l.config.Broadcast(known.record)
	}
}

// Quarantine quarantines a suspect: enough speaks against it, and no other node has contested
// that.
func (l *List) Quarantine(message *upstream.Message) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.current(IdentityOf(message))
	if known == nil || known.quarantined {
		return
	}
	record := known.record
	record.RefuseMilliseconds = l.config.Duration.Milliseconds()
	l.merge(record)
	known.own = true
	l.metrics.found.Inc()
	l.log("request quarantined: replicas end by running it", &known.record)
	l.wakeKeeper()
	l.config.Broadcast(known.record)
}

// Ambiguous tells whether all replicas that ended by canaries of a request have ended by those
// of another one as well, so that nothing tells which of them it was.
func (l *List) Ambiguous(message *upstream.Message) bool {
	if l == nil {
		return false
	}
	identity := IdentityOf(message)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[identity]
	if known == nil || len(known.record.Canaries) == 0 {
		return false
	}
	for other, entry := range l.entries {
		if other != identity && containsAll(entry.record.Canaries, known.record.Canaries) {
			return true
		}
	}
	return false
}

func containsAll(list, wanted []string) bool {
	for _, one := range wanted {
		if !slices.Contains(list, one) {
			return false
		}
	}
	return true
}

// RecordAnswer takes in that a replica has run a request and answered: it does no harm. Another
// node that has quarantined it is told.
func (l *List) RecordAnswer(message *upstream.Message) {
	if l == nil {
		return
	}
	l.answered.note(message, l.config.Now())
	if l.size.Load() == 0 {
		return
	}
	identity := IdentityOf(message)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[identity]
	if known == nil {
		return
	}
	if known.quarantined {
		l.log("request released: a replica has answered it", &known.record)
		l.config.Broadcast(Record{Identity: identity, Released: true})
	}
	l.remove(identity)
}

// Receive takes in what another node tells. It returns whether that was news, which should be
// passed on.
func (l *List) Receive(record Record) (news bool) {
	if l == nil {
		return false
	}
	record.RefuseMilliseconds = min(record.RefuseMilliseconds, l.config.Duration.Milliseconds())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if record.Released {
		return l.release(record.Identity)
	}
	changed, known := l.merge(record)
	if changed && known.quarantined {
		l.log("request quarantined by another node", &known.record)
	}
	return changed
}

// merge takes in a record, and returns whether it says more than was known; the entry is nil
// when there is no room.
func (l *List) merge(record Record) (changed bool, known *entry) {
	known = l.current(record.Identity)
	if known == nil {
		if !l.makeRoom() {
			l.metrics.dropped.Inc()
			return false, nil
		}
		known = &entry{record: record}
		known.record.Canaries = slices.Clone(record.Canaries)
		l.entries[record.Identity] = known
		l.size.Add(1)
		changed = true
	}
	if known.quarantined {
		return false, known
	}
	changed = changed || record.Rounds > known.record.Rounds || record.RefuseMilliseconds > 0
	known.record.setEvidence(known.record.Evidence().Merge(record.Evidence()))
	known.record.addCanaries(record.Canaries)
	if known.record.Evidence().Conclusive() && (changed || known.convictedAt.IsZero()) {
		known.convictedAt = l.config.Now()
	}
	known.until = l.config.Now().Add(suspectFor)
	if record.RefuseMilliseconds > 0 {
		known.quarantined = true
		known.record.RefuseMilliseconds = record.RefuseMilliseconds
		known.since = l.config.Now()
		known.until = known.since.Add(record.RefuseFor())
	}
	return changed, known
}

// makeRoom tells whether there is room for another entry, and makes some if there is not.
func (l *List) makeRoom() bool {
	if len(l.entries) < l.config.MaxEntries {
		return true
	}
	var soonest *entry
	for _, known := range l.entries {
		if !known.quarantined && (soonest == nil || known.until.Before(soonest.until)) {
			soonest = known
		}
	}
	if soonest == nil {
		return false
	}
	l.remove(soonest.record.Identity)
	return true
}

func (l *List) remove(identity Identity) {
	if _, known := l.entries[identity]; known {
		delete(l.entries, identity)
		l.size.Add(-1)
	}
}

// Release ends what is known of a request, and tells the other nodes. It returns whether
// there was anything.
func (l *List) Release(identity Identity) bool {
	if l == nil {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.release(identity) {
		return false
	}
	l.config.Broadcast(Record{Identity: identity, Released: true})
	return true
}

func (l *List) release(identity Identity) bool {
	known := l.entries[identity]
	if known == nil {
		return false
	}
	l.log("request released", &known.record)
	l.remove(identity)
	return true
}

func (l *List) log(message string, record *Record) {
	l.config.Logger.Warn(message, "identity", record.Identity.String(), "route", record.Route, "caller", record.Caller,
		"target", record.Target, "replicas_ended", record.CrashedReplicas, "blame", record.Blame, "refused_for_ms", record.RefuseMilliseconds)
}
