package query

import "time"

const (
	// leastPardoned is the least time without running that is pardoned at a time: below it
	// nothing is won, and a meter's readings differ by some milliseconds.
	leastPardoned = 50 * time.Millisecond
	// wakeTime is for how long a run goes on after a pause at least, as far as the pause has
	// used up its time: what the replicas have answered meanwhile is read in that time, and
	// those that stood still as well answer. It is well under half a second, which a caller
	// may have to wait beyond the time that an operator has set.
	wakeTime = 250 * time.Millisecond
)

// pardon is the time of a run that is not counted, as its process has not run in it. A process
// that goes on after a pause finds the deadlines of its queries and the answers to them at the
// same moment; without a pardon the deadline came first, and answers that were there were
// thrown away. It is pure: times are arguments.
type pardon struct {
	// granted never falls.
	granted time.Duration
	// seen is how much time the process had lost in all when that was looked at last.
	seen time.Duration
}

// look takes in how much time the process has lost by now, where so much time has gone by since
// the run's start.
func (p *pardon) look(lost, elapsed, deadline time.Duration) {
	gap := lost - p.seen
	if gap < leastPardoned {
		return
	}
	p.seen = lost
	needed := elapsed - p.granted + wakeTime - deadline
	p.granted += max(0, min(gap, needed))
}
