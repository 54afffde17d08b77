package follower

import (
	"time"

	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

// service returns the settings of a group in the active configuration.
func (s *state) service(group string) routing.Service {
	if s.activation.active == nil {
		return routing.Service{}
	}
	return s.activation.active.Services[group]
}

// coldUntil returns when a replica's cold period ends according to its entry; zero when the entry
// does not say. The deadline is needed because entries are not updated during a store outage.
func (s *state) coldUntil(replica topology.Replica) time.Time {
	if replica.ColdRemaining == 0 {
		return time.Time{}
	}
	return s.options.Now().Add(replica.ColdRemaining)
}

// coldEndsAt returns when a replica's cold period ends, by its entry or by the end of its zone's
// evacuation, whichever is later; zero when neither applies.
func (s *state) coldEndsAt(entry *replicaEntry) time.Time {
	end := entry.coldUntil
	service := s.service(entry.replica.Group)
	endedAt, found := s.evacuationEnded[entry.replica.Place.Zone]
	if found && service.ColdRate > 0 {
		if after := endedAt.Add(service.ColdDuration); after.After(end) {
			end = after
		}
	}
	return end
}

// isCold reports whether a replica is cold. A replica without an entry stays cold, since it is a
// last resort and can still be overloaded.
func (s *state) isCold(now time.Time, entry *replicaEntry) bool {
	end := s.coldEndsAt(entry)
	if end.IsZero() {
		return entry.replica.State == topology.ReplicaCold
	}
	return now.Before(end)
}

// hasWarmedUp reports whether the cold period of a replica that was published as cold is over.
func (s *state) hasWarmedUp(now time.Time) bool {
	return !s.nextWarmAt.IsZero() && !now.Before(s.nextWarmAt)
}
