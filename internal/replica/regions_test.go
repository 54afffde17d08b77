package replica

import (
	"testing"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// TestABoundMessageStaysInItsRegions: at the first attempt, at a later one, and when
// its own replicas are tried, full or ejected; the wait for a connection is only for
// those that it may use.
func TestABoundMessageStaysInItsRegions(t *testing.T) {
	board := &blackboard.Board{}
	listReplicas(board,
		topology.Replica{Address: "far:1", Place: farPlace}, topology.Replica{Address: "far:2", Place: farPlace},
		topology.Replica{Address: "near:1", Place: nearPlace})
	pool := newMessagePool(t, board, func(options *PoolOptions) { options.Self = nearPlace })
	terms := testCriteria()
	terms.Regions = []string{farPlace.Region}
	var tried []*Handle
	for range 2 {
		acquired := pool.AcquireForMessage(testGroup, terms, tried)
		if acquired.Handle == nil || acquired.Handle.replica.Place != farPlace {
			t.Fatalf("acquired %+v", acquired)
		}
		tried = append(tried, acquired.Handle)
	}
	if acquired := pool.AcquireForMessage(testGroup, terms, tried); acquired.Handle != nil || acquired.Busy {
		t.Errorf("with both tried: %+v", acquired)
	}
	if !pool.AcquireForMessage(testGroup, terms, nil).Busy {
		t.Error("one that only lacks room is not waited for")
	}
	for regions, want := range map[string]int{"": 1, farPlace.Region: 1, "r9": 0} {
		terms.Regions = nil
		if regions != "" {
			terms.Regions = []string{regions}
		}
		if got := pool.CountServableGroups([]string{testGroup, "unknown"}, terms); got != want {
			t.Errorf("regions %q: %d groups are servable", regions, got)
		}
	}
}
