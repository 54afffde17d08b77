package follower

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

// staleness decides when the store's revision must be confirmed, and when a watch that lags behind
// is given up. It is pure: times are arguments.
//
// Invariant: applied never decreases, and the store was at no higher revision than confirmed at
// confirmedAt.
type staleness struct {
	// checkInterval is how long a confirmation lasts; each node waits for rankDelay times its rank
	// longer before it checks.
	checkInterval, rankDelay time.Duration
	// grace is how long a watch may lag behind an announced revision, eraGrace the same for a
	// revision of a later era.
	grace, eraGrace time.Duration

	applied     int64
	confirmed   int64
	confirmedAt time.Time
	// initialListAt is when a possibly stale initial listing was applied; zero before.
	initialListAt time.Time
	// missing are the announced revisions above applied, in ascending order. Each has its own time,
	// since under continuous changes a healthy watch is always behind the latest revision.
	missing []announcedRevision
}

// announcedRevision is a revision of the store and when it was first announced.
type announcedRevision struct {
	revision int64
	at       time.Time
}

// maxMissing bounds missing. Beyond it, later revisions count as announced with the last one.
const maxMissing = 64

// markApplied records that all changes up to a revision are applied.
func (s *staleness) markApplied(revision int64) {
	s.applied = max(s.applied, revision)
	s.missing = slices.DeleteFunc(s.missing, func(missing announcedRevision) bool { return missing.revision <= s.applied })
}

// confirm records that the store was at a revision at a given time. It reports whether peers should
// be told: the revision is new, or the confirmation is much later than the last one. Revisions of
// an earlier era are ignored.
func (s *staleness) confirm(now, at time.Time, revision int64) (isNews bool) {
	if store.EraOf(revision) < store.EraOf(s.confirmed) {
		return false
	}
	isNews = revision > s.confirmed || at.Sub(s.confirmedAt) > s.checkInterval/2
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	if revision > s.confirmed {
		s.confirmed = revision
		s.addMissing(now, revision)
	}
	return isNews
}

// addMissing adds an announced revision if it is not applied yet.
func (s *staleness) addMissing(now time.Time, revision int64) {
	switch {
	case revision <= s.applied:
	case len(s.missing) == maxMissing:
		s.missing[maxMissing-1].revision = revision
	default:
		s.missing = append(s.missing, announcedRevision{revision: revision, at: now})
	}
}

// startFromStale records a possibly stale initial listing, which confirms nothing. Checks are
// staggered from then on, so that nodes that start together do not check at the same time.
func (s *staleness) startFromStale(now time.Time, revision int64) {
	s.initialListAt = now
	s.markApplied(revision)
}

// restartGrace gives a new watch the full grace period to deliver the missing revisions.
func (s *staleness) restartGrace(now time.Time) {
	for i := range s.missing {
		s.missing[i].at = now
	}
}

// nextCheck returns when this node checks the store's revision, unless it is confirmed before.
func (s *staleness) nextCheck(rank int) time.Time {
	since := s.confirmedAt
	if s.initialListAt.After(since) {
		since = s.initialListAt
	}
	return since.Add(s.checkInterval + time.Duration(rank)*s.rankDelay)
}

// watchDeadline returns when the watch is given up for lagging behind; zero when nothing is
// missing.
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
