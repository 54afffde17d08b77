// Package quota limits the requests of tenants at all nodes together. Each node keeps an account
// of each active tenant and charges it with its own admissions at once, and with those of other
// nodes when they report them.
package quota

import (
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
