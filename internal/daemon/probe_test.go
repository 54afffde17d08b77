package daemon

import (
	"slices"
	"testing"

	"github.com/doorpond/doorpond/internal/topology"
)

// Nobody sends a query, and the machine list does not say that the replica
// leaves; only its status does.
func TestAReplicaThatNobodyAsksIsSeenToLeave(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	second, _ := startDaemon(t, running, []*Daemon{first}, unchanged)
	awaitMembers(t, 2, first, second)
	leaving := running.Backends()[0]
	leaving.Replica.Drain()
	for _, one := range []*Daemon{first, second} {
		eventually(t, "the daemon knows that the replica leaves", func() bool {
			return slices.ContainsFunc(one.tracker.Leaving(), func(marked topology.Replica) bool {
				return marked.Address == leaving.Address && marked.Incarnation == leaving.Replica.Options().Incarnation
			})
		})
	}
}
