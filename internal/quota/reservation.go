package quota

import "time"

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
