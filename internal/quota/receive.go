package quota

import (
	"net/netip"
	"time"
)

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
