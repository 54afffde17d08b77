package admission

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// limitScale is the number of limit units per query.
	limitScale = 1000
	// cutFactor is the multiplicative decrease applied on overload.
	cutFactor = 0.95
	// additiveIncrease is the number of queries by which the limit grows per
	// limit's worth of complete answers.
	additiveIncrease = 1
	// minLimit keeps enough queries flowing to detect the end of an overload.
	minLimit = 4
	// overloadWindows is the number of consecutive overloaded windows that start
	// an overload. Short bursts, for example after a restart of all nodes, are
	// thereby ignored.
	overloadWindows = 2
	// initialOverloadWindows replaces overloadWindows until calibrationWindows
	// consecutive windows without congestion have been seen. After a restart or a
	// shard reassignment, queries are slow for reasons other than load (cold
	// replicas, stale connections, the node's own warm-up), so rejecting them would
	// lose answers without relieving the back ends.
	initialOverloadWindows = 10
	calibrationWindows     = 15
	// maxIneffectiveCuts is the number of consecutive cuts that may fail to end
	// congestion before cuts are suspended.
	maxIneffectiveCuts = 3
	// suspensionFactor is the duration of a suspension of cuts as a multiple of the
	// overload that they failed to end.
	suspensionFactor = 4
	// windowIncrease is the growth factor of the limit per window without congestion.
	windowIncrease = 1.1
	// minCutInterval prevents queries admitted before a cut from causing another.
	minCutInterval = 50 * time.Millisecond
	// overloadExpiry is the time after the last cut at which an overload counts as
	// over. From then on the limit grows by one query per complete answer, which
	// doubles it per round trip.
	overloadExpiry = 2 * time.Second
	// restoreDelay is the time without congestion after which a reduced limit is
	// doubled every restoreInterval. Under low traffic the limit is never in use, so
	// it would not grow otherwise: a request was refused at a limit of 3, 27 s after the
	// last fault.
	restoreDelay    = 5 * time.Second
	restoreInterval = time.Second
)

// adaptiveLimit estimates how many queries in flight the back ends can sustain, by
// additive increase and multiplicative decrease. A query spans many shards, so even
// a small fraction of rejected sub-requests makes most answers incomplete; it is
// better to reject whole queries early.
type adaptiveLimit struct {
	units            atomic.Int64
	maxUnits         int64
	lastCutAt        atomic.Int64  // Unix nanoseconds
	overloadSince    atomic.Int64  // time of the first cut of the overload, Unix nanoseconds
	lastRefusedShard atomic.Uint64 // hash of the shard last seen in an overload signal
	// lastCongestedAt is when a query was last congested or had refused shards,
	// lastRestoredAt when restore last raised the limit; Unix nanoseconds.
	lastCongestedAt atomic.Int64
	lastRestoredAt  atomic.Int64
	// detector observes the queries that have an objective.
	detector congestionDetector
	// overloadedWindows and ineffectiveCuts count the overloaded windows and the cuts
	// since the last window that was not overloaded.
	overloadedWindows atomic.Int32
	// uncongestedWindows counts consecutive windows without overload, up to
	// calibrationWindows.
	uncongestedWindows atomic.Int32
	ineffectiveCuts    atomic.Int32
	cutsSuspendedUntil atomic.Int64 // Unix nanoseconds
	logger             *slog.Logger
}

func (l *adaptiveLimit) start(maxInFlight int) {
	l.maxUnits = int64(maxInFlight) * limitScale
	l.units.Store(l.maxUnits)
}

// current returns the number of queries in flight up to which the most urgent ones are admitted.
func (l *adaptiveLimit) current() float64 { return float64(l.units.Load()) / limitScale }

// forRank returns the number of queries in flight up to which a rank is admitted.
func (l *adaptiveLimit) forRank(rank Rank) int64 {
	return max(1, int64(rankFractions[rank]*float64(l.units.Load()))/limitScale)
}

// Outcome describes how an admitted query ended.
type Outcome struct {
	Duration time.Duration
	// Paused is the part of Duration for which this process was paused.
	Paused time.Duration
	// Queried and Answered are numbers of shards. Refused is the number of shards
	// whose replicas all rejected the request for load.
	Queried  int
	Answered int
	Refused  int
	// RefusedShard names one of the refused shards.
	RefusedShard string
	// Objective is the latency objective of the query; 0 if it has none.
	Objective time.Duration
	// Congested reports whether even the faster half of the shards used much of the
	// objective, or was queried late. It is ignored if Objective is 0.
	Congested bool
}

func (o *Outcome) complete() bool { return o.Answered == o.Queried }

func (l *adaptiveLimit) observe(now time.Time, inFlight int64, outcome *Outcome) {
	if outcome.Congested || outcome.Refused > 0 {
		l.lastCongestedAt.Store(now.UnixNano())
	}
	switch {
	case outcome.Objective > 0:
		l.observeWindowed(now, inFlight, outcome)
	case outcome.Refused > 0:
		if l.indicatesOverload(outcome) {
			l.cut(now, inFlight, outcome.Duration)
		}
	case outcome.complete():
		l.raise(now, inFlight)
	}
}

// restore raises a reduced limit after a period without congestion.
func (l *adaptiveLimit) restore(now time.Time) {
	units := l.units.Load()
	if units >= l.maxUnits {
		return
	}
	lastCongested := max(l.lastCutAt.Load(), l.lastCongestedAt.Load())
	last := l.lastRestoredAt.Load()
	delayPassed, intervalPassed := now.UnixNano()-lastCongested >= int64(restoreDelay), now.UnixNano()-last >= int64(restoreInterval)
	if delayPassed && intervalPassed && l.lastRestoredAt.CompareAndSwap(last, now.UnixNano()) {
		l.units.Store(min(l.maxUnits, 2*units))
	}
}

// observeWindowed cuts the limit to the estimated capacity of the back ends at the
// end of an overloaded window. If cuts do not end the congestion, the back ends are
// slow for another reason and cuts are suspended.
func (l *adaptiveLimit) observeWindowed(now time.Time, inFlight int64, outcome *Outcome) {
	if now.UnixNano() < l.cutsSuspendedUntil.Load() {
		return
	}
	lastCut := l.lastCutAt.Load()
	closed, ok := l.detector.observe(now, time.Unix(0, lastCut), outcome)
	if ok && closed.overloaded() && l.uncongestedWindows.Load() < calibrationWindows {
		l.uncongestedWindows.Store(0)
	}
	switch units := l.units.Load(); {
	case !ok:
	case closed.overloaded() && l.overloadedWindows.Add(1) < l.overloadWindowThreshold() && l.overloadDuration(now) == 0:
	case closed.overloaded() && l.ineffectiveCuts.Add(1) > maxIneffectiveCuts:
		l.suspendCuts(now)
	case closed.overloaded():
		l.recordCut(now, l.lastCutAt.Swap(now.UnixNano()))
		reduced := min(cutFactor*float64(units), closed.capacity*limitScale)
		l.units.Store(max(minLimit*limitScale, int64(reduced)))
		l.logger.Info("concurrency limit reduced", "limit", float64(l.units.Load())/limitScale, "in_flight", inFlight,
			"strained", closed.congested, "ended", closed.completed, "rate", closed.rate)
	default:
		l.ineffectiveCuts.Store(0)
		l.overloadedWindows.Store(0)
		l.recordUncongestedWindow()
		if closed.hasHeadroom() && l.inUse(units, inFlight) {
			l.units.Store(min(l.maxUnits, int64(windowIncrease*float64(units))))
		}
	}
}

func (l *adaptiveLimit) recordUncongestedWindow() {
	if l.uncongestedWindows.Load() < calibrationWindows {
		l.uncongestedWindows.Add(1)
	}
}

// overloadWindowThreshold returns the number of consecutive overloaded windows that
// start an overload.
func (l *adaptiveLimit) overloadWindowThreshold() int32 {
	if l.uncongestedWindows.Load() >= calibrationWindows {
		return overloadWindows
	}
	return initialOverloadWindows
}

// suspendCuts restores the full limit and disables cuts for a while.
func (l *adaptiveLimit) suspendCuts(now time.Time) {
	lasted := l.overloadDuration(now)
	l.ineffectiveCuts.Store(0)
	l.units.Store(l.maxUnits)
	l.cutsSuspendedUntil.Store(now.Add(max(overloadExpiry, suspensionFactor*lasted)).UnixNano())
	l.logger.Info("concurrency limit restored: reductions did not end the congestion", "after", lasted.String())
}

// inUse reports whether at least half of the limit is in flight.
func (l *adaptiveLimit) inUse(units, inFlight int64) bool { return 2*inFlight*limitScale >= units }

// indicatesOverload reports whether refused shards call for a cut. It returns false
// if the same single shard is refused again: admitting fewer queries would not
// relieve it, and would lose the answers of the other shards.
func (l *adaptiveLimit) indicatesOverload(outcome *Outcome) bool {
	shard := xxhash.Sum64String(outcome.RefusedShard)
	return l.lastRefusedShard.Swap(shard) != shard || outcome.Refused == outcome.Queried
}

func (l *adaptiveLimit) cut(now time.Time, inFlight int64, took time.Duration) {
	last := l.lastCutAt.Load()
	interval := max(took, minCutInterval)
	if now.UnixNano()-last < int64(interval) || !l.lastCutAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.recordCut(now, last)
	effective := min(l.units.Load(), inFlight*limitScale)
	l.units.Store(max(minLimit*limitScale, int64(cutFactor*float64(effective))))
}

// recordCut starts a new overload unless the last cut belongs to a current one.
func (l *adaptiveLimit) recordCut(now time.Time, last int64) {
	if now.UnixNano()-last > int64(overloadExpiry) {
		l.overloadSince.Store(now.UnixNano())
	}
}

// overloadDuration returns how long the current overload has lasted, or 0 if there is
// none.
func (l *adaptiveLimit) overloadDuration(now time.Time) time.Duration {
	if now.UnixNano()-l.lastCutAt.Load() > int64(overloadExpiry) {
		return 0
	}
	return time.Duration(now.UnixNano() - l.overloadSince.Load())
}

// raise increases the limit if it is in use.
func (l *adaptiveLimit) raise(now time.Time, inFlight int64) {
	units := l.units.Load()
	if units >= l.maxUnits || !l.inUse(units, inFlight) {
		return
	}
	step := int64(additiveIncrease * limitScale * limitScale / float64(units))
	if now.UnixNano()-l.lastCutAt.Load() > int64(overloadExpiry) {
		step = limitScale
	}
	l.units.Store(min(units+step, l.maxUnits))
}
