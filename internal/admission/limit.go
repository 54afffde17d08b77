package admission

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The constants of the adaptive limit.
const (
	// limitScale is the number of limit units in one query.
	limitScale = 1000
	// cutFactor is the part of the queries in flight that stays admitted after
	// a sign of overload.
	cutFactor = 0.95
	// additiveIncrease is by how many queries the limit grows over as many whole
	// answers as it admits.
	additiveIncrease = 1
	// minLimit keeps a trickle that shows when the overload is over.
	minLimit = 4
	// overloadWindows is the number of overloaded windows in a row after which an
	// overload begins: a burst that is soon worked off, as after a restart of all
	// nodes, is none.
	overloadWindows = 2
	// initialOverloadWindows is windowsToCut until there have been windowsToKnow windows
	// in a row without strain. Before that nothing is known of what the back ends
	// bear: after a restart, or when an index has just got other shards, queries wait
	// for cold replicas, for those that still count connections of before, and for
	// this node's own slow start, and refusing them loses answers for nothing.
	initialOverloadWindows = 10
	calibrationWindows     = 15
	// maxIneffectiveCuts is the number of cuts in a row that may fail to end a strain.
	maxIneffectiveCuts = 3
	// suspensionFactor is for how many times as long as cuts have failed no more are
	// made.
	suspensionFactor = 4
	// windowIncrease is by how much the limit grows with each window without strain.
	windowIncrease = 1.1
	// minCutInterval is the least time between two cuts, so that the queries let in
	// before a cut do not cause another.
	minCutInterval = 50 * time.Millisecond
	// overloadExpiry is the time since the last cut after which the limit grows by
	// a query for each whole answer, and so doubles with each round.
	overloadExpiry = 2 * time.Second
	// restoreDelay is the time without a sign of strain after which a cut limit is given back
	// with time, doubled each giveBackEvery: where few callers come none makes use of it, and
	// it would stand where it was cut to (a request was refused at a limit of 3, 27 s after the
	// last trouble). An overload shows in single queries long before that.
	restoreDelay    = 5 * time.Second
	restoreInterval = time.Second
)

// adaptiveLimit finds how many queries in flight the back ends bear, by
// additive increase and multiplicative decrease. Many shards answer one query,
// so that a small share of refused sub-requests spoils most answers: it is
// better to refuse whole queries early.
type adaptiveLimit struct {
	units            atomic.Int64
	maxUnits         int64
	lastCutAt        atomic.Int64  // Unix nanoseconds
	overloadSince    atomic.Int64  // time of the first cut of an overload, Unix nanoseconds
	lastRefusedShard atomic.Uint64 // hash of the shard of the last sign
	// lastCongestedAt is when a query was last strained or shards refused, givenBackAt when the
	// limit was last raised for want of that; Unix nanoseconds.
	lastCongestedAt atomic.Int64
	lastRestoredAt  atomic.Int64
	// detector is of queries with an objective, overloaded the number of its
	// windows since the last without, futile that of the cuts since then, and liftedUntil when cuts begin again
	// after they did not help, Unix nanoseconds.
	detector          congestionDetector
	overloadedWindows atomic.Int32
	// uncongestedWindows is the number of windows in a row without strain, up to windowsToKnow.
	uncongestedWindows atomic.Int32
	ineffectiveCuts    atomic.Int32
	cutsSuspendedUntil atomic.Int64
	logger             *slog.Logger
}

func (l *adaptiveLimit) start(total int) {
	l.maxUnits = int64(total) * limitScale
	l.units.Store(l.maxUnits)
}

// forRank returns the number of queries up to which a rank is let in.
func (l *adaptiveLimit) forRank(rank Rank) int64 {
	return max(1, int64(rankFractions[rank]*float64(l.units.Load()))/limitScale)
}

// Outcome is what came of a query that was let in.
type Outcome struct {
	Duration time.Duration
	// Queried and Answered are numbers of shards; Refused is the number of those
	// that no replica took for load.
	Queried  int
	Answered int
	Refused  int
	// RefusedShard names one of the refused shards.
	RefusedShard string
	// Objective is the time within which an answer is of full worth; 0 when
	// there is none.
	Objective time.Duration
	// Congested is true when even the faster half of the shards took much of the
	// objective, or was asked late. It counts only with an Objective.
	Congested bool
}

func (e *Outcome) complete() bool { return e.Answered == e.Queried }

func (l *adaptiveLimit) observe(now time.Time, inFlight int64, ended *Outcome) {
	if ended.Congested || ended.Refused > 0 {
		l.lastCongestedAt.Store(now.UnixNano())
	}
	switch {
	case ended.Objective > 0:
		l.observeWindowed(now, inFlight, ended)
	case ended.Refused > 0:
		if l.indicatesOverload(ended) {
			l.cut(now, inFlight, ended.Duration)
		}
	case ended.complete():
		l.raise(now, inFlight)
	}
}

// restore raises a limit that was cut when nothing has shown strain for a while.
func (l *adaptiveLimit) restore(now time.Time) {
	units := l.units.Load()
	if units >= l.maxUnits {
		return
	}
	sign := max(l.lastCutAt.Load(), l.lastCongestedAt.Load())
	last := l.lastRestoredAt.Load()
	quiet, paused := now.UnixNano()-sign >= int64(restoreDelay), now.UnixNano()-last >= int64(restoreInterval)
	if quiet && paused && l.lastRestoredAt.CompareAndSwap(last, now.UnixNano()) {
		l.units.Store(min(l.maxUnits, 2*units))
	}
}

// observeWindowed cuts the limit to what the back ends bear at the end of a window
// in which they were overloaded. When cuts do not help, the back ends are slow
// for another reason: refusing queries would cost answers for nothing.
func (l *adaptiveLimit) observeWindowed(now time.Time, inFlight int64, ended *Outcome) {
	if now.UnixNano() < l.cutsSuspendedUntil.Load() {
		return
	}
	lastCut := l.lastCutAt.Load()
	over, whole := l.detector.observe(now, time.Unix(0, lastCut), ended)
	if whole && over.overloaded() && l.uncongestedWindows.Load() < calibrationWindows {
		l.uncongestedWindows.Store(0)
	}
	switch units := l.units.Load(); {
	case !whole:
	case over.overloaded() && l.overloadedWindows.Add(1) < l.overloadWindowThreshold() && l.overloadDuration(now) == 0:
	case over.overloaded() && l.ineffectiveCuts.Add(1) > maxIneffectiveCuts:
		l.suspendCuts(now)
	case over.overloaded():
		l.recordCut(now, l.lastCutAt.Swap(now.UnixNano()))
		borne := min(cutFactor*float64(units), over.capacity*limitScale)
		l.units.Store(max(minLimit*limitScale, int64(borne)))
		l.logger.Info("load limit cut", "limit", float64(l.units.Load())/limitScale, "in_flight", inFlight,
			"strained", over.congested, "ended", over.completed, "rate", over.rate)
	default:
		l.ineffectiveCuts.Store(0)
		l.overloadedWindows.Store(0)
		l.recordUncongestedWindow()
		if over.hasHeadroom() && l.inUse(units, inFlight) {
			l.units.Store(min(l.maxUnits, int64(windowIncrease*float64(units))))
		}
	}
}

// recordUncongestedWindow counts a window without strain.
func (l *adaptiveLimit) recordUncongestedWindow() {
	if l.uncongestedWindows.Load() < calibrationWindows {
		l.uncongestedWindows.Add(1)
	}
}

// overloadWindowThreshold is the number of overloaded windows in a row after which an
// overload begins.
func (l *adaptiveLimit) overloadWindowThreshold() int32 {
	if l.uncongestedWindows.Load() >= calibrationWindows {
		return overloadWindows
	}
	return initialOverloadWindows
}

// suspendCuts takes back cuts that have not helped, for a while.
func (l *adaptiveLimit) suspendCuts(now time.Time) {
	lasted := l.overloadDuration(now)
	l.ineffectiveCuts.Store(0)
	l.units.Store(l.maxUnits)
	l.cutsSuspendedUntil.Store(now.Add(max(overloadExpiry, suspensionFactor*lasted)).UnixNano())
	l.logger.Info("load limit lifted, as cuts did not help", "after", lasted.String())
}

// inUse is true while queries come near a limit.
func (l *adaptiveLimit) inUse(units, inFlight int64) bool { return 2*inFlight*limitScale >= units }

// indicatesOverload is false when the same shard alone is refused as the last
// time: fewer queries would not help a single shard, and cost the others'
// answers.
func (l *adaptiveLimit) indicatesOverload(ended *Outcome) bool {
	shard := xxhash.Sum64String(ended.RefusedShard)
	return l.lastRefusedShard.Swap(shard) != shard || ended.Refused == ended.Queried
}

func (l *adaptiveLimit) cut(now time.Time, inFlight int64, took time.Duration) {
	last := l.lastCutAt.Load()
	pause := max(took, minCutInterval)
	if now.UnixNano()-last < int64(pause) || !l.lastCutAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.recordCut(now, last)
	held := min(l.units.Load(), inFlight*limitScale)
	l.units.Store(max(minLimit*limitScale, int64(cutFactor*float64(held))))
}

// recordCut begins an overload with a cut that comes long after the last.
func (l *adaptiveLimit) recordCut(now time.Time, last int64) {
	if now.UnixNano()-last > int64(overloadExpiry) {
		l.overloadSince.Store(now.UnixNano())
	}
}

// overloadDuration returns for how long there has been an overload, 0 if there is none.
func (l *adaptiveLimit) overloadDuration(now time.Time) time.Duration {
	if now.UnixNano()-l.lastCutAt.Load() > int64(overloadExpiry) {
		return 0
	}
	return time.Duration(now.UnixNano() - l.overloadSince.Load())
}

// raise is only for a limit that is in use.
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
