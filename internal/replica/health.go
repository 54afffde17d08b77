package replica

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// The constants of a replica's health.
const (
	// ejectAfter failures in a row, a replica is ejected. One that has not
	// answered since is ejected again after a single failure.
	ejectAfter = 3
	// baseEjection is the first ejection's length; each further one doubles it.
	baseEjection = time.Second
	// maxEjectionDoublings bounds an ejection to 32 s.
	maxEjectionDoublings = 5
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// latencyHalfLife is the age after which the average counts half, so that a
	// replica that was slow is tried again.
	latencyHalfLife = 10 * time.Second
	// warmRequests successes, or warmTime, make a cold replica warm.
	warmRequests = 32
	warmTime     = 10 * time.Second
	// shedBackoff is how long a replica that refused for load is left alone
	// when it names no time; each refusal in a row doubles the time, up to
	// shedDoublings times.
	shedBackoff      = 100 * time.Millisecond
	maxShedDoublings = 5
	// limitScale is the number of limit units in one request.
	limitScale = 1000
	// limitDecrease is the part of the limit that is kept after a shed reply.
	limitDecrease = 0.8
	// maxLimitPerSlot bounds the limit as a multiple of the replica's slots.
	maxLimitPerSlot = 4
)

// Health is what one daemon has seen of one back-end process: its own
// requests in flight, the load that replies report, the latency, the adaptive
// limit, warmth and ejection. It has no clock and does no I/O: the daemon and
// the simulated experiments drive the same code. It is safe for concurrent
// use; its counters are atomic.
type Health struct {
	distance topology.Distance
	cold     bool
	created  time.Time
	place    *PlaceHealth // nil means that the place is not watched

	inFlight       atomic.Int64
	reportedLoad   atomic.Int64
	slots          atomic.Int64
	latency        atomic.Int64 // moving average, nanoseconds
	latencyUpdated atomic.Int64 // time of the last sample, nanoseconds after created
	limit          atomic.Int64 // in units of 1/limitScale requests
	successes      atomic.Int64
	failures       atomic.Int64 // in a row
	ejections      atomic.Int64 // in a row
	ejectedUntil   atomic.Int64 // nanoseconds after created
	sheds          atomic.Int64 // in a row
	shedUntil      atomic.Int64 // nanoseconds after created

	slowdown slowdown
	silence  silenceTimer
	lossRate lossRate
}

// NewHealth returns the health of a process that was first listed now, as a
// daemon at a place sees it.
func NewHealth(replica topology.Replica, self topology.Place, now time.Time) *Health {
	health := &Health{
		distance: self.DistanceTo(replica.Place),
		cold:     replica.State == topology.ReplicaCold,
		created:  now,
	}
	slots := int64(max(1, replica.Slots))
	health.slots.Store(slots)
	health.limit.Store(slots * limitScale)
	return health
}

// WithPlace makes the replica share the health of its place. It is called before the
// first request.
func (h *Health) WithPlace(place *PlaceHealth) *Health {
	h.place = place
	return h
}

// Begin counts a request in flight.
func (h *Health) Begin() { h.inFlight.Add(1) }

// End counts a request out and returns how many are left.
func (h *Health) End() int64 { return h.inFlight.Add(-1) }

// Candidate returns the replica as decision.ChooseReplica sees it. Tried is
// false and ConnectionAvailable true; callers that know better set them.
func (h *Health) Candidate(now time.Time) decision.Candidate {
	// a clock reading taken before the replica was listed counts as age 0
	age := max(0, now.Sub(h.created))
	return decision.Candidate{
		Distance:            h.distance,
		InFlight:            int(h.inFlight.Load()),
		Limit:               max(1, int(h.limit.Load()/limitScale)),
		ReportedLoad:        int(h.reportedLoad.Load()),
		Slots:               int(h.slots.Load()),
		LatencyEWMA:         h.currentLatency(age),
		Warmth:              h.warmth(age),
		Ejected:             int64(age) < h.ejectedUntil.Load() || h.place.suspected(now),
		BackingOff:          int64(age) < h.shedUntil.Load(),
		ConnectionAvailable: true,
	}
}

func (h *Health) currentLatency(age time.Duration) time.Duration {
	halvings := (int64(age) - h.latencyUpdated.Load()) / int64(latencyHalfLife)
	return time.Duration(h.latency.Load() >> min(max(halvings, 0), 62))
}

func (h *Health) warmth(age time.Duration) float64 {
	if !h.cold {
		return 1
	}
	byRequests := float64(h.successes.Load()) / warmRequests
	byTime := float64(age) / float64(warmTime)
	return min(1, max(byRequests, byTime))
}

// ObserveLoad takes in the load that a reply reports.
func (h *Health) ObserveLoad(load backendapi.Load) {
	h.reportedLoad.Store(int64(max(0, load.InFlight+load.Queued)))
	if load.Slots > 0 {
		h.slots.Store(int64(load.Slots))
	}
}

// Observation is what came of one request to a replica.
type Observation struct {
	Outcome decision.Outcome
	// Canceled is true when this daemon ended the request itself.
	Canceled bool
	// Elapsed counts from the sending of the request.
	Elapsed time.Duration
	// RetryAfter is the time to come back that a refusal named, or 0.
	RetryAfter time.Duration
	// Late is true when Elapsed is over what is usual in the group.
	Late bool
}

// Observe takes in how a request ended; true means that the replica is
// ejected now. A refusal is no failure. A request that this daemon gave up is
// one only if it was late: a replica that has gone silent fails no request, as
// each is given up when a hedge wins.
func (h *Health) Observe(now time.Time, ended Observation) (ejected bool) {
	h.observePlace(now, ended)
	switch {
	case ended.Outcome == decision.Success:
		h.lossRate.recordAnswer(now.Sub(h.created))
		h.recordSuccess(now, ended.Elapsed)
	case ended.Outcome == decision.Shed:
		h.lossRate.recordLoss(now.Sub(h.created))
		h.recordShed(now, ended.RetryAfter)
	case ended.Outcome == decision.Invalid:
		h.lossRate.recordLoss(now.Sub(h.created))
		return h.recordFailure(now)
	case ended.Outcome == decision.Failed && ended.Canceled:
		h.recordCanceled(now, ended.Elapsed)
		return ended.Late && h.recordFailure(now)
	case ended.Outcome == decision.Failed:
		h.lossRate.recordLoss(now.Sub(h.created))
		return h.recordFailure(now)
	}
	return false
}

func (h *Health) observePlace(now time.Time, ended Observation) {
	switch {
	case ended.Outcome != decision.Failed:
		h.place.recordAnswer()
	case ended.Late, !ended.Canceled:
		h.place.recordFailure(now)
	}
}

func (h *Health) observeLatency(now time.Time, latency time.Duration) {
	average := h.latency.Load()
	if average == 0 {
		average = int64(latency)
	} else {
		average += int64(latencyWeight * float64(int64(latency)-average))
	}
	h.latency.Store(average)
	h.latencyUpdated.Store(int64(now.Sub(h.created)))
}

func (h *Health) recordSuccess(now time.Time, latency time.Duration) {
	h.observeLatency(now, latency)
	h.successes.Add(1)
	h.failures.Store(0)
	h.ejections.Store(0)
	h.sheds.Store(0)
	h.increaseLimit()
}

// recordCanceled takes the time that was waited as a lower bound of the latency, at
// full weight; without it, a slow replica that always loses to a hedge would
// look fast.
func (h *Health) recordCanceled(now time.Time, waited time.Duration) {
	if int64(waited) > h.latency.Load() {
		h.latency.Store(int64(waited))
		h.latencyUpdated.Store(int64(now.Sub(h.created)))
	}
}

// increaseLimit adds a request to the limit for each limit of successes, while
// the limit is in use.
func (h *Health) increaseLimit() {
	limit := h.limit.Load()
	if 2*h.inFlight.Load()*limitScale < limit {
		return
	}
	most := maxLimitPerSlot * h.slots.Load() * limitScale
	h.limit.Store(min(limit+limitScale*limitScale/limit, most))
}

// slowStart begins with one request at a time: the limit grows by one with each
// round of answers, and a replica that has just started is cold. After a restart
// of all nodes every waiting caller comes at once, each node knows only those
// that have recorded themselves before it, and the replicas still count the
// connections of before.
func (h *Health) slowStart() { h.limit.Store(limitScale) }

// recordShed leaves the replica alone for a while; it is no failure.
func (h *Health) recordShed(now time.Time, retryAfter time.Duration) {
	h.decreaseLimit()
	age := now.Sub(h.created)
	doublings := min(h.sheds.Add(1)-1, maxShedDoublings)
	if retryAfter <= 0 {
		h.shedUntil.Store(int64(age + max(shedBackoff<<doublings, h.lossRate.backoff(age))))
		return
	}
	h.shedUntil.Store(int64(age + retryAfter<<doublings))
}

func (h *Health) decreaseLimit() {
	h.limit.Store(max(limitScale, int64(limitDecrease*float64(h.limit.Load()))))
}

// ShortenEjection shortens an ejection to the first length. It is called when all
// replicas of a group are ejected: that says nothing against any of them, and
// after an outage they should be used again soon.
func (h *Health) ShortenEjection(now time.Time) {
	soon := int64(now.Sub(h.created) + baseEjection)
	if until := h.ejectedUntil.Load(); until > soon {
		h.ejectedUntil.CompareAndSwap(until, soon)
		h.ejections.Store(1)
	}
}

func (h *Health) recordFailure(now time.Time) (ejected bool) {
	if h.failures.Add(1) < ejectAfter && h.ejections.Load() == 0 {
		return false
	}
	h.failures.Store(0)
	doublings := min(h.ejections.Add(1)-1, maxEjectionDoublings)
	length := time.Duration(float64(baseEjection) * math.Exp2(float64(doublings)))
	h.ejectedUntil.Store(int64(now.Add(length).Sub(h.created)))
	return true
}
