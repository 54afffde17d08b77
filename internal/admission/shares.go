package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Tenant identifies whose request it is.
type Tenant struct {
	Name string
	// Rank is the tenant's priority; 0 is the highest.
	Rank int
}

// NoTenant stands for requests without a tenant, which count as one tenant, less urgent than all others.
var NoTenant = Tenant{Rank: math.MaxInt}

const (
	// shareMemory is the time constant of a tenant's recent use. It spans some gaps between the
	// requests of a tenant that sends a few per second, and is short against an overload of 6 s.
	shareMemory = time.Second
	// shareInterval and shareIntervalPerTenant bound how often the shares are computed, as it takes a
	// pass over all tenants.
	shareInterval          = 50 * time.Millisecond
	shareIntervalPerTenant = 20 * time.Microsecond
	// forgetBelow is the demand, in requests in flight, below which an idle tenant is forgotten.
	forgetBelow = 0.001
	// lessUrgentFraction is the fraction of the limit that tenants of a rank share even if more urgent
	// ones could use all of it.
	lessUrgentFraction = 0.1
	// overshootFraction is the part of the limit by which it may be exceeded for tenants within their
	// shares, besides what others use beyond an equal share; maxOvershootFraction bounds both. A smaller
	// bound refuses tenants within their shares on nodes with a limit of about ten requests.
	overshootFraction    = 0.125
	maxOvershootFraction = 0.75
	minOvershoot         = 2
	// burstDeviations is the number of standard deviations of a Poisson process by which the requests
	// in flight of a tenant within its share may exceed the share.
	burstDeviations = 2
	// starvationAge is the time without an admission after which one request of a rank is admitted.
	starvationAge = time.Second
)

// usage is a tenant's use of a target.
type usage struct {
	rank     int
	inFlight int
	// recent is the mean number in flight, refused the number that the refused requests would have
	// added to it. Both are averages over shareMemory, as of settledAt.
	recent, refused float64
	settledAt       time.Time
}

// settle advances the averages to now.
func (u *usage) settle(now time.Time) {
	elapsed := now.Sub(u.settledAt)
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	u.recent = kept*u.recent + (1-kept)*float64(u.inFlight)
	u.refused *= kept
	u.settledAt = now
}

func (u *usage) demand() float64 { return u.recent + u.refused }

// shares divides the limit of a target between the tenants that use it: the tenants that use least
// get what they ask for, and the rest is divided evenly (max-min fairness over the requests that are
// admitted, whether waiting or in flight). It has an entry for each tenant that recently sent requests.
type shares struct {
	mutex    sync.Mutex
	byTenant map[Tenant]*usage
	named    int // tenants with a name
	// duration is the mean duration of requests in seconds.
	duration float64
	classes  []class // most urgent first
	// equal is the limit divided by the number of tenants.
	equal      float64
	computedAt time.Time
	latest     time.Time
	// admittedAt is when a request of a rank was last admitted.
	admittedAt [len(rankFractions)]time.Time
}

// class is the tenants of one rank.
type class struct {
	rank int
	// level is the use up to which a tenant is within its share.
	level float64
	// inFlight is the number of requests in flight, excess the part of it that tenants have in flight
	// beyond an equal share of the limit.
	inFlight int
	excess   float64
}

// active reports whether tenants use the target.
func (s *shares) active() bool { return s.named > 0 }

// of returns a tenant's usage at now.
func (s *shares) of(tenant Tenant, now time.Time) *usage {
	if s.latest.Before(now) {
		s.latest = now
	}
	found := s.byTenant[tenant]
	if found == nil {
		if s.byTenant == nil {
			s.byTenant = map[Tenant]*usage{}
		}
		found = &usage{rank: tenant.Rank, settledAt: now}
		s.byTenant[tenant] = found
		if tenant.Name != "" {
			s.named++
		}
	}
	found.settle(now)
	return found
}

// update computes the shares of a limit, unless they are recent, and forgets idle tenants except one.
func (s *shares) update(now time.Time, limit float64, except *usage) {
	at := s.position(except.rank)
	known := at < len(s.classes) && s.classes[at].rank == except.rank
	if known && now.Sub(s.computedAt) < max(shareInterval, time.Duration(len(s.byTenant))*shareIntervalPerTenant) {
		return
	}
	s.computedAt = now
	demands := map[int][]float64{}
	for tenant, one := range s.byTenant {
		one.settle(now)
		if one != except && one.inFlight == 0 && one.demand() < forgetBelow {
			s.forget(tenant)
			continue
		}
		demands[one.rank] = append(demands[one.rank], one.demand())
	}
	s.equal = limit / float64(len(s.byTenant))
	s.classes = s.classes[:0]
	remaining := limit
	for _, rank := range slices.Sorted(maps.Keys(demands)) {
		level, used := divide(demands[rank], max(remaining, lessUrgentFraction*limit))
		s.classes = append(s.classes, class{rank: rank, level: level})
		remaining -= used
	}
	for _, one := range s.byTenant {
		of := &s.classes[s.position(one.rank)]
		of.inFlight += one.inFlight
		of.excess += s.beyondEqual(one)
	}
}

func (s *shares) forget(tenant Tenant) {
	delete(s.byTenant, tenant)
	if tenant.Name != "" {
		s.named--
	}
}

// divide returns the largest share with which demands fit into capacity, and how much of the capacity
// they use. If all fit, the share is the largest demand, or an even share if that is more, so that a
// sudden burst of one tenant is over its share. It sorts demands.
func divide(demands []float64, capacity float64) (level, used float64) {
	slices.Sort(demands)
	remaining := capacity
	for i, demand := range demands {
		if even := remaining / float64(len(demands)-i); demand > even {
			return even, capacity
		}
		remaining -= demand
	}
	return max(demands[len(demands)-1], capacity/float64(len(demands))), capacity - remaining
}

// beyondEqual returns the number in flight of a tenant beyond an equal share of the limit.
func (s *shares) beyondEqual(one *usage) float64 {
	return max(0, float64(one.inFlight)-max(1, s.equal))
}

// position returns the position of a rank's class, or where it would be inserted.
func (s *shares) position(rank int) int {
	at, _ := slices.BinarySearchFunc(s.classes, rank, func(c class, rank int) int { return cmp.Compare(c.rank, rank) })
	return at
}

// change changes a tenant's number in flight.
func (s *shares) change(one *usage, by int) {
	before := s.beyondEqual(one)
	one.inFlight += by
	if at := s.position(one.rank); at < len(s.classes) && s.classes[at].rank == one.rank {
		s.classes[at].inFlight += by
		s.classes[at].excess += s.beyondEqual(one) - before
	}
}

// allows decides whether a request may start with inFlight others, under a limit. It must be
// followed by change or refuse.
func (s *shares) allows(now time.Time, one *usage, rank Rank, inFlight int64, limit float64) bool {
	s.update(now, limit, one)
	at, after := s.position(one.rank), float64(inFlight+1)
	threshold := max(1, math.Floor(s.fraction(at, rank)*limit))
	if after <= threshold {
		return true
	}
	if len(s.byTenant) == 1 || after > limit+max(minOvershoot, maxOvershootFraction*limit) {
		return false
	}
	if now.Sub(s.admittedAt[rank]) >= starvationAge {
		return true
	}
	if !s.within(one) {
		return false
	}
	if at > 0 && float64(s.classes[at].inFlight) < lessUrgentFraction*limit {
		return true
	}
	// What others of the same or a lower rank use beyond an equal share does not count against a
	// tenant within its share.
	excess := -s.beyondEqual(one)
	for i := range s.classes[at:] {
		excess += s.classes[at+i].excess
	}
	return after-max(0, excess) <= threshold+max(minOvershoot, overshootFraction*limit)
}

// within reports whether a tenant is within its share. The shares must have been computed.
func (s *shares) within(one *usage) bool {
	level := s.classes[s.position(one.rank)].level
	return s.use(one, level) < level
}

// use returns a tenant's use, by its average and by a burst of more than a share's random variation.
func (s *shares) use(one *usage, share float64) float64 {
	share = min(share, float64(one.inFlight))
	return max(one.recent, float64(one.inFlight)-1-burstDeviations*math.Sqrt(share))
}

// fraction returns the fraction of the limit up to which requests are admitted, whoever sends them. It
// interpolates rankFractions so that the ranks of tenants count first, and then those of routes. With
// one rank of tenants it is that of the route.
func (s *shares) fraction(at int, rank Rank) float64 {
	last := len(rankFractions) - 1
	if len(s.classes) <= 1 {
		return rankFractions[rank]
	}
	position := (len(s.classes)-1-at)*len(rankFractions) + int(rank)
	scaled := float64(position*last) / float64(len(s.classes)*len(rankFractions)-1)
	lower := min(int(scaled), last-1)
	return rankFractions[lower] + (scaled-float64(lower))*(rankFractions[lower+1]-rankFractions[lower])
}

// refuse records that a request was refused.
func (s *shares) refuse(one *usage) {
	one.refused += s.duration / shareMemory.Seconds()
}

// durationWeight is the weight of one request in the mean duration.
const durationWeight = 0.05

// end records that a request ended that started at a given time.
func (s *shares) end(now time.Time, one *usage, started time.Time) {
	if now.Before(s.latest) {
		now = s.latest
	}
	one.settle(now)
	s.change(one, -1)
	took := now.Sub(started).Seconds()
	if s.duration == 0 {
		s.duration = took
	}
	s.duration += durationWeight * (took - s.duration)
}
