package replica

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// Regression test: a clock reading from before the replica was listed made it
// appear ejected.
func TestNewReplicaIsNotEjected(t *testing.T) {
	listed := time.Unix(1000, 0)
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, listed)
	for _, offset := range []time.Duration{-time.Millisecond, 0, time.Millisecond} {
		if candidate := health.Candidate(listed.Add(offset)); candidate.Ejected || candidate.BackingOff {
			t.Errorf("%s after listing: %+v", offset, candidate)
		}
	}
}
