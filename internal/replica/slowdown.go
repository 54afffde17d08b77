package replica

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowdownSamples is the number of samples over which the median is taken,
	// so that a single long request does not make a replica count as slow.
	slowdownSamples = 3
	// slowdownHalfLife is the half-life of the estimate for a replica that gets
	// no requests, so that it is tried again.
	slowdownHalfLife = 2 * time.Second
	// lateRatio is the multiple of the median latency from which an answer
	// is late.
	lateRatio = 2
)

// slowdown estimates the ratio of a replica's latency to the median latency of
// its group's replicas at the same distance, for the same kind of request. The
// zero value estimates 1. It is safe for concurrent use.
type slowdown struct {
	mutex    sync.Mutex
	samples  [slowdownSamples]float64 // latency ratio minus 1
	next     int
	updated  time.Duration // time of the last sample, since the replica was listed
	lateAt   time.Duration // time of the last late sample counted
	median   atomic.Uint64 // bits of the median excess
	medianAt atomic.Int64  // copy of updated that is read without the mutex
}

// observe records the latency ratio of a request. Late requests in quick
// succession were usually delayed by the same pause and count once.
func (s *slowdown) observe(age, median time.Duration, ratio float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ratio >= lateRatio {
		if s.lateAt != 0 && age-s.lateAt < lateRatio*median {
			return
		}
		s.lateAt = age
	}
	s.decay(age)
	s.samples[s.next] = ratio - 1
	s.next = (s.next + 1) % slowdownSamples
	s.updated = age
	sorted := s.samples
	slices.Sort(sorted[:])
	s.median.Store(math.Float64bits(sorted[slowdownSamples/2]))
	s.medianAt.Store(int64(age))
}

// decay reduces the samples by the time since the last one.
func (s *slowdown) decay(age time.Duration) {
	factor := slowdownDecay(age - s.updated)
	for i := range s.samples {
		s.samples[i] *= factor
	}
}

func slowdownDecay(elapsed time.Duration) float64 { return decayFactor(elapsed, slowdownHalfLife) }

// decayFactor returns the factor by which a value decays over a time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(elapsed)/float64(halfLife)))
}

// minExcess is the smallest excess with which a replica counts as slow. Smaller
// differences are normal and must not cause a farther replica to be preferred.
const minExcess = 0.5

// factor returns the expected ratio of a request's latency to the median, at
// least 1.
func (s *slowdown) factor(age time.Duration) float64 {
	excess := math.Float64frombits(s.median.Load()) * slowdownDecay(age-time.Duration(s.medianAt.Load()))
	if excess < minExcess {
		return 1
	}
	return 1 + excess
}

// silenceTimer measures how long a replica with requests in flight has not
// answered any. The zero value is ready to use. It is safe for concurrent use.
type silenceTimer struct {
	// since is the time of the last reply or, if later, of the first request
	// sent while none was in flight.
	since atomic.Int64
}

// requestSent records that a request was sent; inFlight includes it.
func (s *silenceTimer) requestSent(age time.Duration, inFlight int64) {
	if inFlight <= 1 {
		s.since.Store(int64(age))
	}
}

// replyReceived records a reply.
func (s *silenceTimer) replyReceived(age time.Duration) { s.since.Store(int64(age)) }

// duration returns how long the replica has not answered, 0 if nothing is in
// flight.
func (s *silenceTimer) duration(age time.Duration, inFlight int64) time.Duration {
	if inFlight == 0 {
		return 0
	}
	return age - time.Duration(s.since.Load())
}
