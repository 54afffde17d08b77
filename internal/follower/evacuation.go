package follower

import "time"

// evacuate marks a zone as evacuated: its replicas receive no requests, including queued, hedged
// and retried ones, since those choose among the published replicas too.
func (s *state) evacuate(zone string) {
	if s.evacuated[zone] {
		return
	}
	s.evacuated[zone] = true
	s.replicasChanged = true
	s.options.Logger.Info("zone evacuated", "zone", zone, "replicas", s.countReplicas(zone))
}

// endEvacuation records that a zone is no longer evacuated. Its replicas may be cold by then
// although their entries do not say so.
func (s *state) endEvacuation(now time.Time, zone string) {
	if !s.evacuated[zone] {
		return
	}
	delete(s.evacuated, zone)
	s.evacuationEnded[zone] = now
	s.replicasChanged = true
	s.options.Logger.Info("zone no longer evacuated", "zone", zone, "replicas", s.countReplicas(zone))
}

// countReplicas returns the number of replicas in a zone.
func (s *state) countReplicas(zone string) int {
	count := 0
	for _, entry := range s.replicas {
		if entry.replica.Place.Zone == zone {
			count++
		}
	}
	return count
}
