package quota

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

// Due returns when Tick is to be called next, or false if not at all.
func (c *Core) Due(now time.Duration) (time.Duration, bool) {
	if !c.enabled {
		return 0, false
	}
	due := c.nextHeartbeat
	if c.flushAt > 0 && c.flushAt < due {
		due = c.flushAt
	}
	if c.wants(now) {
		due = min(due, c.lastWant+wantInterval)
	}
	if c.snapshots > 0 {
		return now, true
	}
	return due, true
}

// wants reports whether the accounts of other nodes are missing.
func (c *Core) wants(now time.Duration) bool {
	if c.complete || now-c.syncStartedAt >= 2*c.heartbeat() || !c.participates(now) {
		return false
	}
	if c.uncounted {
		c.complete, c.uncounted = c.answeredByHalf(), false
	}
	return !c.complete
}

func (c *Core) answeredByHalf() bool {
	answered := 0
	for _, p := range c.peers.all() {
		if p.entry && p.answered {
			answered++
		}
	}
	return 2*answered >= c.entries
}

// participates reports whether this node sends reports.
func (c *Core) participates(now time.Duration) bool {
	return c.enabled && (c.isEntry || now-c.lastRequest < activityRetention)
}

// Tick returns the reports that are due.
func (c *Core) Tick(now time.Duration) []Datagram {
	if !c.enabled {
		return nil
	}
	var out []Datagram
	c.checkPeers(now)
	out = c.answer(now, out)
	if !c.participates(now) {
		c.expire(now)
		c.flushAt, c.nextHeartbeat = 0, now+c.heartbeat()
		return out
	}
	if c.wants(now) && now-c.lastWant >= wantInterval {
		c.lastWant = now
		content := c.report(now, flagWant, nil)
		for _, p := range c.peers.all() {
			if p.entry && !p.answered {
				out = append(out, Datagram{p.Address, content})
			}
		}
	}
	switch {
	case now >= c.nextHeartbeat:
		c.nextHeartbeat = now + c.heartbeat()
		c.expire(now)
		out = c.broadcast(now, repeatFor, true, out)
	case c.flushAt > 0 && now >= c.flushAt:
		out = c.broadcast(now, 0, false, out)
	}
	return out
}

// answer sends all accounts to the nodes that asked for them.
func (c *Core) answer(now time.Duration, out []Datagram) []Datagram {
	var contents [][]byte
	if c.snapshots == 0 {
		return out
	}
	for _, p := range c.peers.all() {
		if !p.snapshotDue {
			continue
		}
		c.setSnapshotDue(p, false)
		if contents == nil {
			contents = c.pack(now, flagAnswer, true, maps.Values(c.accounts), func(a *account) bool { return !a.full() || a.unreported > 0 || now-a.changedAt < repeatFor })
		}
		for _, content := range contents[:min(len(contents), maxSnapshotDatagrams)] {
			out = append(out, Datagram{p.Address, content})
		}
	}
	return out
}

// broadcast reports what has changed to the entry nodes and the nodes heard of recently, and at
// times to the standby nodes.
func (c *Core) broadcast(now, within time.Duration, always bool, out []Datagram) []Datagram {
	c.flushAt = 0
	contents := c.pack(now, 0, always, slices.Values(c.recent), func(a *account) bool {
		return a.unreported > 0 || within > 0 && now-a.changedAt < within && a.changedAt > 0
	})
	c.recent = slices.DeleteFunc(c.recent, func(a *account) bool {
		a.unreported = 0
		a.recent = c.accounts[a.tenant] == a && (now-a.changedAt < repeatFor || a.atLimit)
		return !a.recent
	})
	for _, p := range c.peers.all() {
		if p.entry || p.heard && now-p.heardAt < contactRetention {
			for _, content := range contents {
				out = append(out, Datagram{p.Address, content})
			}
		}
	}
	if !c.isEntry && always && now-c.lastPresence >= presenceInterval {
		c.lastPresence = now
		for _, peer := range c.standby {
			for _, content := range contents {
				out = append(out, Datagram{peer.Address, content})
			}
		}
	}
	return out
}

// pack encodes the accounts that match, in the order of their IDs, into datagrams; at least one if always is set.
func (c *Core) pack(now time.Duration, flags uint8, always bool, accounts iter.Seq[*account], match func(*account) bool) [][]byte {
	var contents [][]byte
	var entries []entry
	var matched []*account
	for a := range accounts {
		if c.accounts[a.tenant] != a {
			continue // dropped since it changed
		}
		c.reconcile(a, now)
		if match(a) {
			matched = append(matched, a)
		}
	}
	slices.SortFunc(matched, func(x, y *account) int { return cmp.Compare(x.tenant, y.tenant) })
	for _, a := range matched {
		// Other nodes compute this node's share of demand from its reports. It does the same, so
		// that the shares of both sides of a partition add up to one.
		a.history.record(demandMeter{a.long.read(now, longDemand), now})
		entries = append(entries, a.entry(now))
		if len(entries) == maxEntries {
			contents = append(contents, c.report(now, flags, entries))
			entries = nil
		}
	}
	if len(entries) > 0 || always && len(contents) == 0 {
		contents = append(contents, c.report(now, flags, entries))
	}
	return contents
}

func (c *Core) report(now time.Duration, flags uint8, entries []entry) []byte {
	c.sequence++
	r := report{Node: c.config.Self, Incarnation: c.config.Incarnation, Sequence: c.sequence, Flags: flags, Entries: entries,
		UptimeMilliseconds: uint64(max(0, now-c.config.Now).Milliseconds())}
	return r.encode()
}

func (a *account) entry(now time.Duration) entry {
	scaled := func(value float64) uint64 { return uint64(math.Round(max(0, min(value, 1<<20)) * valueScale)) }
	return entry{
		Tenant: a.tenant, AgeMilliseconds: uint64(max(0, now-a.countStartedAt).Milliseconds()), Count: a.count,
		Balance: int64(math.Floor(min(a.balance, 1<<20) * valueScale)),
		Demand:  scaled(a.demand.read(now, shortDemand)), LongDemand: scaled(a.long.read(now, longDemand)),
	}
}

// expire drops accounts that are full and unused, and forgets what other nodes no longer report.
func (c *Core) expire(now time.Duration) {
	for id, a := range c.accounts {
		c.reconcile(a, now)
		if now-a.usedAt > accountRetention && a.full() {
			delete(c.accounts, id)
			continue
		}
		for node, p := range a.parts.all() {
			if now-p.long.at > accountRetention {
				a.parts.remove(node)
			}
		}
	}
}
