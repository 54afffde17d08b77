package replica

import (
	"testing"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// A message restricted to regions must not leave them on any attempt, even if
// its replicas are tried, full or ejected.
func TestAcquireRespectsRegions(t *testing.T) {
	board := &blackboard.Board{}
	listReplicas(board,
		topology.Replica{Address: "far:1", Place: farPlace}, topology.Replica{Address: "far:2", Place: farPlace},
		topology.Replica{Address: "near:1", Place: nearPlace})
	pool := newMessagePool(t, board, func(options *PoolOptions) { options.Self = nearPlace })
	criteria := testCriteria()
	criteria.Regions = []string{farPlace.Region}
	var tried []*Handle
	for range 2 {
		acquired := pool.AcquireForMessage(testGroup, criteria, tried)
		if acquired.Handle == nil || acquired.Handle.replica.Place != farPlace {
			t.Fatalf("acquired %+v", acquired)
		}
		tried = append(tried, acquired.Handle)
	}
	if acquired := pool.AcquireForMessage(testGroup, criteria, tried); acquired.Handle != nil || acquired.Busy {
		t.Errorf("acquired %+v with both replicas tried", acquired)
	}
	if !pool.AcquireForMessage(testGroup, criteria, nil).Busy {
		t.Error("group whose replicas are at their limits is not busy")
	}
	for region, want := range map[string]int{"": 1, farPlace.Region: 1, "r9": 0} {
		criteria.Regions = nil
		if region != "" {
			criteria.Regions = []string{region}
		}
		if got := pool.CountServableGroups([]string{testGroup, "unknown"}, criteria); got != want {
			t.Errorf("region %q: %d groups are servable", region, got)
		}
	}
}
