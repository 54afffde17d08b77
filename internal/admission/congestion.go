package admission

import (
	"sync"
	"time"
)

// The constants of a congestion.
const (
	// minWindowQueries is the number of queries below which a window tells nothing.
	minWindowQueries = 8
	// congestedFraction of a window's queries are strained in an overload. In any
	// other trouble, such as slow replicas, most queries have most of their
	// shards in time.
	congestedFraction = 0.5
	// headroomFraction of a window's queries are strained at the most when the back
	// ends could bear more.
	headroomFraction = 0.25
	// targetLatencyFraction of the shortest objective is for how long a query may be in
	// flight, on average, once the load is cut to what the back ends bear.
	targetLatencyFraction = 0.5
)

// congestionDetector tells from how queries end whether the back ends have more to do
// than they bear, and what they bear. Its zero value is ready, and it is safe for
// concurrent use.
type congestionDetector struct {
	mutex     sync.Mutex
	started   time.Time
	completed int
	congested int
	objective time.Duration // the least of those that ended
}

// window is what came of the queries that ended in some time.
type window struct {
	completed, congested int
	// rate is the number that ended in a second.
	rate float64
	// capacity is the number of queries in flight that the back ends bear, by
	// Little's law: as many as end in the time that each may take.
	capacity float64
}

func (w *window) overloaded() bool {
	return float64(w.congested) >= congestedFraction*float64(w.completed)
}

// hasHeadroom is true when the back ends could bear more.
func (w *window) hasHeadroom() bool {
	return float64(w.congested) <= headroomFraction*float64(w.completed)
}

// observe takes in the end of a query, and returns the window that ends with it;
// whole is false when none does. Queries let in before the last cut of the limit
// do not count, as it could not help them.
func (c *congestionDetector) observe(now, lastCut time.Time, ended *Outcome) (over window, whole bool) {
	if now.Add(-ended.Duration).Before(lastCut) {
		return window{}, false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.completed == 0 {
		c.started, c.objective = now, ended.Objective
	}
	c.completed++
	c.objective = min(c.objective, ended.Objective)
	if ended.Congested {
		c.congested++
	}
	length := now.Sub(c.started)
	if length < ended.Objective || c.completed < minWindowQueries {
		return window{}, false
	}
	over = window{completed: c.completed, congested: c.congested, rate: float64(c.completed) / length.Seconds()}
	over.capacity = over.rate * targetLatencyFraction * c.objective.Seconds()
	c.completed, c.congested = 0, 0
	return over, true
}
