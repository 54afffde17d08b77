package replica

import (
	"sync"
	"time"
)

// The constants of the share of rejections.
const (
	// rejectionWeight and takenWeight are the weights of a rejection and of an answer in
	// the moving share.
	rejectionWeight = 0.2
	takenWeight     = 0.1
	// rejectionHalfLife is the time in which the share of a replica that is not asked
	// fades by half, so that it is tried again. Shorter, and a replica that goes on to
	// turn requests away is tried again and again.
	rejectionHalfLife = 10 * time.Second
	// rejectionsBorne is the share of rejections from which on a replica that turns a
	// request away, and names no time, is left alone for rejectionPause, whatever it has
	// answered in between: two rejections soon after each other are over it.
	rejectionsBorne = 0.25
	rejectionPause  = time.Second
	// leastTaken bounds the cost of a replica that turns everything away.
	leastTaken = 0.05
)

// rejections is the share of the latest requests that a replica has turned away. One
// that turns away a part of what comes, with room for the rest, looks well after each
// answer, and two such in a row cost a shard. With four fifths of the replicas of 36
// shards turning 0.6 of their requests away for 9 s, requests earned 0.66 of their worth
// in that time without the share and 0.81 with it (mean of three plays of one day).
// Its zero value is ready, and it is safe for concurrent use.
type rejections struct {
	mutex sync.Mutex
	share float64
	at    time.Duration
}

func (r *rejections) rejected(age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fade(age)
	r.share += rejectionWeight * (1 - r.share)
}

func (r *rejections) took(age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fade(age)
	r.share -= takenWeight * r.share
}

// pause is how long a replica that has just turned a request away is left alone on top
// of what it has asked for.
func (r *rejections) pause(age time.Duration) time.Duration {
	if r.current(age) > rejectionsBorne {
		return rejectionPause
	}
	return 0
}

// taken is the share of requests that the replica is expected to take.
func (r *rejections) taken(age time.Duration) float64 { return max(leastTaken, 1-r.current(age)) }

// current returns the share, which fades with the time since the last answer.
func (r *rejections) current(age time.Duration) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fade(age)
	return r.share
}

func (r *rejections) fade(age time.Duration) {
	if r.share > 0 && age > r.at {
		r.share *= fadingBy(age-r.at, rejectionHalfLife)
	}
	r.at = max(r.at, age)
}
