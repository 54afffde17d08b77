package follower

import (
	"bytes"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

// The store may come back from a copy that is some seconds old. What was written since is
// missing in it until its writers have written it again, and what was removed since is there
// again. Nothing that it lacks is taken for gone before its writer has had the time.

const (
	// rewriteGrace is how long replicas and operators may take to write again: the users'
	// platform says about two seconds from the store's return; a second more is for the
	// news of it.
	rewriteGrace = 3 * time.Second
	// nodeRewriteGrace is how long nodes may take. They spread their writes over some
	// seconds, and those that the store refuses are made again up to four seconds later
	// (package registry). One that is gone is found out by the others meanwhile.
	nodeRewriteGrace = 15 * time.Second
)

// replaceAfterRestore takes in the first whole reading of a later era of the store. Entries that it
// lacks stay for a while. Those who watch this node are told only what differs: they keep
// the rest as it is.
func (s *state) replaceAfterRestore(now time.Time, values []store.KeyValue) {
	s.applyAll(values, s.putRestored, func(key string) { s.retainMissing(now, key) })
}

// putRestored takes in an entry that may be the one that is known.
func (s *state) putRestored(value store.KeyValue) {
	known, found := s.values[value.Key]
	told := len(s.pendingEvents)
	s.put(value)
	if found && bytes.Equal(known.Value, value.Value) {
		s.pendingEvents = s.pendingEvents[:told]
	}
}

// retainMissing keeps an entry that a copy lacks for as long as its writer may take. Quarantined
// requests are written again by the nodes that know them, which go on refusing them.
func (s *state) retainMissing(now time.Time, key string) {
	wait := rewriteGrace
	switch {
	case hasPrefix(key, s.options.Keys.Quarantine):
		s.remove(now, key)
		return
	case hasPrefix(key, s.options.Keys.Nodes):
		wait = nodeRewriteGrace
	}
	s.retained[key] = now.Add(wait)
}

// expireRetained takes for gone what has not been written again in time.
func (s *state) expireRetained(now time.Time) {
	for key, until := range s.retained {
		if !now.Before(until) {
			s.remove(now, key)
		}
	}
}

// nextRetainedExpiry is when the next entry that a copy lacks is taken for gone; zero when there is none.
func (s *state) nextRetainedExpiry() time.Time {
	var next time.Time
	for _, until := range s.retained {
		next = earliest(next, until)
	}
	return next
}
