// Package membership maintains the set of running daemons with a variant of SWIM
// over request and response: randomized round-robin probes, indirect probes,
// suspicions that a member refutes by raising its incarnation, rumors piggybacked
// on every message, and periodic anti-entropy by exchange of digests. It also
// disseminates small versioned records.
//
// Core is deterministic: it uses no I/O, clock, goroutine or global randomness.
// Node runs a Core with timers and a Transport.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// CoreOptions configure a Core.
type CoreOptions struct {
	Self   topology.Member
	Timing Timing
	Seed   uint64
}

// exchange is a request without an outcome yet.
type exchange struct {
	kind    MessageKind
	address string
	// id of the receiver, empty if only its address is known.
	id string
	// origin is the member that requested an indirect probe; it is the zero
	// Member for the daemon's own exchanges.
	origin topology.Member
}

// probe is the probe of the current period.
type probe struct {
	target   topology.Member
	sentAt   time.Duration
	indirect bool
	resolved bool
}

// Core is the deterministic state machine of one daemon's membership.
type Core struct {
	timing   Timing
	random   *rand.Rand
	self     topology.Member
	registry *registry
	// recordRumors take precedence over memberRumors.
	recordRumors *rumorQueue
	memberRumors *rumorQueue
	// rumorBudget is a token bucket: the bytes of member rumors that may be sent now.
	rumorBudget          float64
	rumorBudgetUpdatedAt time.Duration
	seeds                []string
	// probeOrder is the shuffled order of probes; inProbeOrder contains the same IDs.
	probeOrder   []string
	inProbeOrder map[string]bool
	probeIndex   int
	// idsByAddress maps an address to the ID of the live member there.
	idsByAddress map[string]string
	probe        *probe
	// suspicionDeadlines maps a suspect's ID to the time at which it is declared dead.
	suspicionDeadlines map[string]time.Duration
	exchanges          map[uint64]exchange
	sequence           uint64
	// oldestExchange is the lowest number that exchanges may contain.
	oldestExchange uint64

	started       bool
	lastTick      time.Duration
	nextProbe     time.Duration
	nextGossip    time.Duration
	nextSync      time.Duration
	nextReconnect time.Duration
	// syncAddress is the peer of an unfinished synchronization; empty if there is none.
	syncAddress string
	syncID      string

	now   time.Duration
	ready Ready
	// mergingSync is true while entries from a digest exchange are merged.
	mergingSync bool
}

// NewCore returns a Core that knows only its own daemon.
func NewCore(options CoreOptions) *Core {
	c := &Core{
		timing:             options.Timing.withDefaults(),
		random:             rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		registry:           newRegistry(),
		recordRumors:       newRumorQueue(),
		memberRumors:       newRumorQueue(),
		suspicionDeadlines: make(map[string]time.Duration),
		exchanges:          make(map[uint64]exchange),
		inProbeOrder:       make(map[string]bool),
		idsByAddress:       make(map[string]string),
	}
	c.self = options.Self
	c.rumorBudget = float64(rumorBudgetMessages * c.timing.RumorBytes)
	c.updateMember(options.Self)
	return c
}

// Self returns this daemon's own description.
func (c *Core) Self() topology.Member { return c.self }

// Members returns the live members (alive, suspect or leaving), this daemon
// included, sorted by ID.
func (c *Core) Members() []topology.Member {
	return c.registry.members(func(member topology.Member) bool { return IsLive(member.State) })
}

// FailedSince returns the members that were declared dead at or after a time and are not known
// to have left, sorted by ID.
func (c *Core) FailedSince(since time.Duration) []topology.Member {
	return c.registry.failedSince(since)
}

// LiveCount returns the number of live members, this daemon included.
func (c *Core) LiveCount() int { return c.registry.live }

// AppendMembers appends the live members in no particular order.
func (c *Core) AppendMembers(to []topology.Member) []topology.Member {
	return c.registry.appendLive(to)
}

// Member returns the current description of a member, which may be dead.
func (c *Core) Member(id string) (topology.Member, bool) { return c.registry.member(id) }

// Record returns a stored record.
func (c *Core) Record(kind RecordKind, key string) (Record, bool) {
	stored := c.registry.get(entryKey{kind: kind, key: key})
	if stored == nil {
		return Record{}, false
	}
	return *stored.record, true
}

// Records returns the number of stored records.
func (c *Core) Records() int { return c.registry.records }

// HasPendingRumors reports whether there are rumors that have been sent less often
// than the transmit limit.
func (c *Core) HasPendingRumors() bool {
	limit := transmitLimit(c.registry.live)
	return c.registry.live > 1 && (c.recordRumors.hasBelow(limit) || c.memberRumors.hasBelow(limit))
}

// NextTick returns the time at which the next Tick is due.
func (c *Core) NextTick() time.Duration {
	if !c.started {
		return c.now
	}
	next := min(c.nextProbe, c.nextSync, c.nextReconnect)
	if c.probe != nil && !c.probe.indirect && !c.probe.resolved {
		next = min(next, c.probe.sentAt+c.timing.ProbeTimeout)
	}
	if c.HasPendingRumors() {
		next = min(next, c.nextGossip)
	}
	return next
}

func (c *Core) tick() {
	if !c.started {
		c.start()
	}
	c.detectResume()
	c.lastTick = c.now
	c.expireSuspicions()
	if c.now >= c.nextProbe {
		c.endProbe()
		c.startProbe()
		c.nextProbe = c.now + c.timing.Period
	}
	c.checkProbeTimeout()
	if c.now >= c.nextGossip && c.HasPendingRumors() {
		c.nextGossip = c.now + c.timing.GossipInterval
		c.gossip()
	}
	if c.now >= c.nextSync {
		c.registry.expire(c.now, c.timing)
		c.synchronize()
	}
	if c.now >= c.nextReconnect {
		c.reconnect()
	}
}

// start sets the timers, with jitter for daemons that start at the same time.
func (c *Core) start() {
	c.started = true
	c.lastTick = c.now
	c.nextProbe = c.now + c.jitter(c.timing.Period)
	c.nextSync = c.now + c.jitter(c.timing.SyncInterval)
	c.nextReconnect = c.now
}

func (c *Core) jitter(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval)) + 1)
}

// detectResume handles a gap between ticks that indicates a suspended process or
// machine. Timeouts that elapsed meanwhile say nothing about the peers, and the
// peers may have declared this daemon dead.
func (c *Core) detectResume() {
	gap := c.now - c.lastTick
	if gap < resumePeriods*c.timing.Period {
		return
	}
	c.ready.Resumed = true
	c.probe = nil
	for id := range c.suspicionDeadlines {
		c.suspicionDeadlines[id] += gap
	}
	for _, peer := range c.randomPeers(joinFanout, "") {
		c.sendSync(peer.PeerAddress, peer.ID)
	}
}

// send queues a request and adds this daemon's description and rumors to it.
func (c *Core) send(address, id string, message Message) {
	c.sendFor(topology.Member{}, address, id, message)
}

// sendFor is like send, on behalf of the origin of an indirect probe.
func (c *Core) sendFor(origin topology.Member, address, id string, message Message) {
	c.sequence++
	c.dropOldExchanges()
	c.exchanges[c.sequence] = exchange{kind: message.Kind, address: address, id: id, origin: origin}
	message.From = c.self
	c.addRumors(&message)
	c.ready.Sends = append(c.ready.Sends, Send{Exchange: c.sequence, Address: address, Message: message})
}

// dropOldExchanges limits the number of open exchanges in case the caller does not
// report their outcomes.
func (c *Core) dropOldExchanges() {
	for c.sequence-c.oldestExchange > maxOpenExchanges {
		delete(c.exchanges, c.oldestExchange)
		c.oldestExchange++
	}
}

// addRumors adds rumors to a message, up to RumorBytes and the budget.
func (c *Core) addRumors(message *Message) {
	remaining := c.timing.RumorBytes
	remaining -= c.addFromQueue(c.recordRumors, message, remaining*recordShareNumerator/recordShareDenominator, recordTransmitLimit(c.registry.live))
	c.refillRumorBudget()
	if c.rumorBudget >= minRumorBudget {
		remaining = min(remaining, int(c.rumorBudget))
		c.rumorBudget -= float64(c.addFromQueue(c.memberRumors, message, remaining, transmitLimit(c.registry.live)))
	}
}

// refillRumorBudget adds the tokens accrued since the last call.
func (c *Core) refillRumorBudget() {
	accrued := float64(c.timing.RumorRate) * (c.now - c.rumorBudgetUpdatedAt).Seconds()
	c.rumorBudget = min(c.rumorBudget+accrued, float64(rumorBudgetMessages*c.timing.RumorBytes))
	c.rumorBudgetUpdatedAt = c.now
}

// addFromQueue adds rumors from a queue to a message and returns their size.
func (c *Core) addFromQueue(queue *rumorQueue, message *Message, bytes, limit int) int {
	added := 0
	for _, stored := range queue.take(bytes, limit) {
		added += entrySize(stored)
		c.addEntry(message, stored)
	}
	return added
}

func entrySize(stored *entry) int {
	if stored.isMember() {
		return memberSize(stored.member)
	}
	return recordSize(*stored.record)
}

func (c *Core) addEntry(message *Message, stored *entry) {
	if stored.isMember() {
		message.Members = append(message.Members, stored.member)
		return
	}
	record := *stored.record
	if record.Kind == RecordReplicaLeaving {
		record.AgeSeconds = uint32((c.now - stored.since) / time.Second)
	}
	message.Records = append(message.Records, record)
}

// randomPeers returns up to count random live members other than this daemon and
// the member with the ID except.
func (c *Core) randomPeers(count int, except string) []topology.Member {
	var found []topology.Member
	if len(c.probeOrder) == 0 {
		return nil
	}
	start := c.random.IntN(len(c.probeOrder))
	stride := c.coprimeStride(len(c.probeOrder))
	for i := 0; i < len(c.probeOrder) && len(found) < count; i++ {
		id := c.probeOrder[(start+i*stride)%len(c.probeOrder)]
		member, known := c.registry.member(id)
		if known && id != except && id != c.self.ID && IsLive(member.State) {
			found = append(found, member)
		}
	}
	return found
}

// coprimeStride returns a random stride that visits every index of a list once.
func (c *Core) coprimeStride(length int) int {
	for {
		stride := c.random.IntN(length) + 1
		if greatestCommonDivisor(stride, length) == 1 {
			return stride
		}
	}
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
