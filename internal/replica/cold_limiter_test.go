package replica

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// coldPool is a pool of one cold and one warm replica, on a clock of its own, in a node
// that alone shares what the cold one takes.
func coldPool(t *testing.T, rate int, now *time.Time) (*Pool, *blackboard.Board) {
	t.Helper()
	board := &blackboard.Board{}
	board.Members.Publish(&topology.Members{Self: topology.Member{ID: "self"}, ColdRateSharers: []string{"self"}})
	listReplicas(board,
		topology.Replica{Address: "cold:1", Place: nearPlace, State: topology.ReplicaCold, ColdRate: rate},
		topology.Replica{Address: "warm:1", Place: farPlace})
	return messagePool(t, board, func(options *PoolOptions) {
		options.Self = nearPlace
		options.Now = func() time.Time { return *now }
	}), board
}

// TestAColdReplicaTakesNoMoreThanItsRate: in any one second, also when it is the only one
// that a message may go to; what is over is neither sent nor waits.
func TestAColdReplicaTakesNoMoreThanItsRate(t *testing.T) {
	const rate = 3
	now := time.Unix(1000, 0)
	pool, board := coldPool(t, rate, &now)
	terms := allTerms()
	terms.Regions = []string{nearPlace.Region}
	var sent []time.Time
	for range 100 {
		if acquired := pool.AcquireForMessage(testGroup, terms, nil); acquired.Handle != nil {
			sent = append(sent, now)
			acquired.Handle.End()
		} else if acquired.Busy || pool.CountServableGroups([]string{testGroup}, terms) != 0 {
			t.Fatal("a message waits, or is let in, for a cold replica that has its share")
		}
		now = now.Add(70 * time.Millisecond)
	}
	if len(sent) < rate*6 {
		t.Errorf("%d messages in seven seconds", len(sent))
	}
	for i := rate; i < len(sent); i++ {
		if sent[i].Sub(sent[i-rate]) < coldWindow {
			t.Errorf("%d messages within %v", rate+1, sent[i].Sub(sent[i-rate]))
		}
	}
	terms.Regions = nil
	for range 2 * rate {
		acquired := pool.AcquireForMessage(testGroup, terms, nil)
		if acquired.Handle == nil {
			t.Fatal("the warm replica is not asked in its place")
		}
		acquired.Handle.End()
	}
	listReplicas(board, topology.Replica{Address: "cold:1", Place: nearPlace}, topology.Replica{Address: "warm:1", Place: farPlace})
	terms.Regions = []string{nearPlace.Region}
	for range 2 * rate {
		acquired := pool.AcquireForMessage(testGroup, terms, nil)
		if acquired.Handle == nil {
			t.Fatal("it is bounded though it is warm")
		}
		acquired.Handle.End()
	}
}

// TestAVanishedReplicaIsBoundedWhileItIsCold: as the last resort too.
func TestAVanishedReplicaIsBoundedWhileItIsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	pool, board := coldPool(t, 2, &now)
	listReplicas(board, topology.Replica{Address: "cold:1", Place: nearPlace, State: topology.ReplicaMissing, ColdRate: 2})
	sent := 0
	for range 10 {
		if acquired := pool.AcquireForMessage(testGroup, allTerms(), nil); acquired.Handle != nil {
			sent++
			acquired.Handle.End()
		}
	}
	if sent != 2 {
		t.Errorf("%d messages in a moment", sent)
	}
}

// TestTheColdGateIsExactUnderRaces: requests that choose at the same moment.
func TestTheColdGateIsExactUnderRaces(t *testing.T) {
	const share = 5
	var gate coldGate
	gate.set(share)
	var passed atomic.Int64
	var running sync.WaitGroup
	now := time.Unix(1000, 0)
	for range 50 {
		running.Go(func() {
			if gate.open(now) && gate.pass(now) {
				passed.Add(1)
			}
		})
	}
	running.Wait()
	if passed.Load() != share {
		t.Errorf("%d passed", passed.Load())
	}
}

// TestANodeThatBecomesAnEntryNodeHasAShare: of what is cold already, though neither the
// replicas nor those who hold connections have changed.
func TestANodeThatBecomesAnEntryNodeHasAShare(t *testing.T) {
	now := time.Unix(1000, 0)
	pool, board := coldPool(t, 3, &now)
	terms := allTerms()
	terms.Regions = []string{nearPlace.Region}
	board.Members.Publish(&topology.Members{Self: topology.Member{ID: "self"}, ColdRateSharers: []string{"other"}})
	if got := pool.CountServableGroups([]string{testGroup}, terms); got != 0 {
		t.Error("a node that does not share asks a cold replica")
	}
	board.Members.Publish(&topology.Members{Self: topology.Member{ID: "self"}, ColdRateSharers: []string{"other", "self"}})
	if got := pool.CountServableGroups([]string{testGroup}, terms); got != 1 {
		t.Error("a node that shares does not ask it")
	}
}
