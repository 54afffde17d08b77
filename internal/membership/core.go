// Package membership keeps the set of daemons that run, in the manner of SWIM
// over request and response: randomized round-robin probes, indirect probes,
// suspicion that a member refutes by raising its incarnation, rumors carried
// on every exchange, and a periodic exchange of digests. It also spreads
// small versioned records.
//
// Core is pure: no I/O, clock, goroutine or global randomness. Node runs a
// Core with timers and a Transport.
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

// exchange is a request whose outcome is awaited.
type exchange struct {
	kind    MessageKind
	address string
	// id of the member asked, empty where only an address was known.
	id string
	// origin is who asked for an indirect probe; its address is empty for the
	// daemon's own exchanges.
	origin topology.Member
}

// probe is the probe of the current period.
type probe struct {
	target   topology.Member
	sentAt   time.Duration
	indirect bool
	resolved bool
}

// Core is the pure part of one daemon's membership.
type Core struct {
	timing   Timing
	random   *rand.Rand
	self     topology.Member
	registry *registry
	// news has the changed records and goes first; rumors has the members.
	news   *rumors
	rumors *rumors
	// allowance has the bytes of rumors about members that may be sent now.
	allowance   float64
	allowanceAt time.Duration
	seeds       []string
	// order is the shuffled round of probes; inRound has the same IDs.
	order   []string
	inRound map[string]bool
	cursor  int
	// occupants has the ID of the live member at each address.
	occupants map[string]string
	probe     *probe
	suspected map[string]time.Duration
	exchanges map[uint64]exchange
	sequence  uint64
	// oldest is the lowest exchange that may still be open.
	oldest uint64

	started       bool
	lastTick      time.Duration
	nextProbe     time.Duration
	nextGossip    time.Duration
	nextSync      time.Duration
	nextReconnect time.Duration
	// syncAddress continues a long synchronization; empty means none.
	syncAddress string
	syncID      string

	now   time.Duration
	ready Ready
	// synchronizing is true while entries of a synchronization are merged.
	synchronizing bool
}

// NewCore makes the core of a daemon that knows only itself.
func NewCore(options CoreOptions) *Core {
	c := &Core{
		timing:    options.Timing.withDefaults(),
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		registry:  newRegistry(),
		news:      newRumors(),
		rumors:    newRumors(),
		suspected: make(map[string]time.Duration),
		exchanges: make(map[uint64]exchange),
		inRound:   make(map[string]bool),
		occupants: make(map[string]string),
	}
	c.self = options.Self
	c.allowance = float64(allowanceMessages * c.timing.RumorBytes)
	c.store(options.Self)
	return c
}

// Self returns this daemon as it describes itself.
func (c *Core) Self() topology.Member { return c.self }

// Members returns the live members (alive, suspect or leaving), this daemon
// included, sorted by ID.
func (c *Core) Members() []topology.Member {
	return c.registry.members(func(member topology.Member) bool { return IsLive(member.State) })
}

// LiveCount returns the number of live members, this daemon included.
func (c *Core) LiveCount() int { return c.registry.live }

// AppendMembers appends the live members in no order.
func (c *Core) AppendMembers(to []topology.Member) []topology.Member {
	return c.registry.appendLive(to)
}

// Member returns what is believed of one member, dead ones included.
func (c *Core) Member(id string) (topology.Member, bool) { return c.registry.member(id) }

// Record returns a record that is held.
func (c *Core) Record(kind RecordKind, key string) (Record, bool) {
	held := c.registry.get(entryKey{kind: kind, key: key})
	if held == nil {
		return Record{}, false
	}
	return *held.record, true
}

// Records returns the number of records held.
func (c *Core) Records() int { return c.registry.records }

// HasPendingRumors tells whether there is news that few members were told of.
func (c *Core) HasPendingRumors() bool {
	limit := transmitLimit(c.registry.live)
	return c.registry.live > 1 && (c.news.fresh(limit) || c.rumors.fresh(limit))
}

// NextTick returns when the next Tick is due.
func (c *Core) NextTick() time.Duration {
	if !c.started {
		return c.now
	}
	wake := min(c.nextProbe, c.nextSync, c.nextReconnect)
	if c.probe != nil && !c.probe.indirect && !c.probe.resolved {
		wake = min(wake, c.probe.sentAt+c.timing.ProbeTimeout)
	}
	if c.HasPendingRumors() {
		wake = min(wake, c.nextGossip)
	}
	return wake
}

func (c *Core) tick() {
	if !c.started {
		c.start()
	}
	c.noticeResume()
	c.lastTick = c.now
	c.expireSuspicions()
	if c.now >= c.nextProbe {
		c.endProbe()
		c.startProbe()
		c.nextProbe = c.now + c.timing.Period
	}
	c.probeIndirectly()
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

// start spreads the timers of daemons that start together.
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

// noticeResume handles a gap between ticks that only a frozen process or a
// machine asleep explains: what was awaited meanwhile says nothing about the
// others, and this daemon may have been declared dead.
func (c *Core) noticeResume() {
	gap := c.now - c.lastTick
	if gap < resumePeriods*c.timing.Period {
		return
	}
	c.ready.Resumed = true
	c.probe = nil
	for id := range c.suspected {
		c.suspected[id] += gap
	}
	for _, peer := range c.randomPeers(joinFanout, "") {
		c.sendSync(peer.PeerAddress, peer.ID)
	}
}

// send queues a request with this daemon's description and rumors.
func (c *Core) send(address, id string, message Message) {
	c.sendFor(topology.Member{}, address, id, message)
}

func (c *Core) sendFor(origin topology.Member, address, id string, message Message) {
	c.sequence++
	c.forgetOldExchanges()
	c.exchanges[c.sequence] = exchange{kind: message.Kind, address: address, id: id, origin: origin}
	message.From = c.self
	c.addRumors(&message)
	c.ready.Sends = append(c.ready.Sends, Send{Exchange: c.sequence, Address: address, Message: message})
}

// forgetOldExchanges bounds the exchanges that a stuck shell leaves open.
func (c *Core) forgetOldExchanges() {
	for c.sequence-c.oldest > maximumExchangesOpen {
		delete(c.exchanges, c.oldest)
		c.oldest++
	}
}

// addRumors fills the message up to the bound for rumors.
func (c *Core) addRumors(message *Message) {
	left := c.timing.RumorBytes
	left -= c.addFrom(c.news, message, left*newsPart/newsWhole, newsLimit(c.registry.live))
	c.refillAllowance()
	if c.allowance >= leastRumorBytes {
		left = min(left, int(c.allowance))
		c.allowance -= float64(c.addFrom(c.rumors, message, left, transmitLimit(c.registry.live)))
	}
}

// refillAllowance lets the allowance grow with time, up to a few messages.
func (c *Core) refillAllowance() {
	grown := float64(c.timing.RumorRate) * (c.now - c.allowanceAt).Seconds()
	c.allowance = min(c.allowance+grown, float64(allowanceMessages*c.timing.RumorBytes))
	c.allowanceAt = c.now
}

// addFrom adds rumors of one queue and returns their size.
func (c *Core) addFrom(queue *rumors, message *Message, bytes, limit int) int {
	added := 0
	for _, held := range queue.take(bytes, limit) {
		added += entrySize(held)
		c.addEntry(message, held)
	}
	return added
}

func entrySize(held *entry) int {
	if held.isMember() {
		return memberSize(held.member)
	}
	return recordSize(*held.record)
}

func (c *Core) addEntry(message *Message, held *entry) {
	if held.isMember() {
		message.Members = append(message.Members, held.member)
		return
	}
	record := *held.record
	if record.Kind == RecordReplicaLeaving {
		record.AgeSeconds = uint32((c.now - held.since) / time.Second)
	}
	message.Records = append(message.Records, record)
}

// randomPeers returns up to a number of live members other than this daemon
// and one more.
func (c *Core) randomPeers(number int, except string) []topology.Member {
	var found []topology.Member
	if len(c.order) == 0 {
		return nil
	}
	start := c.random.IntN(len(c.order))
	stride := c.coprimeStride(len(c.order))
	for i := 0; i < len(c.order) && len(found) < number; i++ {
		id := c.order[(start+i*stride)%len(c.order)]
		member, known := c.registry.member(id)
		if known && id != except && id != c.self.ID && IsLive(member.State) {
			found = append(found, member)
		}
	}
	return found
}

// coprimeStride returns a random step that visits every index of a list once.
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
