package replica

import (
	"math"
	"sync/atomic"
	"time"
)

// The constants of a replica's speed.
const (
	// speedWeight is the weight of a new sample in the moving average.
	speedWeight = 0.2
	// mostSlowness bounds one sample, so that a single long request does not
	// count for many.
	mostSlowness = 5
	// speedHalfLife is the time in which what is known of a replica that is
	// not asked fades by half, so that it is tried again.
	speedHalfLife = time.Second
	// slowSample is the slowness from which on a sample counts as slow.
	slowSample = 2
)

// speed is how many times longer than usual a replica takes: 1 is the usual
// time of its group's replicas at the same distance, for the same kind of
// request. Its zero value is that of a replica of usual speed. It is safe for
// concurrent use; samples that race each other may be lost.
type speed struct {
	excess   atomic.Uint64 // bits of the moving average less 1
	observed atomic.Int64  // time of the last sample, nanoseconds after the replica was listed
	slowAt   atomic.Int64  // time of the last slow sample that counted
}

// observe takes in a request that took so many times its usual time. Requests
// that were held up together end together, and count as one.
func (s *speed) observe(age, usual time.Duration, slowness float64) {
	if slowness >= slowSample {
		last := s.slowAt.Load()
		if last != 0 && int64(age)-last < int64(slowSample*usual) {
			return
		}
		s.slowAt.Store(int64(age))
	}
	average := s.at(age)
	average += speedWeight * (min(slowness, mostSlowness) - 1 - average)
	s.excess.Store(math.Float64bits(average))
	s.observed.Store(int64(age))
}

// at returns the excess over the usual time, faded by its age.
func (s *speed) at(age time.Duration) float64 {
	halvings := float64(int64(age)-s.observed.Load()) / float64(speedHalfLife)
	return math.Float64frombits(s.excess.Load()) * math.Exp2(-max(0, halvings))
}

// slowness returns how many times longer than usual a request is expected to
// take.
func (s *speed) slowness(age time.Duration) float64 { return max(0.2, 1+s.at(age)) }

// silence notices a replica that holds requests and answers none. Its zero
// value is ready, and it is safe for concurrent use.
type silence struct {
	// since is when the replica was heard last, or began to hold requests.
	since atomic.Int64
}

// began notes that a request was sent; held is the number held with it.
func (s *silence) began(age time.Duration, held int64) {
	if held <= 1 {
		s.since.Store(int64(age))
	}
}

// heard notes an answer.
func (s *silence) heard(age time.Duration) { s.since.Store(int64(age)) }

// lasts returns how long a replica that holds requests has been silent.
func (s *silence) lasts(age time.Duration, held int64) time.Duration {
	if held == 0 {
		return 0
	}
	return age - time.Duration(s.since.Load())
}
