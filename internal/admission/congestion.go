package admission

import (
	"sync"
	"time"
)

const (
	// minWindowQueries is the number of queries below which a window is not evaluated.
	minWindowQueries = 8
	// congestedFraction is the fraction of congested queries from which a window
	// counts as overloaded. Other problems, such as single slow replicas, leave most
	// queries with most of their shards in time.
	congestedFraction = 0.5
	// headroomFraction is the fraction of congested queries up to which the back ends
	// could take more load.
	headroomFraction = 0.25
	// targetLatencyFraction is the mean query duration to aim for, as a fraction of
	// the shortest objective.
	targetLatencyFraction = 0.5
)

// congestionDetector evaluates completed queries in windows, and estimates the
// capacity of the back ends. Its zero value is ready to use. It is safe for concurrent
// use.
type congestionDetector struct {
	mutex     sync.Mutex
	started   time.Time
	completed int
	congested int
	objective time.Duration // shortest objective in the window
}

// window summarizes the queries that completed in one period.
type window struct {
	completed, congested int
	// rate is the number of completed queries per second.
	rate float64
	// capacity is the number of queries in flight that the back ends can sustain. By
	// Little's law it is the completion rate times the target duration.
	capacity float64
}

func (w *window) overloaded() bool {
	return float64(w.congested) >= congestedFraction*float64(w.completed)
}

// hasHeadroom reports whether the back ends could take more load.
func (w *window) hasHeadroom() bool {
	return float64(w.congested) <= headroomFraction*float64(w.completed)
}

// observe records a completed query. If that closes a window, it returns the window
// and true. Queries admitted before the last cut are ignored, as the cut could not
// affect them.
func (d *congestionDetector) observe(now, lastCut time.Time, outcome *Outcome) (closed window, ok bool) {
	if now.Add(-outcome.Duration).Before(lastCut) {
		return window{}, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.completed == 0 {
		d.started, d.objective = now, outcome.Objective
	}
	d.completed++
	d.objective = min(d.objective, outcome.Objective)
	if outcome.Congested {
		d.congested++
	}
	length := now.Sub(d.started)
	if length < outcome.Objective || d.completed < minWindowQueries {
		return window{}, false
	}
	closed = window{completed: d.completed, congested: d.congested, rate: float64(d.completed) / length.Seconds()}
	closed.capacity = closed.rate * targetLatencyFraction * d.objective.Seconds()
	d.completed, d.congested = 0, 0
	return closed, true
}
