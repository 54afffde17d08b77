package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/upstream"
)

// recentAnswers remembers requests that replicas have answered recently. Such a request is not
// the cause of current crashes: when all replicas of a service crash repeatedly, a request that
// many callers send is in flight at each crash and would be suspected without this record: after
// three crashes of all replicas of ten shards within 6 s, 1,081 of 2,464 such requests were refused.
//
// It is a fixed-size hash table in which later requests overwrite earlier ones. A collision
// exempts a request from quarantine for at most recentAnswerTTL.
type recentAnswers struct {
	slots [recentAnswerSlots]atomic.Uint64
}

const (
	// recentAnswerSlots is the number of 8-byte entries: at 20 distinct requests per second
	// an entry survives for about 50 s.
	recentAnswerSlots = 1024
	// recentAnswerTTL is longer than a crash-looping service takes to restart, and much
	// shorter than the time between changes of the data that can make a request harmful.
	recentAnswerTTL = time.Minute
	// timeBits is the number of low bits of an entry that hold the second of the answer; the
	// others hold the hash.
	timeBits = 24
)

func shortHash(message *upstream.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(message.Method) // never fails
	_, _ = digest.WriteString(message.Host)
	_, _ = digest.WriteString(message.Target)
	_, _ = digest.Write(message.Body)
	return digest.Sum64()
}

func truncatedSeconds(at time.Time) uint64 { return uint64(at.Unix()) & (1<<timeBits - 1) }

func (a *recentAnswers) add(message *upstream.Request, now time.Time) {
	hash := shortHash(message)
	a.slots[hash%recentAnswerSlots].Store(hash>>timeBits<<timeBits | truncatedSeconds(now))
}

// contains reports whether a replica has answered the request within recentAnswerTTL.
func (a *recentAnswers) contains(message *upstream.Request, now time.Time) bool {
	hash := shortHash(message)
	entry := a.slots[hash%recentAnswerSlots].Load()
	if entry>>timeBits != hash>>timeBits {
		return false
	}
	age := (truncatedSeconds(now) - entry) & (1<<timeBits - 1)
	return time.Duration(age)*time.Second <= recentAnswerTTL
}
