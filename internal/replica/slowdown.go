package replica

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The constants of a replica's speed.
const (
	// slowdownSamples is the number of latest samples of which the median counts:
	// a single long request, or a pause, does not make a replica slow.
	slowdownSamples = 3
	// slowdownHalfLife is the time in which what is known of a replica that is
	// not asked fades by half, so that it is tried again.
	slowdownHalfLife = 2 * time.Second
	// lateRatio is how many times its usual time an answer takes when it is
	// late.
	lateRatio = 2
)

// slowdown is how many times longer than usual a replica takes: 1 is the usual
// time of its group's replicas at the same distance, for the same kind of
// request. Its zero value is that of a replica of usual slowdown. It is safe for
// concurrent use.
type slowdown struct {
	mutex    sync.Mutex
	samples  [slowdownSamples]float64 // excess over the usual time
	next     int
	updated  time.Duration // time of the last sample, after the replica was listed
	lateAt   time.Duration // time of the last late sample that counted
	median   atomic.Uint64 // bits of the median excess
	medianAt atomic.Int64  // observed, for readers without the mutex
}

// observe takes in a request that took so many times its usual time. Requests
// that were held up together end together, and count as one.
func (s *slowdown) observe(age, usual time.Duration, slowness float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slowness >= lateRatio {
		if s.lateAt != 0 && age-s.lateAt < lateRatio*usual {
			return
		}
		s.lateAt = age
	}
	s.decay(age)
	s.samples[s.next] = slowness - 1
	s.next = (s.next + 1) % slowdownSamples
	s.updated = age
	sorted := s.samples
	slices.Sort(sorted[:])
	s.median.Store(math.Float64bits(sorted[slowdownSamples/2]))
	s.medianAt.Store(int64(age))
}

// decay lets the samples decay by the time since the last one.
func (s *slowdown) decay(age time.Duration) {
	left := slowdownDecay(age - s.updated)
	for i := range s.samples {
		s.samples[i] *= left
	}
}

func slowdownDecay(since time.Duration) float64 { return decayFactor(since, slowdownHalfLife) }

// decayFactor is what is left of a value that fades by half in a time.
func decayFactor(since, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(since)/float64(halfLife)))
}

// minExcess is the excess from which on a replica counts as slow. Requests
// differ among themselves by less than that, and a farther replica must not be
// preferred for it.
const minExcess = 0.5

// factor returns how many times longer than usual a request is expected to
// take: 1, or more for a slow replica.
func (s *slowdown) factor(age time.Duration) float64 {
	excess := math.Float64frombits(s.median.Load()) * slowdownDecay(age-time.Duration(s.medianAt.Load()))
	if excess < minExcess {
		return 1
	}
	return 1 + excess
}

// silenceTimer notices a replica that holds requests and answers none. Its zero
// value is ready, and it is safe for concurrent use.
type silenceTimer struct {
	// since is when the replica was heard last, or began to hold requests.
	since atomic.Int64
}

// requestSent notes that a request was sent; held is the number held with it.
func (s *silenceTimer) requestSent(age time.Duration, held int64) {
	if held <= 1 {
		s.since.Store(int64(age))
	}
}

// replyReceived notes an answer.
func (s *silenceTimer) replyReceived(age time.Duration) { s.since.Store(int64(age)) }

// duration returns how long a replica that holds requests has been silent.
func (s *silenceTimer) duration(age time.Duration, held int64) time.Duration {
	if held == 0 {
		return 0
	}
	return age - time.Duration(s.since.Load())
}
