package quota

import (
	"maps"
	"math"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

const (
	// shortDemand and longDemand are the time constants of the estimates of demand.
	shortDemand = 500 * time.Millisecond
	longDemand  = 5 * time.Second
	// minPace is the least time over which an account is spent if the demand exceeds it. It is
	// longer than the time until a node counts as silent, so that both sides of a partition do not
	// spend the same balance before they notice.
	minPace = time.Second
	// countRestart is the time without an admission after which a node counts from zero again.
	// It is shorter than the time for which other nodes keep the count.
	countRestart = 5 * time.Second
	// accountRetention is the time after which an account that is full and unused is dropped.
	accountRetention = 12 * time.Second
	// spentSlot and spentSlots are the resolution and the length of the history of charges.
	spentSlot  = 100 * time.Millisecond
	spentSlots = 32
	// partitionEvenShare is the part of an account that is divided evenly among the entry nodes in
	// a partition. The rest is divided by demand.
	partitionEvenShare = 0.2
	// fewNodes is the share of the entry nodes up to which silent nodes are taken for stopped.
	fewNodes = 0.15
	// minDemand is the rate below which an account is divided evenly.
	minDemand = 0.05
)

// demandMeter estimates a rate of events, per second.
type demandMeter struct {
	value float64
	at    time.Duration
}

func (m *demandMeter) read(now, constant time.Duration) float64 {
	return m.value * math.Exp(-(now-m.at).Seconds()/constant.Seconds())
}

func (m *demandMeter) add(now, constant time.Duration) {
	m.value = m.read(now, constant) + 1/constant.Seconds()
	m.at = now
}

// part is another node's part in an account.
type part struct {
	incarnation uint64
	sequence    uint64
	startedAt   time.Duration // of the count
	count       int64
	demand      demandMeter
	long        demandMeter
	history     demandHistory
}

// reservation is the part of an account that a silent node may be spending.
type reservation struct {
	share, balance float64
	// byDemand is the node's share of demand when it was last heard; -1 if there was none.
	byDemand float64
}

// account is a tenant's token bucket as this node sees it.
type account struct {
	tenant   uint64
	name     string // empty until this node gets a request
	limit    routing.RateLimit
	division Division
	balance  float64
	at       time.Duration // of balance
	openedAt time.Duration
	usedAt   time.Duration

	count             int64
	countStartedAt    time.Duration
	lastAdmission     time.Duration
	changedAt         time.Duration // of this node's part
	unreported        int
	demand, long      demandMeter
	history           demandHistory
	pacing            float64
	parts             nodeMap[*part]
	reservations      nodeMap[*reservation]
	reserved          float64 // sum of the shares of reservations
	margin            float64 // part of this side's share in a partition that is not used
	silence           uint64  // version of the silent nodes that reservations are for
	spent             [spentSlots]float32
	spentAt           int64
	admitted, refused uint64
	refusedFor        map[Reason]uint64
	atLimit           bool
	limitedSince      time.Duration
	refusedAt         time.Duration // of the last refusal
	promisedUntil     time.Duration // times up to which tokens are promised by Retry-After
	unpromised        uint64
	recent            bool // in Core.recent
}

// advance refills the balance.
func (a *account) advance(now time.Duration) {
	if now <= a.at {
		return
	}
	passed := (now - a.at).Seconds()
	own := 1 - a.reserved
	if a.balance < a.division.Burst*own {
		a.balance = min(a.division.Burst*own, a.balance+a.division.Rate*own*passed)
	}
	for _, r := range a.reservations.all() {
		r.balance = min(a.division.Burst*r.share, r.balance+a.division.Rate*r.share*passed)
	}
	a.at = now
}

func (a *account) full() bool {
	return a.reservations.len() == 0 && a.balance >= a.division.Burst-0.01
}

// charge takes a number of admissions off the balance.
func (a *account) charge(now time.Duration, amount float64) {
	a.balance = min(a.division.Burst*(1-a.reserved), max(a.balance-amount, -a.division.Burst))
	slot := int64(now / spentSlot)
	a.clearSpent(slot)
	a.spent[slot%spentSlots] += float32(amount)
}

func (a *account) clearSpent(slot int64) {
	for i := max(a.spentAt+1, slot-spentSlots+1); i <= slot; i++ {
		a.spent[i%spentSlots] = 0
	}
	a.spentAt = max(a.spentAt, slot)
}

// spentSince returns the charges since a time.
func (a *account) spentSince(since, now time.Duration) float64 {
	slot := int64(now / spentSlot)
	a.clearSpent(slot)
	sum := 0.0
	for i := max(int64(since/spentSlot), slot-spentSlots+1, 0); i <= slot; i++ {
		sum += float64(a.spent[i%spentSlots])
	}
	return max(0, sum)
}

// setLimit changes the limit. The balance is cut to a lower burst at once.
func (a *account) setLimit(limit routing.RateLimit, bounds Bounds) {
	if a.limit == limit {
		return
	}
	a.limit, a.division = limit, bounds.Divide(limit)
	a.balance = min(a.balance, a.division.Burst*(1-a.reserved))
}

// significantDemand returns the rate that the tenant's demand exceeds but for chance. Requests that arrive
// at random exceed their mean rate for moments. Nothing is refused because of these.
func (a *account) significantDemand(now time.Duration) float64 {
	demand := a.totalDemand(now)
	return demand - 2*math.Sqrt(demand/(2*shortDemand.Seconds()))
}

// totalDemand returns the tenant's requests per second at all nodes.
func (a *account) totalDemand(now time.Duration) float64 {
	sum := a.demand.read(now, shortDemand)
	for _, p := range a.parts.all() {
		sum += p.demand.read(now, 2*shortDemand)
	}
	return sum
}

// earlierDemand returns the sum of the long demands before a time. A surge since a node fell silent
// says nothing of that node's share.
func (a *account) earlierDemand(now, before time.Duration) float64 {
	sum := a.history.read(now, before)
	for _, p := range a.parts.all() {
		sum += p.history.read(now, before)
	}
	return sum
}

const (
	// demandSlot is the resolution of demandHistory, demandSlots the number of slots that it keeps. They
	// cover the time after which a node counts as silent, up to a fleet of 300 nodes.
	demandSlot  = 500 * time.Millisecond
	demandSlots = 6
)

// demandHistory is the earlier states of a demandMeter: those at the end of the last slots in which it
// changed, the newest first.
type demandHistory [demandSlots]demandMeter

// record takes the state of a meter after it has changed.
func (h *demandHistory) record(state demandMeter) {
	if state.at/demandSlot != h[0].at/demandSlot {
		copy(h[1:], h[:demandSlots-1])
	}
	h[0] = state
}

// read returns the present value of the meter if nothing had been added since a time.
func (h *demandHistory) read(now, since time.Duration) float64 {
	for i := range h {
		if (h[i].at/demandSlot+1)*demandSlot <= since {
			return h[i].read(now, longDemand)
		}
	}
	return 0
}

// reasons returns the refusals by reason.
func (a *account) reasons() map[Reason]uint64 { return maps.Clone(a.refusedFor) }
