package follower

import (
	"bytes"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

// The store may be restored from a backup that is some seconds old. Recent writes are missing from
// it until their writers repeat them, and recently deleted entries reappear. Missing entries are
// retained until their writers have had time to write them again.

const (
	// rewriteGrace is how long replicas and operators may take to write again: about two seconds
	// after the store's return, and a second to learn of it.
	rewriteGrace = 3 * time.Second
	// nodeRewriteGrace is how long nodes may take. They spread their writes over several seconds
	// and retry those that the store rejects (package registry). Dead nodes are detected by their
	// peers in the meantime.
	nodeRewriteGrace = 15 * time.Second
)

// replaceAfterRestore applies the first full listing of a later era. Missing entries are retained
// for a while, and only differences are published to the feed.
func (s *state) replaceAfterRestore(now time.Time, values []store.KeyValue) {
	s.applyAll(values, s.putRestored, func(key string) { s.retainMissing(now, key) })
}

// putRestored applies an entry without publishing it to the feed if its value is unchanged.
func (s *state) putRestored(value store.KeyValue) {
	previous, found := s.values[value.Key]
	pending := len(s.pendingEvents)
	s.put(value)
	if found && bytes.Equal(previous.Value, value.Value) {
		s.pendingEvents = s.pendingEvents[:pending]
	}
}

// retainMissing retains an entry that is missing from the restored store until its writer's grace
// period ends. Quarantine entries are removed at once: nodes that hold them go on rejecting these
// requests and write them again.
func (s *state) retainMissing(now time.Time, key string) {
	grace := rewriteGrace
	switch {
	case hasPrefix(key, s.options.Keys.Quarantine):
		s.remove(now, key)
		return
	case hasPrefix(key, s.options.Keys.Nodes):
		grace = nodeRewriteGrace
	}
	s.retained[key] = now.Add(grace)
}

// expireRetained removes entries that were not written again in time.
func (s *state) expireRetained(now time.Time) {
	for key, until := range s.retained {
		if !now.Before(until) {
			s.remove(now, key)
		}
	}
}

// nextRetainedExpiry returns when the next retained entry expires; zero when none is retained.
func (s *state) nextRetainedExpiry() time.Time {
	var next time.Time
	for _, until := range s.retained {
		next = earliest(next, until)
	}
	return next
}
