// Package quota limits the requests of tenants at all nodes together. Each node keeps an account
// of each active tenant and charges it with its own admissions at once, and with those of other
// nodes when they report them.
package quota

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/routing"
)

const (
	// minFlush is the time from an admission to its report while an account is low.
	minFlush = 25 * time.Millisecond
	// minHeartbeat is the interval of reports otherwise.
	minHeartbeat = 250 * time.Millisecond
	// maxDatagramRate bounds the datagrams that a node sends, per second.
	maxDatagramRate = 1000
	// silentHeartbeats is the number of heartbeats after which a node counts as silent.
	silentHeartbeats = 2.2
	// repeatFor is the time for which a change is repeated in reports.
	repeatFor = 2 * time.Second
	// contactRetention is the time for which a node that reported is sent reports.
	contactRetention = 10 * time.Second
	// presenceInterval is the interval at which a standby node with requests reports to all other
	// standby nodes. They report to it in turn, so that several of them know of each other.
	presenceInterval = contactRetention / 3
	// activityRetention is the time for which a node that is no entry node sends reports after
	// its last request. Its share of demand has decayed by then.
	activityRetention = 30 * time.Second
	// syncTimeout bounds the time for which a node waits for the accounts of others.
	syncTimeout = 150 * time.Millisecond
	// wantInterval is the interval at which a node asks again while too few have answered.
	wantInterval = 50 * time.Millisecond
	// maxSnapshotDatagrams bounds the answer to flagWant.
	maxSnapshotDatagrams = 300
	// maxAccounts bounds the accounts that reports of other nodes create.
	maxAccounts = 50_000
)

// Peer is another node.
type Peer struct {
	ID      uint64
	Address netip.AddrPort
}

// NodeID returns the ID of the node with a name.
func NodeID(name string) uint64 { return xxhash.Sum64String(name) }

// Datagram is a report to another node.
type Datagram struct {
	To      netip.AddrPort
	Content []byte
}

// peer is what is known of another node.
type peer struct {
	Peer
	incarnation, former uint64
	entry               bool
	addedAt             time.Duration
	heardAt             time.Duration // of the last report, valid if heard
	heard               bool
	// since is the time since which all reports of its process are known.
	since  time.Duration
	uptime time.Duration
	silent bool
	// answered is true if it has answered with all its accounts.
	answered bool
	// snapshotDue is true if it has to be sent all accounts.
	snapshotDue bool
}

// CoreConfig configures a Core.
type CoreConfig struct {
	Self        uint64
	Incarnation uint64
	Bounds      Bounds
	// Now is the present time.
	Now time.Duration
}

// Core is the shared quota of one node without I/O. It is not safe for concurrent use. Times are
// elapsed times; they include time for which the process is paused.
type Core struct {
	config   CoreConfig
	accounts map[uint64]*account
	peers    nodeMap[*peer]
	entries  int
	standby  []Peer
	isEntry  bool
	enabled  bool
	sequence uint64
	silence  uint64 // version of the set of silent peers
	silent   nodeMap[*peer]

	lastRequest   time.Duration
	lastPresence  time.Duration // last report to the standby nodes
	syncStartedAt time.Duration
	complete      bool // half of the entry nodes have answered since syncStartedAt
	uncounted     bool // complete may have changed
	lastWant      time.Duration
	nextHeartbeat time.Duration
	flushAt       time.Duration // 0: none
	checkedAt     time.Duration
	dropped       uint64
	limits        map[uint64]TenantLimit
	// appeared are the times at which tenants got a limit after others had one.
	appeared map[uint64]time.Duration
	// recent are the accounts that may have to be reported or logged.
	recent []*account
	// snapshots is the number of peers with snapshotDue.
	snapshots int
}

// TenantLimit is a tenant with a limit.
type TenantLimit struct {
	Name  string
	Limit routing.RateLimit
}

// NewCore returns a Core.
func NewCore(config CoreConfig) *Core {
	return &Core{
		config: config, accounts: make(map[uint64]*account), appeared: make(map[uint64]time.Duration),
		syncStartedAt: config.Now, lastWant: config.Now - time.Hour, checkedAt: config.Now, lastRequest: config.Now - time.Hour,
		nextHeartbeat: config.Now,
	}
}

// SetNodes sets the entry nodes and the standby nodes without this one, whether this node is an entry node, and all
// known nodes.
func (c *Core) SetNodes(now time.Duration, entries, standby []Peer, selfIsEntry bool, known map[uint64]bool) {
	c.standby = standby
	listed := make(map[uint64]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		p := c.peers.get(e.ID)
		if p == nil {
			p = &peer{Peer: e, addedAt: now}
			c.peers.set(e.ID, p)
		}
		p.entry, p.Address = true, e.Address
	}
	for id, p := range c.peers.all() {
		p.entry = listed[id]
		if !listed[id] && !known[id] && c.silent.get(id) != nil {
			c.setSilent(p, false)
		}
		if !listed[id] && (!p.heard || now-p.heardAt > time.Minute) {
			c.setSilent(p, false)
			c.setSnapshotDue(p, false)
			c.peers.remove(id)
		}
	}
	c.entries, c.isEntry, c.uncounted = len(entries), selfIsEntry, true
}

// SetLimits sets the tenants with limits, by TenantID. Without any, nothing is sent.
func (c *Core) SetLimits(now time.Duration, limits map[uint64]TenantLimit) {
	if !c.enabled && len(limits) > 0 {
		c.syncStartedAt, c.nextHeartbeat, c.complete, c.uncounted = now, now, false, true
	}
	for id := range limits {
		if _, found := c.limits[id]; !found && c.limits != nil {
			c.appeared[id] = now
		}
	}
	for id, at := range c.appeared {
		if _, found := limits[id]; !found || now-at > accountRetention {
			delete(c.appeared, id)
		}
	}
	c.enabled, c.limits = len(limits) > 0, limits
	for id, a := range c.accounts {
		limit, found := limits[id]
		if !found {
			delete(c.accounts, id)
			continue
		}
		c.reconcile(a, now)
		a.setLimit(limit.Limit, c.config.Bounds)
	}
}

// TenantID returns the ID of the tenant with a name.
func TenantID(name string) uint64 { return xxhash.Sum64String(name) }

// heartbeat returns the interval of reports to a number of other entry nodes.
func heartbeat(entries int) time.Duration {
	return max(minHeartbeat, time.Duration(entries)*2*time.Second/maxDatagramRate)
}

// silenceAfter returns the time without a report after which a node counts as silent.
func silenceAfter(entries int) time.Duration {
	return time.Duration(silentHeartbeats * float64(heartbeat(entries)))
}

func (c *Core) heartbeat() time.Duration { return heartbeat(c.entries) }

func (c *Core) flushDelay() time.Duration {
	return max(minFlush, time.Duration(c.entries)*time.Second/maxDatagramRate)
}

func (c *Core) silenceAfter() time.Duration {
	return silenceAfter(c.entries)
}

func (c *Core) setSilent(p *peer, silent bool) {
	if p.silent == silent {
		return
	}
	p.silent = silent
	c.silence++
	if silent {
		c.silent.set(p.ID, p)
	} else {
		c.silent.remove(p.ID)
	}
}

func (c *Core) setSnapshotDue(p *peer, due bool) {
	if p.snapshotDue == due {
		return
	}
	p.snapshotDue = due
	if due {
		c.snapshots++
	} else {
		c.snapshots--
	}
}

// change notes that this node's part in an account has changed.
func (c *Core) change(a *account, now time.Duration) {
	a.changedAt = now
	if !a.recent {
		a.recent = true
		c.recent = append(c.recent, a)
	}
}

// checkPeers notes which peers are silent.
func (c *Core) checkPeers(now time.Duration) {
	c.checkedAt = now
	for _, p := range c.peers.all() {
		if p.silent {
			continue
		}
		last := p.addedAt
		if p.heard {
			last = p.heardAt
		}
		if now-last <= c.silenceAfter() {
			continue
		}
		if p.entry || p.heard && now-p.heardAt < contactRetention {
			c.setSilent(p, true)
		}
	}
}

// informed reports whether half of the entry nodes, of those that have run for long enough to
// know all accounts, have told theirs.
func (c *Core) informed(now time.Duration) bool {
	informed := 0
	for _, p := range c.peers.all() {
		if p.entry && p.answered && !p.silent && p.uptime > c.config.Bounds.Window {
			informed++
		}
	}
	return c.entries == 0 && now-c.config.Now > c.config.Bounds.Window || 2*informed >= c.entries && informed > 0
}

// synchronizing reports whether the accounts of other nodes may still arrive.
func (c *Core) synchronizing(now time.Duration) bool {
	return c.entries > 0 && now-c.syncStartedAt < syncTimeout && !c.informed(now)
}

// reconcile refills an account and brings its reservations up to date with the silent peers.
func (c *Core) reconcile(a *account, now time.Duration) {
	a.advance(now)
	if a.silence == c.silence {
		return
	}
	a.silence = c.silence
	for id, r := range a.reservations.all() {
		if c.silent.get(id) == nil {
			a.release(id, r, 0)
		}
	}
	before := c.contactLost(a, now)
	total := a.earlierDemand(now, before)
	even := c.evenShare()
	added := make(map[uint64]*reservation)
	sum := 0.0
	for id, p := range c.silent.all() {
		r := a.reservations.get(id)
		if r == nil {
			r = &reservation{byDemand: -1}
			if part := a.parts.get(id); total >= minDemand {
				r.byDemand = 0
				if part != nil {
					r.byDemand = min(1, part.history.read(now, before)/total)
				}
			}
			added[id] = r
		}
		sum += c.share(r, p, even)
	}
	if a.reservations.len() == 0 {
		a.margin = a.division.margin(total)
	}
	scale := 1.0
	if even < 1 && sum > 0 && sum < 1 {
		scale = (sum + a.margin*(1-sum)) / sum
	}
	for id, p := range c.silent.all() {
		r := a.reservations.get(id)
		if r == nil {
			r = added[id]
		}
		if share := scale * c.share(r, p, even); share > 0 || r.share > 0 {
			since := now - c.silenceAfter()
			if p.heard {
				since = p.heardAt
			}
			a.reserve(id, r, share, a.spentSince(since, now))
		}
	}
}

// contactLost returns when the peers that have become silent since the account was last used were
// heard. Demand that came later is not known on both sides of a partition.
func (c *Core) contactLost(a *account, now time.Duration) time.Duration {
	before := now - c.silenceAfter()
	for id, p := range c.silent.all() {
		if p.heard && a.reservations.get(id) == nil && now-p.heardAt < demandSlots*demandSlot {
			before = min(before, p.heardAt)
		}
	}
	return before
}

// evenShare returns the part of an account that is divided evenly among the entry nodes; the rest
// is divided by demand. In a partition, callers stay with the nodes that they use, so that demand
// is the better measure. If only few nodes are silent, they have probably stopped, and their
// callers use the others. A few nodes on their own follow the same rule.
func (c *Core) evenShare() float64 {
	silent := 0
	for _, p := range c.silent.all() {
		if p.entry {
			silent++
		}
	}
	all := c.entries + 1
	if float64(min(silent, all-silent)) <= fewNodes*float64(all) {
		return 1
	}
	return partitionEvenShare
}

// share returns a silent peer's share of an account.
func (c *Core) share(r *reservation, p *peer, evenPart float64) float64 {
	even := 0.0
	if p.entry {
		even = 1 / float64(c.entries+1)
	}
	if r.byDemand < 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*r.byDemand
}

// reserve changes the share that is reserved for a node. spent is what has been charged since the
// node was last heard: both sides are due their share of the balance of that time.
func (a *account) reserve(id uint64, r *reservation, share, spent float64) {
	share = min(share, r.share+max(0, 1-a.reserved))
	whole := a.balance + spent
	for _, other := range a.reservations.all() {
		whole += other.balance
	}
	moved := (share - r.share) * max(0, whole)
	a.reservations.set(id, r)
	a.reserved += share - r.share
	r.share = share
	r.balance += moved
	a.balance = min(max(a.balance-moved, -a.division.Burst), a.division.Burst*(1-a.reserved))
}

// release ends a reservation. spent is what the node has spent of it.
func (a *account) release(id uint64, r *reservation, spent float64) {
	a.reservations.remove(id)
	a.reserved = max(0, a.reserved-r.share)
	if a.reservations.len() == 0 {
		a.reserved = 0
	}
	a.balance = min(a.balance+max(0, r.balance-max(0, spent)), a.division.Burst*(1-a.reserved))
}

// Decision is the decision on a request.
type Decision struct {
	Admitted bool
	// Wait is true if the accounts of other nodes are awaited. Ask again when they have arrived.
	Wait       bool
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is the reason of a refusal.
type Reason string

const (
	// ReasonBalance means that the account is empty.
	ReasonBalance Reason = "balance"
	// ReasonPace means that the demand exceeds what the account admits.
	ReasonPace Reason = "pace"
	// ReasonReserved means that the rest of the account is reserved for silent nodes.
	ReasonReserved Reason = "reserved"
)

// Admit decides on a request of a tenant. If wait is false, it does not wait for other nodes.
func (c *Core) Admit(now time.Duration, name string, limit routing.RateLimit, wait bool) Decision {
	if now-c.checkedAt > minHeartbeat {
		c.checkPeers(now)
	}
	if !c.isEntry && now-c.lastRequest > contactRetention {
		c.resynchronize(now)
	}
	c.lastRequest = now
	id := TenantID(name)
	a := c.accounts[id]
	if a == nil {
		if wait && c.synchronizing(now) {
			return Decision{Wait: true}
		}
		a = c.open(now, id, limit)
	}
	if listed, found := c.limits[id]; found {
		limit = listed.Limit // a request may still carry an older limit
	}
	c.reconcile(a, now)
	a.setLimit(limit, c.config.Bounds)
	a.name = name
	decision := c.decide(a, now)
	a.demand.add(now, shortDemand)
	a.long.add(now, longDemand)
	a.usedAt = now
	c.change(a, now)
	return decision
}

// resynchronize forgets what this node has not been sent for a while, and asks for it.
func (c *Core) resynchronize(now time.Duration) {
	c.lastPresence = now - presenceInterval
	clear(c.accounts)
	c.syncStartedAt, c.nextHeartbeat, c.complete, c.uncounted = now, now, false, true
	for _, p := range c.peers.all() {
		p.answered, p.heard, p.addedAt = false, false, now
		c.setSilent(p, false)
	}
}

// open returns a new account.
func (c *Core) open(now time.Duration, id uint64, limit routing.RateLimit) *account {
	a := &account{tenant: id, at: now, openedAt: now, usedAt: now}
	a.spentAt = int64(now / spentSlot)
	a.setLimit(limit, c.config.Bounds)
	appearedAt, appeared := c.appeared[id]
	switch {
	case appeared:
		// The tenant may have had another name, and have spent its burst under that name.
		a.balance = min(a.division.Burst, a.division.Initial+a.division.Rate*(now-appearedAt).Seconds())
	case c.informed(now):
		a.balance = a.division.Burst
	default:
		a.balance = min(a.division.Burst, a.division.Initial+a.division.Rate*(now-c.config.Now).Seconds())
	}
	a.pacing = float64((id^c.config.Self)%1000) / 1000
	c.accounts[id] = a
	return a
}

func (c *Core) decide(a *account, now time.Duration) Decision {
	reason := ReasonBalance
	if a.balance >= 1 {
		pace := max(minPace, 9*c.silenceAfter()/5).Seconds()
		demand := a.significantDemand(now) * pace
		own := 1 - a.reserved
		if available := a.balance + a.division.Rate*own*pace; demand > available {
			a.pacing += available / demand
			reason = ReasonPace
		} else {
			a.pacing = max(a.pacing, 1)
		}
		if a.pacing >= 1 {
			a.pacing -= 1
			c.admit(a, now)
			return Decision{Admitted: true}
		}
	} else if a.reserved > 0 {
		reason = ReasonReserved
	}
	a.refused++
	if a.refusedFor == nil {
		a.refusedFor = make(map[Reason]uint64)
	}
	a.refusedFor[reason]++
	if !a.atLimit {
		a.atLimit, a.limitedSince = true, now
	}
	a.refusedAt = now
	return Decision{Reason: reason, RetryAfter: a.retryAfter(now)}
}

func (c *Core) admit(a *account, now time.Duration) {
	if a.count == 0 || now-a.lastAdmission > countRestart {
		a.count, a.countStartedAt = 0, now
	}
	a.count++
	a.admitted++
	a.unreported++
	a.lastAdmission = now
	a.charge(now, 1)
	// In a large fleet, one request at each node is more than the balance.
	if a.balance < a.division.Burst/2 || a.unreported > 2 || float64(a.unreported*(c.entries+1)) > a.balance {
		if at := now + c.flushDelay(); c.flushAt == 0 || at < c.flushAt {
			c.flushAt = at
		}
	}
}

// retryAfter returns when a refused caller should retry: when there is a token for it after those
// that were refused before it. Other nodes promise theirs: this one has its share of the rate, by its
// share of the demand.
func (a *account) retryAfter(now time.Duration) time.Duration {
	rate := max(0.01, a.division.Rate*(1-a.reserved))
	// What is left of the balance goes to the requests that come meanwhile, and reports of others
	// may be on their way.
	first := now + retryMargin + time.Duration((1-min(0, a.balance))/rate*float64(time.Second))
	if total := a.totalDemand(now); total > rate {
		// New requests take the tokens until the demand, if it ends now, counts as below the rate.
		first += time.Duration(math.Log(min(total/rate, 20)) * float64(shortDemand))
	}
	if own, total := a.demand.read(now, shortDemand), a.totalDemand(now); own > 0 {
		rate *= promisedShare * max(minRetryShare, own/total)
	}
	next := max(first, a.promisedUntil+time.Duration(float64(time.Second)/rate))
	if next-now > maxRetryAfter {
		// All tokens of that time are promised. These callers come back at different times.
		a.unpromised++
		_, part := math.Modf(float64(a.unpromised) * goldenRatio)
		return maxRetryAfter - time.Duration(part*float64(maxRetryAfter)/2)
	}
	a.promisedUntil = next
	return max(next-now, time.Millisecond)
}

const (
	// retryMargin is the time that reports take to arrive while an account is low.
	retryMargin = 100 * time.Millisecond
	// promisedShare is the part of the rate that is promised: returning callers meet new requests,
	// and the shares of nodes are estimates.
	promisedShare = 0.8
	// minRetryShare bounds the share of the rate that a node without earlier demand promises.
	minRetryShare = 0.02
	// goldenRatio spreads its multiples, without their integer parts, evenly.
	goldenRatio = 0.6180339887498949
)

// maxRetryAfter bounds Retry-After: a caller that is told more does not return.
const maxRetryAfter = 5 * time.Second

// Refund returns the token of a request that has not run.
func (c *Core) Refund(now time.Duration, name string) {
	a := c.accounts[TenantID(name)]
	if a == nil {
		return
	}
	c.reconcile(a, now)
	a.count--
	a.admitted--
	c.change(a, now)
	a.charge(now, -1)
}

// Receive handles a report.
func (c *Core) Receive(now time.Duration, from netip.AddrPort, content []byte) error {
	r, err := decode(content)
	if err != nil {
		return err
	}
	c.receive(now, from, r)
	return nil
}

// receive handles a decoded report. It does not change it.
func (c *Core) receive(now time.Duration, from netip.AddrPort, r *report) {
	if r.Node == c.config.Self || !c.enabled {
		return
	}
	if now-c.checkedAt > minHeartbeat {
		c.checkPeers(now)
	}
	p := c.peers.get(r.Node)
	if p == nil {
		p = &peer{Peer: Peer{ID: r.Node}, addedAt: now}
		c.peers.set(r.Node, p)
	}
	if p.former == r.Incarnation && p.former != 0 {
		return // a late report of a process that has ended
	}
	if !p.heard || p.incarnation != r.Incarnation {
		if p.heard && p.incarnation != r.Incarnation {
			p.former = p.incarnation
		}
		p.incarnation, p.since, p.answered = r.Incarnation, now, false
		if r.uptime() < now-c.config.Now {
			p.since = now - r.uptime() - time.Second // this node was already listening
		}
		c.setSnapshotDue(p, true)
	}
	if p.silent {
		c.setSnapshotDue(p, true)
	}
	p.heard, p.heardAt, p.uptime = true, now, r.uptime()
	if !p.entry {
		p.Address = from
	}
	if r.Flags&flagWant != 0 {
		c.setSnapshotDue(p, true)
	}
	if r.Flags&flagAnswer != 0 {
		p.answered, c.uncounted = true, true
	}
	for i := range r.Entries {
		c.merge(now, p, r, &r.Entries[i])
	}
	c.setSilent(p, false)
}

// merge charges an account with another node's admissions.
func (c *Core) merge(now time.Duration, p *peer, r *report, e *entry) {
	a := c.accounts[e.Tenant]
	balance := float64(e.Balance) / valueScale
	if a == nil {
		if len(c.accounts) >= maxAccounts {
			c.dropped++
			return
		}
		limit, found := c.limits[e.Tenant]
		if !found {
			return // the count is cumulative: a later report makes up for this one
		}
		a = c.open(now, e.Tenant, limit.Limit)
		if r.uptime() > c.config.Bounds.Window {
			a.balance = min(a.division.Burst, balance)
		}
	}
	c.reconcile(a, now)
	a.usedAt = now
	startedAt := now - time.Duration(e.AgeMilliseconds)*time.Millisecond
	known := a.parts.get(p.ID)
	fresh := known == nil
	var delta int64
	switch {
	case fresh || known.incarnation != r.Incarnation || startedAt > known.startedAt+countRestart/2:
		if !fresh && known.incarnation == r.Incarnation && r.Sequence < known.sequence {
			return
		}
		if startedAt >= p.since || !fresh && known.incarnation == r.Incarnation {
			delta = e.Count
		} else if now-a.openedAt < 2*syncTimeout || e.Count > 0 {
			a.balance = min(a.balance, balance) // it counted before it was heard
		}
		known = &part{incarnation: r.Incarnation, startedAt: startedAt}
		a.parts.set(p.ID, known)
	case r.Sequence < known.sequence:
		return
	default:
		delta = e.Count - known.count
	}
	known.sequence, known.count = r.Sequence, e.Count
	known.demand = demandMeter{float64(e.Demand) / valueScale, now}
	known.long = demandMeter{float64(e.LongDemand) / valueScale, now}
	known.history.record(known.long)
	if reserved := a.reservations.get(p.ID); reserved != nil {
		a.release(p.ID, reserved, float64(delta))
		return
	}
	a.charge(now, float64(delta))
}
