package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/upstream"
)

// recentAnswers remembers requests that replicas have answered recently. Such a request is not
// the cause of current crashes: when all replicas of a service crash repeatedly, a request that
// many callers send is in flight at each crash, and would be quarantined without this record.
//
// It is a fixed-size set-associative hash table, in which a new request replaces the one of its
// bucket that was answered longest ago. A collision exempts a request from quarantine for at most
// recentAnswerTTL.
type recentAnswers struct {
	buckets [recentAnswerBuckets][recentAnswersPerBucket]atomic.Uint64
}

const (
	// recentAnswerBuckets and recentAnswersPerBucket give room for 16,384 requests at 8 bytes,
	// which are those of a minute at 270 distinct requests per second. A bucket is a cache line.
	recentAnswerBuckets    = 2048
	recentAnswersPerBucket = 8
	// recentAnswerTTL is longer than a crash-looping service takes to restart, and much
	// shorter than the time between changes of the data that can make a request harmful.
	recentAnswerTTL = time.Minute
	// timeBits is the number of low bits of an entry that hold the second of the answer; the
	// others hold the hash.
	timeBits = 24
)

// shortHash is a fast hash of what Identity identifies.
func shortHash(message *upstream.Request) uint64 {
	digest := xxhash.New()
	hashRequest(digest, message)
	return digest.Sum64()
}

func truncatedSeconds(at time.Time) uint64 { return uint64(at.Unix()) & (1<<timeBits - 1) }

// entryAge returns how long ago the request of an entry was answered.
func entryAge(entry uint64, now time.Time) time.Duration {
	return time.Duration((truncatedSeconds(now)-entry)&(1<<timeBits-1)) * time.Second
}

func (a *recentAnswers) add(message *upstream.Request, now time.Time) {
	hash := shortHash(message)
	bucket := &a.buckets[hash%recentAnswerBuckets]
	slot, oldest := 0, time.Duration(-1)
	for i := range bucket {
		entry := bucket[i].Load()
		if entry>>timeBits == hash>>timeBits {
			slot = i
			break
		}
		if age := entryAge(entry, now); age > oldest {
			slot, oldest = i, age
		}
	}
	bucket[slot].Store(hash>>timeBits<<timeBits | truncatedSeconds(now))
}

// contains reports whether a replica has answered the request within recentAnswerTTL.
func (a *recentAnswers) contains(message *upstream.Request, now time.Time) bool {
	hash := shortHash(message)
	bucket := &a.buckets[hash%recentAnswerBuckets]
	for i := range bucket {
		entry := bucket[i].Load()
		if entry>>timeBits == hash>>timeBits && entryAge(entry, now) <= recentAnswerTTL {
			return true
		}
	}
	return false
}
