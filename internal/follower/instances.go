package follower

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// A replica may restart under the same key. Its instances are told apart by their start times: a
// later instance starts afresh, and entries of an earlier one, from a restored store or a lagging
// relay, are ignored.

// departedRetention is how long a departed replica is remembered. It must cover the age of a backup
// and the outage before its restore.
const departedRetention = time.Minute

// departedReplica is the last known state of a replica whose entry is gone.
type departedReplica struct {
	entry     store.KeyValue
	startedAt time.Time
	// leaving is true if the replica had announced that it leaves.
	leaving   bool
	expiresAt time.Time
}

// errEarlierInstance rejects an entry of an earlier instance of a replica, or one without a start
// time where the current instance has one.
var errEarlierInstance = eris.New("entry is not from the latest instance of the replica")

// startTime returns the start time of the latest known instance of a replica; zero when unknown.
func (s *state) startTime(key string) time.Time {
	if known, found := s.replicas[key]; found {
		return known.replica.StartedAt
	}
	return s.departed[key].startedAt
}

// isLeaving reports whether the instance of a replica that started at the given time has announced
// that it is leaving. This is final for an instance, even after its entry was deleted.
func (s *state) isLeaving(key string, startedAt time.Time) bool {
	if known, found := s.replicas[key]; found {
		return known.replica.State == topology.ReplicaLeaving && known.replica.StartedAt.Equal(startedAt)
	}
	departed, found := s.departed[key]
	return found && departed.leaving && departed.startedAt.Equal(startedAt)
}

// isFromDeparted reports whether an entry in a restored store is the last one of a departed
// replica. A live replica would have written a new one.
func (s *state) isFromDeparted(value store.KeyValue) bool {
	departed, found := s.departed[value.Key]
	return found &&
		store.EraOf(value.ModRevision) > store.EraOf(departed.entry.ModRevision) &&
		store.SequenceOf(value.ModRevision) == store.SequenceOf(departed.entry.ModRevision) &&
		bytes.Equal(value.Value, departed.entry.Value)
}

// expireDeparted forgets replicas that departed long enough ago.
func (s *state) expireDeparted(now time.Time) {
	for key, departed := range s.departed {
		if !now.Before(departed.expiresAt) {
			delete(s.departed, key)
		}
	}
}

// expectsStartTimes reports whether most replica entries have a start time. Entries without one then
// come from a foreign writer and are ignored.
func (s *state) expectsStartTimes() bool {
	withStart := 0
	for _, entry := range s.replicas {
		if !entry.replica.StartedAt.IsZero() {
			withStart++
		}
	}
	return 2*withStart > len(s.replicas)
}

// maxLoggedUnusable bounds the number of keys in loggedUnusable.
const maxLoggedUnusable = 256

// rejectReplica handles an unusable replica entry. The replica that was registered under the key is
// treated as having no entry until it writes a valid one.
func (s *state) rejectReplica(key string, reason error) {
	if reason != errEarlierInstance {
		s.markReplicaGone(s.options.Now(), key)
	}
	if s.loggedUnusable[key] || len(s.loggedUnusable) >= maxLoggedUnusable {
		return
	}
	s.loggedUnusable[key] = true
	s.options.Logger.Error("invalid replica entry rejected", "key", key, "error", reason.Error())
}
