package query

import "time"

const (
	// leastAllowed is the least time without running that is allowed for at a time: below it
	// nothing is won, and a meter's readings differ by some milliseconds.
	leastAllowed = 50 * time.Millisecond
	// wakeTime is for how long a run goes on after a pause at least, as far as the pause has
	// used up its time: what the replicas have answered meanwhile is read in that time, and
	// those that stood still as well answer. It is well under half a second, which a caller
	// may have to wait beyond the time that an operator has set.
	wakeTime = 250 * time.Millisecond
)

// pauseAllowance is the time of a run that is not counted, as its process has not run in it. A process
// that goes on after a pause finds the deadlines of its queries and the answers to them at the
// same moment; without an allowance the deadline came first, and answers that were there were
// thrown away. It is pure: times are arguments.
type pauseAllowance struct {
	// granted never falls.
	granted time.Duration
	// seen is how much time the process had lost in all when that was looked at last.
	seen time.Duration
}

// look takes in how much time the process has lost by now, where so much time has gone by since
// the run's start.
func (a *pauseAllowance) look(lost, elapsed, deadline time.Duration) {
	gap := lost - a.seen
	if gap < leastAllowed {
		return
	}
	a.seen = lost
	needed := elapsed - a.granted + wakeTime - deadline
	a.granted += max(0, min(gap, needed))
}
