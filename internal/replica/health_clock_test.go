package replica

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// A caller may have read the clock before the replica was listed; the replica
// then showed as ejected, in the status of a daemon without traffic.
func TestANewReplicaIsNotEjected(t *testing.T) {
	listed := time.Unix(1000, 0)
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, listed)
	for _, offset := range []time.Duration{-time.Millisecond, 0, time.Millisecond} {
		if candidate := health.Candidate(listed.Add(offset)); candidate.Ejected || candidate.BackingOff {
			t.Errorf("%s from its listing: %+v", offset, candidate)
		}
	}
}
