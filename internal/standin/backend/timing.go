package backend

import (
	"math"
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

// service draws a service time in nanoseconds, without stragglers and cold
// starts.
func (t *Timing) service(random *rand.Rand) float64 {
	if t.Sigma > 0 {
		return float64(Lognormal(t.Base+t.MeanExtra, t.Sigma, random.NormFloat64()))
	}
	return float64(t.Base) + random.ExpFloat64()*float64(t.MeanExtra)
}

// Lognormal turns a standard normal variate into a lognormal time of a mean;
// sigma is the standard deviation of its logarithm.
func Lognormal(mean time.Duration, sigma, normal float64) time.Duration {
	logMean := math.Log(float64(mean)) - sigma*sigma/2
	return time.Duration(math.Exp(logMean + sigma*normal))
}

// draw returns the service time of the next request, times a factor.
func (s *stopwatch) draw(factor float64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	duration := s.timing.service(s.random)
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
