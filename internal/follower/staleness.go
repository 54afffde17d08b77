package follower

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

// staleness decides when what is known of the store must be confirmed, and
// when a watch that should have told more is given up. It is pure: times are
// arguments.
//
// Invariant: known never falls, and confirmedAt is a time at which the store
// had nothing beyond confirmed.
type staleness struct {
	// checkInterval is how long a confirmation counts, for the node whose turn it
	// is; each further node waits for a rankDelay more.
	checkInterval, rankDelay time.Duration
	// grace is how long the watch may take to tell what others know already, eraGrace
	// the same where that is of a later era of the store.
	grace, eraGrace time.Duration

	applied     int64
	confirmed   int64
	confirmedAt time.Time
	// initialListAt is when a reading that may be old began what is known; zero before.
	initialListAt time.Time
	// missing are the revisions that others know and this node does not, in ascending
	// order, each with when it was heard of. While changes come without a pause, a
	// watch that brings each in time is always behind the latest.
	missing []announcedRevision
}

// announcedRevision is a revision of the store that this node has heard of.
type announcedRevision struct {
	revision int64
	at       time.Time
}

// maxMissing bounds the revisions that are kept; beyond it, later ones count as heard
// of when the last one was.
const maxMissing = 64

// markApplied notes that everything up to a revision is known.
func (s *staleness) markApplied(revision int64) {
	s.applied = max(s.applied, revision)
	s.missing = slices.DeleteFunc(s.missing, func(one announcedRevision) bool { return one.revision <= s.applied })
}

// confirm notes that the store was at a revision at some time. It returns true
// when that is news which others should hear: a higher revision, or a
// confirmation much later than the last. What is said of an era of the store that is over
// confirms nothing.
func (s *staleness) confirm(now, at time.Time, revision int64) (news bool) {
	if store.EraOf(revision) < store.EraOf(s.confirmed) {
		return false
	}
	news = revision > s.confirmed || at.Sub(s.confirmedAt) > s.checkInterval/2
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	if revision > s.confirmed {
		s.confirmed = revision
		s.addMissing(now, revision)
	}
	return news
}

// addMissing notes that a revision was heard of that may not be known yet.
func (s *staleness) addMissing(now time.Time, revision int64) {
	switch {
	case revision <= s.applied:
	case len(s.missing) == maxMissing:
		s.missing[maxMissing-1].revision = revision
	default:
		s.missing = append(s.missing, announcedRevision{revision: revision, at: now})
	}
}

// startFromStale notes what a first reading has told, which may be old: it confirms nothing.
// Until the first confirmation each node waits for its turn from the reading on, as
// all would ask at once when they start together.
func (s *staleness) startFromStale(now time.Time, revision int64) {
	s.initialListAt = now
	s.markApplied(revision)
}

// restartGrace gives another watch the time to tell what is missing.
func (s *staleness) restartGrace(now time.Time) {
	for i := range s.missing {
		s.missing[i].at = now
	}
}

// nextCheck is when this node asks the store, if it hears nothing before.
func (s *staleness) nextCheck(rank int) time.Time {
	since := s.confirmedAt
	if s.initialListAt.After(since) {
		since = s.initialListAt
	}
	return since.Add(s.checkInterval + time.Duration(rank)*s.rankDelay)
}

// watchDeadline is when the watch is given up for missing what others know; zero
// while it misses nothing.
func (s *staleness) watchDeadline() time.Time {
	if len(s.missing) == 0 {
		return time.Time{}
	}
	grace := s.grace
	if latest := s.missing[len(s.missing)-1]; store.EraOf(latest.revision) > store.EraOf(s.applied) {
		grace = s.eraGrace
	}
	return s.missing[0].at.Add(grace)
}
