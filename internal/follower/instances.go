package follower

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// A replica may start again under its key. Its birth tells its lives apart: a later one begins
// anew, and what a copy of the store or a late relay shows of an earlier one changes nothing.

// departedMemory is for how long a replica that has gone is remembered: a copy is some seconds
// old, and the store may have been away for some more.
const departedMemory = time.Minute

// departedReplica is what is remembered of a replica that has gone.
type departedReplica struct {
	// entry is its last one.
	entry store.KeyValue
	born  time.Time
	// leaving is true when it had said so.
	leaving bool
	// until is when it is forgotten.
	until time.Time
}

// errEarlierLife refuses an entry of a replica that has started again since, or that does not
// tell its birth where the replica did.
var errEarlierLife = eris.New("the entry is not of the replica's latest life")

// bornAt returns the birth of the latest known life of the replica at a key; zero when it has
// told none.
func (s *state) bornAt(key string) time.Time {
	if known, found := s.replicas[key]; found {
		return known.replica.StartedAt
	}
	return s.departed[key].born
}

// isLeaving tells whether the replica at a key has said that it leaves, in a life that began
// then. Said once, that holds for the life, also when its entry has gone since.
func (s *state) isLeaving(key string, born time.Time) bool {
	if known, found := s.replicas[key]; found {
		return known.replica.State == topology.ReplicaLeaving && known.replica.StartedAt.Equal(born)
	}
	departed, found := s.departed[key]
	return found && departed.leaving && departed.born.Equal(born)
}

// isOfDeparted tells whether an entry is that of a replica that has gone, as a copy shows it
// once more. The replica itself would have written another one.
func (s *state) isOfDeparted(value store.KeyValue) bool {
	departed, found := s.departed[value.Key]
	return found &&
		store.EraOf(value.ModRevision) > store.EraOf(departed.entry.ModRevision) &&
		store.NumberOf(value.ModRevision) == store.NumberOf(departed.entry.ModRevision) &&
		bytes.Equal(value.Value, departed.entry.Value)
}

// forgetDeparted drops what has been remembered for long enough.
func (s *state) forgetDeparted(now time.Time) {
	for key, departed := range s.departed {
		if !now.Before(departed.until) {
			delete(s.departed, key)
		}
	}
}

// tellLives tells whether the replicas of this platform tell their births: most entries have
// one. Then an entry without is another writer's, and names no replica.
func (s *state) tellLives() bool {
	told := 0
	for _, entry := range s.replicas {
		if !entry.replica.StartedAt.IsZero() {
			told++
		}
	}
	return 2*told > len(s.replicas)
}

// mostUnusable bounds the keys that are remembered as logged.
const mostUnusable = 256

// refuseReplica notes an entry that names no replica to use. The one that was there before is
// treated as any replica without an entry, until its own next entry.
func (s *state) refuseReplica(key string, reason error) {
	if reason != errEarlierLife {
		s.replicaGone(s.options.Now(), key)
	}
	if s.unusable[key] || len(s.unusable) >= mostUnusable {
		return
	}
	s.unusable[key] = true
	s.options.Logger.Error("replica's entry refused", "key", key, "error", reason.Error())
}
