package admission

import (
	"sync"
	"time"
)

// The constants of a congestion.
const (
	// leastEnded is the number of queries below which a window tells nothing.
	leastEnded = 8
	// strainedShare of a window's queries are strained in an overload. In any
	// other trouble, such as slow replicas, most queries have most of their
	// shards in time.
	strainedShare = 0.5
	// relaxedShare of a window's queries are strained at the most when the back
	// ends could bear more.
	relaxedShare = 0.25
	// timeShare of the shortest objective is for how long a query may be in
	// flight, on average, once the load is cut to what the back ends bear.
	timeShare = 0.5
)

// congestion tells from how queries end whether the back ends have more to do
// than they bear, and what they bear. Its zero value is ready, and it is safe for
// concurrent use.
type congestion struct {
	mutex     sync.Mutex
	started   time.Time
	ended     int
	strained  int
	objective time.Duration // the least of those that ended
}

// window is what came of the queries that ended in some time.
type window struct {
	ended, strained int
	// rate is the number that ended in a second.
	rate float64
	// bearable is the number of queries in flight that the back ends bear, by
	// Little's law: as many as end in the time that each may take.
	bearable float64
}

func (w *window) overloaded() bool { return float64(w.strained) >= strainedShare*float64(w.ended) }

// relaxed is true when the back ends could bear more.
func (w *window) relaxed() bool { return float64(w.strained) <= relaxedShare*float64(w.ended) }

// observe takes in the end of a query, and returns the window that ends with it;
// whole is false when none does. Queries let in before the last cut of the limit
// do not count, as it could not help them.
func (c *congestion) observe(now, lastCut time.Time, ended *Outcome) (over window, whole bool) {
	if now.Add(-ended.Duration).Before(lastCut) {
		return window{}, false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended == 0 {
		c.started, c.objective = now, ended.Objective
	}
	c.ended++
	c.objective = min(c.objective, ended.Objective)
	if ended.Congested {
		c.strained++
	}
	length := now.Sub(c.started)
	if length < ended.Objective || c.ended < leastEnded {
		return window{}, false
	}
	over = window{ended: c.ended, strained: c.strained, rate: float64(c.ended) / length.Seconds()}
	over.bearable = over.rate * timeShare * c.objective.Seconds()
	c.ended, c.strained = 0, 0
	return over, true
}
