package quota

import (
	"math"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

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
