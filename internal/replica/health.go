package replica

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// ejectAfter is the number of consecutive failures after which a replica is
	// ejected. A replica that has not answered since its last ejection is
	// ejected again after a single failure.
	ejectAfter = 3
	// baseEjection is the duration of the first ejection; it doubles with each
	// consecutive one.
	baseEjection = time.Second
	// maxEjectionDoublings limits an ejection to 32 s.
	maxEjectionDoublings = 5
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// latencyHalfLife is the age at which the average latency is halved, so
	// that a replica that was slow is tried again.
	latencyHalfLife = 10 * time.Second
	// A cold replica becomes warm after warmRequests successes or after
	// warmTime.
	warmRequests = 32
	warmTime     = 10 * time.Second
	// shedBackoff is how long a replica that shed a request without a
	// Retry-After is avoided. Each consecutive one doubles the time, up to
	// maxShedDoublings times.
	shedBackoff      = 100 * time.Millisecond
	maxShedDoublings = 5
	// limitScale is the number of limit units per request.
	limitScale = 1000
	// limitDecrease is the factor applied to the limit after a shed reply.
	limitDecrease = 0.8
	// minCutInterval is the minimum time between two decreases for shed replies, if the latency
	// is shorter. A replica that was paused rejects much of what arrived meanwhile, which is one
	// sign of overload and not many.
	minCutInterval = 20 * time.Millisecond
	// maxLimitPerSlot bounds the limit as a multiple of the replica's slots.
	maxLimitPerSlot = 4
)

// Health tracks one backend process as seen by one daemon: its requests in
// flight, reported load, latency, adaptive concurrency limit, warm-up and
// ejection. It has no clock and does no I/O, so that the daemon and simulations
// run the same code. It is safe for concurrent use.
type Health struct {
	distance topology.Distance
	cold     bool
	created  time.Time
	place    *PlaceHealth // nil if place health is not tracked

	inFlight       atomic.Int64
	reportedLoad   atomic.Int64
	slots          atomic.Int64
	latency        atomic.Int64 // moving average, nanoseconds
	latencyUpdated atomic.Int64 // time of the last latency sample, nanoseconds after created
	limit          atomic.Int64 // in units of 1/limitScale requests
	successes      atomic.Int64
	failures       atomic.Int64 // consecutive
	ejections      atomic.Int64 // consecutive
	ejectedUntil   atomic.Int64 // nanoseconds after created
	sheds          atomic.Int64 // consecutive
	shedUntil      atomic.Int64 // nanoseconds after created
	lastShed       atomic.Int64 // nanoseconds after created, 0 if never
	lastCut        atomic.Int64 // last decrease of limit for a shed reply, nanoseconds after created

	slowdown slowdown
	silence  silenceTimer
	lossRate lossRate
}

// NewHealth returns the health of a process first listed at now, as seen from a
// daemon at self.
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

// WithPlace makes the replica share the health of its place. It must be called
// before the first request.
func (h *Health) WithPlace(place *PlaceHealth) *Health {
	h.place = place
	return h
}

// Begin counts a request in flight.
func (h *Health) Begin() { h.inFlight.Add(1) }

// End removes a request in flight and returns the number that remain.
func (h *Health) End() int64 { return h.inFlight.Add(-1) }

// Candidate describes the replica for decision.ChooseReplica. Tried is false
// and ConnectionAvailable is true; callers adjust them as needed.
func (h *Health) Candidate(now time.Time) decision.Candidate {
	// now may have been read before the replica was listed
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

// ObserveLoad records the load reported in a reply.
func (h *Health) ObserveLoad(load backendapi.Load) {
	h.reportedLoad.Store(int64(max(0, load.InFlight+load.Queued)))
	if load.Slots > 0 {
		h.slots.Store(int64(load.Slots))
	}
}

// Observation is the result of one request to a replica.
type Observation struct {
	Outcome decision.Outcome
	// Canceled is set if this daemon canceled the request.
	Canceled bool
	// Elapsed is the time since the request was sent.
	Elapsed time.Duration
	// RetryAfter is the delay requested by a refusal, or 0.
	RetryAfter time.Duration
	// Late is set if Elapsed exceeds the typical latency of the group.
	Late bool
}

// Observe records the result of a request. It reports whether the replica has
// been ejected by it. A refusal is not a failure. A canceled request is a
// failure only if it was late: a replica that stops responding never fails a
// request, because each one is canceled when its hedge wins.
func (h *Health) Observe(now time.Time, observation Observation) (ejected bool) {
	h.observePlace(now, observation)
	switch {
	case observation.Outcome == decision.Success:
		h.lossRate.recordAnswer(now.Sub(h.created))
		h.recordSuccess(now, observation.Elapsed)
	case observation.Outcome == decision.Shed:
		h.lossRate.recordLoss(now.Sub(h.created))
		h.recordShed(now, observation.RetryAfter)
	case observation.Outcome == decision.Invalid:
		h.lossRate.recordLoss(now.Sub(h.created))
		return h.recordFailure(now)
	case observation.Outcome == decision.Failed && observation.Canceled:
		h.recordCanceled(now, observation.Elapsed)
		return observation.Late && h.recordFailure(now)
	case observation.Outcome == decision.Failed:
		h.lossRate.recordLoss(now.Sub(h.created))
		return h.recordFailure(now)
	}
	return false
}

func (h *Health) observePlace(now time.Time, observation Observation) {
	switch {
	case observation.Outcome != decision.Failed:
		h.place.recordAnswer()
	case observation.Late, !observation.Canceled:
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

// recordCanceled uses the time waited as a lower bound of the latency, at full
// weight. Otherwise a slow replica that always loses to a hedge would look
// fast.
func (h *Health) recordCanceled(now time.Time, waited time.Duration) {
	if int64(waited) > h.latency.Load() {
		h.latency.Store(int64(waited))
		h.latencyUpdated.Store(int64(now.Sub(h.created)))
	}
}

// increaseLimit raises the limit by one request per limit's worth of successes,
// while at least half of the limit is in use.
func (h *Health) increaseLimit() {
	limit := h.limit.Load()
	if 2*h.inFlight.Load()*limitScale < limit {
		return
	}
	maximum := maxLimitPerSlot * h.slots.Load() * limitScale
	h.limit.Store(min(limit+limitScale*limitScale/limit, maximum))
}

// slowStart sets the limit to one request, from which it grows by one per round
// of answers. It protects replicas after a restart of all nodes, when waiting
// callers arrive together, each node knows only some of the others and replicas
// still count the connections from before the restart.
func (h *Health) slowStart() { h.limit.Store(limitScale) }

// recordShed makes the replica back off. A shed request is not a failure.
func (h *Health) recordShed(now time.Time, retryAfter time.Duration) {
	age := now.Sub(h.created)
	h.lastShed.Store(int64(age))
	if last := h.lastCut.Load(); last == 0 || int64(age)-last >= max(int64(minCutInterval), h.latency.Load()) {
		h.lastCut.Store(int64(age))
		h.decreaseLimit()
	}
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

// ShortenEjection reduces an ejection to the base duration. It is called when
// all replicas of a group are ejected, so that they are retried soon after an
// outage.
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
