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
	// limitCut is the part of the queries in flight that stays admitted after
	// a sign of overload.
	limitCut = 0.95
	// limitRaise is by how many queries the limit grows over as many whole
	// answers as it admits.
	limitRaise = 1
	// leastLimit keeps a trickle that shows when the overload is over.
	leastLimit = 4
	// windowsToCut is the number of overloaded windows in a row after which an
	// overload begins: a burst that is soon worked off, as after a restart of all
	// nodes, is none.
	windowsToCut = 2
	// windowsToCutUnknown is windowsToCut until there have been windowsToKnow windows
	// in a row without strain. Before that nothing is known of what the back ends
	// bear: after a restart, or when an index has just got other shards, queries wait
	// for cold replicas, for those that still count connections of before, and for
	// this node's own slow start, and refusing them loses answers for nothing.
	windowsToCutUnknown = 10
	windowsToKnow       = 15
	// mostFutile is the number of cuts in a row that may fail to end a strain.
	mostFutile = 3
	// liftedShare is for how many times as long as cuts have failed no more are
	// made.
	liftedShare = 4
	// windowRaise is by how much the limit grows with each window without strain.
	windowRaise = 1.1
	// cutPause is the least time between two cuts, so that the queries let in
	// before a cut do not cause another.
	cutPause = 50 * time.Millisecond
	// calmAfter is the time since the last cut after which the limit grows by
	// a query for each whole answer, and so doubles with each round.
	calmAfter = 2 * time.Second
	// quietBefore is the time without a sign of strain after which a cut limit is given back
	// with time, doubled each giveBackEvery: where few callers come none makes use of it, and
	// it would stand where it was cut to (a request was refused at a limit of 3, 27 s after the
	// last trouble). An overload shows in single queries long before that.
	quietBefore   = 5 * time.Second
	giveBackEvery = time.Second
)

// adaptiveLimit finds how many queries in flight the back ends bear, by
// additive increase and multiplicative decrease. Many shards answer one query,
// so that a small share of refused sub-requests spoils most answers: it is
// better to refuse whole queries early.
type adaptiveLimit struct {
	units     atomic.Int64
	most      int64
	cutAt     atomic.Int64  // Unix nanoseconds
	overSince atomic.Int64  // time of the first cut of an overload, Unix nanoseconds
	lastShard atomic.Uint64 // hash of the shard of the last sign
	// strainedAt is when a query was last strained or shards refused, givenBackAt when the
	// limit was last raised for want of that; Unix nanoseconds.
	strainedAt  atomic.Int64
	givenBackAt atomic.Int64
	// congestion is of queries with an objective, overloaded the number of its
	// windows since the last without, futile that of the cuts since then, and liftedUntil when cuts begin again
	// after they did not help, Unix nanoseconds.
	congestion congestion
	overloaded atomic.Int32
	// calm is the number of windows in a row without strain, up to windowsToKnow.
	calm        atomic.Int32
	futile      atomic.Int32
	liftedUntil atomic.Int64
	logger      *slog.Logger
}

func (l *adaptiveLimit) start(total int) {
	l.most = int64(total) * limitScale
	l.units.Store(l.most)
}

// forRank returns the number of queries up to which a rank is let in.
func (l *adaptiveLimit) forRank(rank Rank) int64 {
	return max(1, int64(capacityShares[rank]*float64(l.units.Load()))/limitScale)
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

func (e *Outcome) whole() bool { return e.Answered == e.Queried }

func (l *adaptiveLimit) observe(now time.Time, inFlight int64, ended *Outcome) {
	if ended.Congested || ended.Refused > 0 {
		l.strainedAt.Store(now.UnixNano())
	}
	switch {
	case ended.Objective > 0:
		l.observeStrain(now, inFlight, ended)
	case ended.Refused > 0:
		if l.signOfOverload(ended) {
			l.cut(now, inFlight, ended.Duration)
		}
	case ended.whole():
		l.raise(now, inFlight)
	}
}

// giveBack raises a limit that was cut when nothing has shown strain for a while.
func (l *adaptiveLimit) giveBack(now time.Time) {
	units := l.units.Load()
	if units >= l.most {
		return
	}
	sign := max(l.cutAt.Load(), l.strainedAt.Load())
	last := l.givenBackAt.Load()
	quiet, paused := now.UnixNano()-sign >= int64(quietBefore), now.UnixNano()-last >= int64(giveBackEvery)
	if quiet && paused && l.givenBackAt.CompareAndSwap(last, now.UnixNano()) {
		l.units.Store(min(l.most, 2*units))
	}
}

// observeStrain cuts the limit to what the back ends bear at the end of a window
// in which they were overloaded. When cuts do not help, the back ends are slow
// for another reason: refusing queries would cost answers for nothing.
func (l *adaptiveLimit) observeStrain(now time.Time, inFlight int64, ended *Outcome) {
	if now.UnixNano() < l.liftedUntil.Load() {
		return
	}
	lastCut := l.cutAt.Load()
	over, whole := l.congestion.observe(now, time.Unix(0, lastCut), ended)
	if whole && over.overloaded() && l.calm.Load() < windowsToKnow {
		l.calm.Store(0)
	}
	switch units := l.units.Load(); {
	case !whole:
	case over.overloaded() && l.overloaded.Add(1) < l.windowsToCut() && l.lasted(now) == 0:
	case over.overloaded() && l.futile.Add(1) > mostFutile:
		l.lift(now)
	case over.overloaded():
		l.noteCut(now, l.cutAt.Swap(now.UnixNano()))
		borne := min(limitCut*float64(units), over.bearable*limitScale)
		l.units.Store(max(leastLimit*limitScale, int64(borne)))
		l.logger.Info("load limit cut", "limit", float64(l.units.Load())/limitScale, "in_flight", inFlight,
			"strained", over.strained, "ended", over.ended, "rate", over.rate)
	default:
		l.futile.Store(0)
		l.overloaded.Store(0)
		l.noteCalm()
		if over.relaxed() && l.inUse(units, inFlight) {
			l.units.Store(min(l.most, int64(windowRaise*float64(units))))
		}
	}
}

// noteCalm counts a window without strain.
func (l *adaptiveLimit) noteCalm() {
	if l.calm.Load() < windowsToKnow {
		l.calm.Add(1)
	}
}

// windowsToCut is the number of overloaded windows in a row after which an
// overload begins.
func (l *adaptiveLimit) windowsToCut() int32 {
	if l.calm.Load() >= windowsToKnow {
		return windowsToCut
	}
	return windowsToCutUnknown
}

// lift takes back cuts that have not helped, for a while.
func (l *adaptiveLimit) lift(now time.Time) {
	lasted := l.lasted(now)
	l.futile.Store(0)
	l.units.Store(l.most)
	l.liftedUntil.Store(now.Add(max(calmAfter, liftedShare*lasted)).UnixNano())
	l.logger.Info("load limit lifted, as cuts did not help", "after", lasted.String())
}

// inUse is true while queries come near a limit.
func (l *adaptiveLimit) inUse(units, inFlight int64) bool { return 2*inFlight*limitScale >= units }

// signOfOverload is false when the same shard alone is refused as the last
// time: fewer queries would not help a single shard, and cost the others'
// answers.
func (l *adaptiveLimit) signOfOverload(ended *Outcome) bool {
	shard := xxhash.Sum64String(ended.RefusedShard)
	return l.lastShard.Swap(shard) != shard || ended.Refused == ended.Queried
}

func (l *adaptiveLimit) cut(now time.Time, inFlight int64, took time.Duration) {
	last := l.cutAt.Load()
	pause := max(took, cutPause)
	if now.UnixNano()-last < int64(pause) || !l.cutAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.noteCut(now, last)
	held := min(l.units.Load(), inFlight*limitScale)
	l.units.Store(max(leastLimit*limitScale, int64(limitCut*float64(held))))
}

// noteCut begins an overload with a cut that comes long after the last.
func (l *adaptiveLimit) noteCut(now time.Time, last int64) {
	if now.UnixNano()-last > int64(calmAfter) {
		l.overSince.Store(now.UnixNano())
	}
}

// lasted returns for how long there has been an overload, 0 if there is none.
func (l *adaptiveLimit) lasted(now time.Time) time.Duration {
	if now.UnixNano()-l.cutAt.Load() > int64(calmAfter) {
		return 0
	}
	return time.Duration(now.UnixNano() - l.overSince.Load())
}

// raise is only for a limit that is in use.
func (l *adaptiveLimit) raise(now time.Time, inFlight int64) {
	units := l.units.Load()
	if units >= l.most || !l.inUse(units, inFlight) {
		return
	}
	step := int64(limitRaise * limitScale * limitScale / float64(units))
	if now.UnixNano()-l.cutAt.Load() > int64(calmAfter) {
		step = limitScale
	}
	l.units.Store(min(units+step, l.most))
}
