package follower

import "time"

// staleness decides when what is known of the store must be confirmed, and
// when a watch that should have told more is given up. It is pure: times are
// arguments.
//
// Invariant: known never falls, and confirmedAt is a time at which the store
// had nothing beyond confirmed.
type staleness struct {
	// checkAfter is how long a confirmation counts, for the node whose turn it
	// is; each further node waits for a slot more.
	checkAfter, slot time.Duration
	// grace is how long the watch may take to tell what others know already.
	grace time.Duration

	known       int64
	confirmed   int64
	confirmedAt time.Time
	behindSince time.Time // zero while nothing is known to be missing
}

// learn notes that everything up to a revision is known.
func (s *staleness) learn(revision int64) {
	s.known = max(s.known, revision)
	if s.known >= s.confirmed {
		s.behindSince = time.Time{}
	}
}

// confirm notes that the store was at a revision at some time. It returns true
// when that is news which others should hear: a higher revision, or a
// confirmation much later than the last.
func (s *staleness) confirm(now, at time.Time, revision int64) (news bool) {
	news = revision > s.confirmed || at.Sub(s.confirmedAt) > s.checkAfter/2
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	s.confirmed = max(s.confirmed, revision)
	if s.confirmed > s.known && s.behindSince.IsZero() {
		s.behindSince = now
	}
	return news
}

// waitAnew gives another watch the time to tell what is missing.
func (s *staleness) waitAnew(now time.Time) {
	if !s.behindSince.IsZero() {
		s.behindSince = now
	}
}

// checkAt is when this node asks the store, if it hears nothing before.
func (s *staleness) checkAt(rank int) time.Time {
	return s.confirmedAt.Add(s.checkAfter + time.Duration(rank)*s.slot)
}

// giveUpAt is when the watch is given up for missing what others know; zero
// while it misses nothing.
func (s *staleness) giveUpAt() time.Time {
	if s.behindSince.IsZero() {
		return time.Time{}
	}
	return s.behindSince.Add(s.grace)
}
