package daemon

import (
	"slices"
	"testing"

	"github.com/doorpond/doorpond/internal/topology"
)

// Without queries or a change of the machine list, only probes show that a replica is leaving.
func TestProbeDetectsLeavingReplica(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	second, _ := startDaemon(t, running, []*Daemon{first}, unchanged)
	waitForMembers(t, 2, first, second)
	leaving := running.Backends()[0]
	leaving.Replica.Drain()
	for _, daemon := range []*Daemon{first, second} {
		eventually(t, "replica is marked as leaving", func() bool {
			return slices.ContainsFunc(daemon.tracker.Leaving(), func(marked topology.Replica) bool {
				return marked.Address == leaving.Address && marked.Incarnation == leaving.Replica.Options().Incarnation
			})
		})
	}
}
