package query

import "time"

const (
	// leastAllowed is the least time without running that is allowed for at a time: below it
	// nothing is won, and a meter's readings differ by some milliseconds.
	minPause = 50 * time.Millisecond
	// wakeTime is for how long a run goes on after a pause at least, as far as the pause has
	// used up its time: what the replicas have answered meanwhile is read in that time, and
	// those that stood still as well answer. It is well under half a second, which a caller
	// may have to wait beyond the time that an operator has set.
	minTimeAfterPause = 250 * time.Millisecond
)

// pauseAllowance is the time of a run that is not counted, as its process has not run in it. A process
// that goes on after a pause finds the deadlines of its queries and the answers to them at the
// same moment; without an allowance the deadline came first, and answers that were there were
// thrown away. It is pure: times are arguments.
type pauseCompensation struct {
	// granted never falls.
	excluded time.Duration
	// seen is how much time the process had lost in all when that was looked at last.
	lastPaused time.Duration
}

// look takes in how much time the process has lost by now, where so much time has gone by since
// the run's start.
func (a *pauseCompensation) update(paused, elapsed, deadline time.Duration) {
	pause := paused - a.lastPaused
	if pause < minPause {
		return
	}
	a.lastPaused = paused
	shortfall := elapsed - a.excluded + minTimeAfterPause - deadline
	a.excluded += max(0, min(pause, shortfall))
}
