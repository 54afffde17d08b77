package query

import "time"

const (
	// minPause is the shortest pause that is compensated. Readings of a meter differ by
	// some milliseconds.
	minPause = 50 * time.Millisecond
	// minTimeAfterPause is the time left to a run after a pause: the deadline is extended
	// up to it, but by no more than the pause. In this time the run reads the replies that
	// arrived during the pause, and replicas that were paused as well can answer. It is well
	// below the half second by which an answer may exceed the configured timeout.
	minTimeAfterPause = 250 * time.Millisecond
)

// pauseCompensation is the time excluded from a run's clock because the process was
// suspended. When a suspended process resumes, the deadlines of its queries and the replies
// to them are due at once; without compensation the deadline would win, and the replies
// would be lost. It reads no clock itself.
type pauseCompensation struct {
	// excluded never decreases.
	excluded time.Duration
	// lastPaused is the process's total paused time at the last update.
	lastPaused time.Duration
}

// update extends excluded after a pause and returns the length of the pause, or 0 if there was
// none. paused is the process's total paused time, elapsed the time since the run's start.
func (p *pauseCompensation) update(paused, elapsed, deadline time.Duration) time.Duration {
	return p.updateLeaving(minTimeAfterPause, paused, elapsed, deadline)
}

// updateLeaving is like update, with left instead of minTimeAfterPause.
func (p *pauseCompensation) updateLeaving(left, paused, elapsed, deadline time.Duration) time.Duration {
	pause := paused - p.lastPaused
	if pause < minPause {
		return 0
	}
	p.lastPaused = paused
	shortfall := elapsed - p.excluded + left - deadline
	p.excluded += max(0, min(pause, shortfall))
	return pause
}
