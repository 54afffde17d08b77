package follower

import "time"

// evacuate takes in that nothing is to be sent to a zone's replicas any more. Requests
// that are queued, hedged or tried again choose among what is published, so that it
// holds for them as well.
func (s *state) evacuate(zone string) {
	if s.evacuated[zone] {
		return
	}
	s.evacuated[zone] = true
	s.replicasChanged = true
	s.options.Logger.Info("zone evacuated", "zone", zone, "replicas", s.countReplicas(zone))
}

// endEvacuation takes in that an evacuation was withdrawn. The zone's replicas may be cold
// then, and no entry says so.
func (s *state) endEvacuation(now time.Time, zone string) {
	if !s.evacuated[zone] {
		return
	}
	delete(s.evacuated, zone)
	s.evacuationEnded[zone] = now
	s.replicasChanged = true
	s.options.Logger.Info("zone no longer evacuated", "zone", zone, "replicas", s.countReplicas(zone))
}

// countReplicas counts the replicas that stand in a zone.
func (s *state) countReplicas(zone string) int {
	count := 0
	for _, entry := range s.replicas {
		if entry.replica.Place.Zone == zone {
			count++
		}
	}
	return count
}
