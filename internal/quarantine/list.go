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

// Limits on broadcasting suspects that are not quarantined. When all replicas of a service
// crash at once, every request in flight becomes a suspect.
const (
	broadcastsPerSecond = 2
	broadcastBurst      = 4
)

// minCrashesToBroadcast is the number of replicas that have to crash under a suspect before
// other nodes are told, or the number of shards of its route if that is smaller. A single crash
// says little, as other requests were in flight at that replica; waiting for more would let each
// node collect its own evidence at the cost of further replicas: three for a plain request, 27
// with nine nodes.
const minCrashesToBroadcast = 2

// Config configures a List. Zero values select the defaults.
type Config struct {
	// Duration is how long a request is quarantined.
	Duration time.Duration
	// MaxEntries bounds the number of known requests. When it is reached, the suspect that
	// expires first is evicted; a new request is dropped if all are quarantined.
	MaxEntries int
	// Broadcast sends a record to the other nodes; nil means that there are none. It must
	// not block.
	Broadcast  func(record Record)
	Registerer prometheus.Registerer
	Logger     *slog.Logger
	Now        func() time.Time
}

// List holds the suspected and quarantined requests. It is safe for concurrent use. A nil List
// is empty and ignores updates.
type List struct {
	config           Config
	metrics          listMetrics
	broadcastLimiter *rate.Limiter
	// size is the number of entries. Requests skip the lookup while it is zero.
	size atomic.Int64

	// wake signals the Persister.
	wake          chan struct{}
	recentAnswers recentAnswers

	mutex   sync.Mutex
	entries map[Identity]*entry
}

// entry is the state of one request.
type entry struct {
	record Record
	// expires is when the quarantine ends, or when a suspect is forgotten.
	expires     time.Time
	quarantined bool
	// detected is set if this node quarantined the request, broadcast once other nodes were
	// told of it, and stored once the store holds it.
	detected, broadcast, stored bool
	// quarantinedAt is when this node learned of the quarantine.
	quarantinedAt time.Time
	// conclusiveAt is when the evidence became conclusive, before the request is quarantined.
	conclusiveAt time.Time
}

// confirmationWindow is how long a request with conclusive evidence is refused before it is
// quarantined: the detecting node first waits for evidence that makes the cause disputed, and
// its decision has to reach the others.
const confirmationWindow = 200 * time.Millisecond

// New returns an empty List.
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
		broadcastLimiter: rate.NewLimiter(broadcastsPerSecond, broadcastBurst), wake: make(chan struct{}, 1),
	}
	l.metrics = newListMetrics(config.Registerer, l)
	return l
}

// Lookup returns the status of an incoming request.
func (l *List) Lookup(message *upstream.Request) Status {
	if l == nil || l.size.Load() == 0 {
		return Status{}
	}
	identity := IdentityOf(message)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.current(identity)
	if known == nil || l.recentAnswers.contains(message, l.config.Now()) {
		return Status{}
	}
	status := Status{Evidence: known.record.Evidence()}
	if known.quarantined {
		status.RefuseFor = known.expires.Sub(l.config.Now())
		return status
	}
	if status.Evidence.Conclusive() {
		status.RefuseFor = max(0, known.conclusiveAt.Add(confirmationWindow).Sub(l.config.Now()))
	}
	if status.Evidence.Conclusive() && status.RefuseFor == 0 {
		status.Evidence = status.Evidence.Decayed() // not quarantined in time: the cause was disputed
	}
	return status
}

// IsQuarantined reports whether a node has quarantined the request.
func (l *List) IsQuarantined(message *upstream.Request) bool {
	if l == nil || l.size.Load() == 0 {
		return false
	}
	identity := IdentityOf(message)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.current(identity)
	return known != nil && known.quarantined
}

// CountRefused counts a refused request in the metrics.
func (l *List) CountRefused() { l.metrics.refused.Inc() }

// current returns the entry of a request, or nil if there is none or it has expired. The
// caller must hold the mutex, as for all unexported methods below.
func (l *List) current(identity Identity) *entry {
	known := l.entries[identity]
	if known == nil || l.config.Now().Before(known.expires) {
		return known
	}
	if !known.quarantined {
		l.remove(identity)
		return nil
	}
	l.demote(known)
	return known
}

// demote turns a request whose quarantine has expired into a suspect: it is next tried on a
// single replica, and one more crash quarantines it again.
func (l *List) demote(known *entry) {
	known.quarantined, known.stored, known.detected = false, false, false
	known.record.RefuseMilliseconds = 0
	known.record.setEvidence(known.record.Evidence().Decayed())
	known.expires = l.config.Now().Add(l.config.Duration)
	l.log("quarantine expired; the request will be tried on one replica first", &known.record)
}

// Route describes the route of a request.
type Route struct {
	Name string
	// Shards is the number of replicas that a request is sent to in parallel.
	Shards int
}

// RecordCrash records that replicas crashed while running a request that no replica has
// answered. evidence is the total so far. canary names the replica that crashed last if the
// request was tried there alone, and is empty otherwise. Requests that were answered recently
// are ignored.
func (l *List) RecordCrash(message *upstream.Request, route Route, canary string, evidence decision.CrashEvidence) {
	if l == nil || l.recentAnswers.contains(message, l.config.Now()) {
		return
	}
	record := Record{
		Identity: IdentityOf(message), Route: truncate(route.Name, maxRouteBytes), Caller: message.Caller.String(), Target: truncate(message.Target, maxTargetBytes),
	}
	record.setEvidence(evidence)
	if canary != "" {
		record.addCanaries([]string{canary})
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed, known := l.merge(record)
	if known == nil || known.quarantined || known.record.CrashedReplicas < min(minCrashesToBroadcast, route.Shards) || (known.broadcast && !changed) {
		return
	}
	if evidence.Conclusive() || l.broadcastLimiter.AllowN(l.config.Now(), 1) {
		known.broadcast = true
		l.config.Broadcast(known.record)
	}
}

// Quarantine quarantines a suspect with conclusive evidence, and tells the other nodes.
func (l *List) Quarantine(message *upstream.Request) {
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
	known.detected = true
	l.metrics.found.Inc()
	l.log("request quarantined: replicas crash when they run it", &known.record)
	l.wakePersister()
	l.config.Broadcast(known.record)
}

// Disputed reports whether all replicas that crashed under canaries of a request also crashed
// under canaries of another one, so that either may be the cause. canaries names the replicas
// that crashed under those of the current try, the latest last: they are in no record if the
// request was answered recently.
func (l *List) Disputed(message *upstream.Request, canaries []string) bool {
	if l == nil {
		return false
	}
	identity := IdentityOf(message)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var tried Record
	tried.addCanaries(canaries)
	if known := l.entries[identity]; known != nil {
		tried = known.record
	}
	if len(tried.Canaries) == 0 {
		return false
	}
	for other, entry := range l.entries {
		if other != identity && containsAll(entry.record.Canaries, tried.Canaries) {
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

// RecordAnswer records that a replica ran a request and answered it, which clears the request.
// If it was quarantined, the other nodes are told of the release.
func (l *List) RecordAnswer(message *upstream.Request) {
	if l == nil {
		return
	}
	l.recentAnswers.add(message, l.config.Now())
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
		l.log("request released: a replica answered it", &known.record)
		l.config.Broadcast(Record{Identity: identity, Released: true})
	}
	l.remove(identity)
}

// Receive applies a record from another node. It reports whether the record was new, so that it
// should be forwarded.
func (l *List) Receive(record Record) (isNew bool) {
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

// merge merges a record into the request's entry. It reports whether that added information,
// and returns the entry, which is nil if the list is full.
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
	if known.record.Evidence().Conclusive() && (changed || known.conclusiveAt.IsZero()) {
		known.conclusiveAt = l.config.Now()
	}
	known.expires = l.config.Now().Add(suspectTTL)
	if record.RefuseMilliseconds > 0 {
		known.quarantined = true
		known.record.RefuseMilliseconds = record.RefuseMilliseconds
		known.quarantinedAt = l.config.Now()
		known.expires = known.quarantinedAt.Add(record.RefuseFor())
	}
	return changed, known
}

// makeRoom ensures that there is room for another entry, evicting the suspect that expires
// first if necessary. It reports false if all entries are quarantined.
func (l *List) makeRoom() bool {
	if len(l.entries) < l.config.MaxEntries {
		return true
	}
	var victim *entry
	for _, known := range l.entries {
		if !known.quarantined && (victim == nil || known.expires.Before(victim.expires)) {
			victim = known
		}
	}
	if victim == nil {
		return false
	}
	l.remove(victim.record.Identity)
	return true
}

func (l *List) remove(identity Identity) {
	if _, known := l.entries[identity]; known {
		delete(l.entries, identity)
		l.size.Add(-1)
	}
}

// Release removes a request from the list and tells the other nodes. It reports whether the
// request was known.
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
