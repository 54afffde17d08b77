package replica

import (
	"sync"
	"time"
)

// The constants of the share of lost requests.
const (
	// lossWeight and answerWeight are the weights of a lost request and of an answer in
	// the moving share. Two losses in a row are over lossesBorne, and some ten answers
	// make up for them.
	lossWeight   = 0.2
	answerWeight = 0.1
	// lossHalfLife is the time in which the share of a replica that is not asked fades by
	// half, so that it is tried again. Shorter, and a replica that goes on to turn
	// requests away is tried again and again.
	lossHalfLife = 10 * time.Second
	// lossThreshold is the share from which on a replica that turns a request away, and
	// names no time, is left alone for lossPause, whatever it has answered in between.
	lossThreshold = 0.25
	lossBackoff   = time.Second
	// minSuccessRate bounds the cost of a replica that loses everything.
	minSuccessRate = 0.05
)

// lossRate is the share of the latest requests that a replica has turned away, failed or
// left without a whole answer. One that loses a part of what comes looks well after each
// answer, and two such in a row cost a shard. With most of the replicas of 36 shards
// turning 0.6 of their requests away for 9 s, requests earned 0.66 of their worth
// in that time without the share and 0.81 with it (mean of three plays of one day). With
// half of the replicas losing 0.4 of their answers for 4 s, the last two of these earned
// 0.80 without and 0.90 with it (mean of three plays of another day).
// Its zero value is ready, and it is safe for concurrent use.
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

// backoff is how long a replica that has just turned a request away is left alone on top
// of what it has asked for.
func (l *lossRate) backoff(age time.Duration) time.Duration {
	if l.current(age) > lossThreshold {
		return lossBackoff
	}
	return 0
}

// successRate is the share of requests that the replica is expected to answer.
func (l *lossRate) successRate(age time.Duration) float64 {
	return max(minSuccessRate, 1-l.current(age))
}

// current returns the share, which fades with the time since the last answer.
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
