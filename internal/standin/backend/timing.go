package backend

import (
	"math/rand/v2"
	"sync"
	"time"
)

// stopwatch draws service times from a Timing.
type stopwatch struct {
	mutex  sync.Mutex
	random *rand.Rand
	timing Timing
	served int64
}

func newStopwatch(timing Timing, seed uint64) *stopwatch {
	return &stopwatch{timing: timing, random: rand.New(rand.NewPCG(seed, seed))}
}

// draw returns the service time of the next request, times a factor.
func (s *stopwatch) draw(factor float64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	duration := float64(s.timing.Base) + s.random.ExpFloat64()*float64(s.timing.MeanExtra)
	if s.random.Float64() < s.timing.StragglerShare {
		duration *= s.timing.StragglerFactor
	}
	if s.coldLocked() {
		duration *= s.timing.ColdFactor
	}
	s.served++
	if factor > 0 {
		duration *= factor
	}
	return time.Duration(duration)
}

// cold reports whether the replica has served too few requests to be fast.
func (s *stopwatch) cold() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.coldLocked()
}

func (s *stopwatch) coldLocked() bool { return s.served < s.timing.ColdRequests }

func (s *stopwatch) set(timing Timing) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.timing = timing
}
