package follower

import (
	"time"

	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

// service returns what the configuration in force states of a group.
func (s *state) service(group string) routing.Service {
	if s.adoption.inForce == nil {
		return routing.Service{}
	}
	return s.adoption.inForce.Services[group]
}

// coldUntil is when a replica is warm at the latest, as its entry has just said; zero
// when it does not say. While the store is away no entry tells that it is warm.
func (s *state) coldUntil(replica topology.Replica) time.Time {
	if replica.ColdRemaining == 0 {
		return time.Time{}
	}
	return s.options.Now().Add(replica.ColdRemaining)
}

// coldEnd is when a replica is warm by its time: as its entry says, and a while after
// its zone was evacuated. Zero when nothing is known of either.
func (s *state) coldEnd(entry *replicaEntry) time.Time {
	end := entry.coldUntil
	service := s.service(entry.replica.Group)
	readmitted, found := s.readmitted[entry.replica.Place.Zone]
	if found && service.ColdRate > 0 {
		if after := readmitted.Add(service.ColdDuration); after.After(end) {
			end = after
		}
	}
	return end
}

// isCold tells whether a replica is cold, also one whose entry is gone: it is asked while
// no other is left, and falls over as before.
func (s *state) isCold(now time.Time, entry *replicaEntry) bool {
	end := s.coldEnd(entry)
	if end.IsZero() {
		return entry.replica.State == topology.ReplicaCold
	}
	return now.Before(end)
}

// warmed tells whether a replica that was published as cold is warm by its time.
func (s *state) warmed(now time.Time) bool { return !s.warmAt.IsZero() && !now.Before(s.warmAt) }
