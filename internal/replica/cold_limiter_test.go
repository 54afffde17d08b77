package replica

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// newColdPool returns a pool of one cold and one warm replica with a fake
// clock. The node is the only one that shares the cold replica's rate.
func newColdPool(t *testing.T, rate int, now *time.Time) (*Pool, *blackboard.Board) {
	t.Helper()
	board := &blackboard.Board{}
	board.Members.Publish(&topology.Members{Self: topology.Member{ID: "self"}, ColdRateSharers: []string{"self"}})
	listReplicas(board,
		topology.Replica{Address: "cold:1", Place: nearPlace, State: topology.ReplicaCold, ColdRate: rate},
		topology.Replica{Address: "warm:1", Place: farPlace})
	return newMessagePool(t, board, func(options *PoolOptions) {
		options.Self = nearPlace
		options.Now = func() time.Time { return *now }
	}), board
}

// A cold replica must not exceed its rate in any window, even if no other
// replica is eligible; excess messages are neither sent nor queued.
func TestColdReplicaRateLimit(t *testing.T) {
	const rate = 3
	now := time.Unix(1000, 0)
	pool, board := newColdPool(t, rate, &now)
	criteria := testCriteria()
	criteria.Regions = []string{nearPlace.Region}
	var sent []time.Time
	for range 100 {
		if acquired := pool.AcquireForMessage(testGroup, criteria, nil); acquired.Handle != nil {
			sent = append(sent, now)
			acquired.Handle.End()
		} else if acquired.Busy || pool.CountServableGroups([]string{testGroup}, criteria) != 0 {
			t.Fatal("message is queued or admitted for a cold replica at its rate limit")
		}
		now = now.Add(70 * time.Millisecond)
	}
	if len(sent) < rate*6 {
		t.Errorf("sent only %d messages in 7 s", len(sent))
	}
	for i := rate; i < len(sent); i++ {
		if sent[i].Sub(sent[i-rate]) < coldWindow {
			t.Errorf("sent %d messages within %v", rate+1, sent[i].Sub(sent[i-rate]))
		}
	}
	criteria.Regions = nil
	for range 2 * rate {
		acquired := pool.AcquireForMessage(testGroup, criteria, nil)
		if acquired.Handle == nil {
			t.Fatal("no replica acquired, want the warm one")
		}
		acquired.Handle.End()
	}
	listReplicas(board, topology.Replica{Address: "cold:1", Place: nearPlace}, topology.Replica{Address: "warm:1", Place: farPlace})
	criteria.Regions = []string{nearPlace.Region}
	for range 2 * rate {
		acquired := pool.AcquireForMessage(testGroup, criteria, nil)
		if acquired.Handle == nil {
			t.Fatal("no replica acquired, want the replica that is no longer cold")
		}
		acquired.Handle.End()
	}
}

// The rate also applies when the replica is the last resort.
func TestVanishedColdReplicaRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	pool, board := newColdPool(t, 2, &now)
	listReplicas(board, topology.Replica{Address: "cold:1", Place: nearPlace, State: topology.ReplicaVanished, ColdRate: 2})
	sent := 0
	for range 10 {
		if acquired := pool.AcquireForMessage(testGroup, testCriteria(), nil); acquired.Handle != nil {
			sent++
			acquired.Handle.End()
		}
	}
	if sent != 2 {
		t.Errorf("sent %d messages at once, want 2", sent)
	}
}

// Concurrent requests must not exceed the limit.
func TestColdLimiterConcurrent(t *testing.T) {
	const limit = 5
	var limiter coldLimiter
	limiter.setLimit(limit)
	var admitted atomic.Int64
	var group sync.WaitGroup
	now := time.Unix(1000, 0)
	for range 50 {
		group.Go(func() {
			if limiter.hasCapacity(now) && limiter.admit(now) {
				admitted.Add(1)
			}
		})
	}
	group.Wait()
	if admitted.Load() != limit {
		t.Errorf("admitted %d requests", admitted.Load())
	}
}

// The limit of a replica that is already cold must be recomputed when only the
// set of nodes sharing its cold rate changes.
func TestColdLimitFollowsColdRateSharers(t *testing.T) {
	now := time.Unix(1000, 0)
	pool, board := newColdPool(t, 3, &now)
	criteria := testCriteria()
	criteria.Regions = []string{nearPlace.Region}
	board.Members.Publish(&topology.Members{Self: topology.Member{ID: "self"}, ColdRateSharers: []string{"other"}})
	if got := pool.CountServableGroups([]string{testGroup}, criteria); got != 0 {
		t.Error("group is servable on a node that does not share the cold rate")
	}
	board.Members.Publish(&topology.Members{Self: topology.Member{ID: "self"}, ColdRateSharers: []string{"other", "self"}})
	if got := pool.CountServableGroups([]string{testGroup}, criteria); got != 1 {
		t.Error("group is not servable on a node that shares the cold rate")
	}
}
