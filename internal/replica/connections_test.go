package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

func testPlace(i int) topology.Place {
	return topology.Place{Region: fmt.Sprint("r", i%12%5), Zone: fmt.Sprint("z", i%12)}
}

func testMembers(count int) topology.Members {
	members := topology.Members{}
	for i := range count {
		members.Members = append(members.Members, topology.Member{ID: fmt.Sprint("daemon", i), PeerAddress: fmt.Sprint("peer", i), Place: testPlace(i)})
	}
	return members
}

func testReplicas(count, zones, limit int) []topology.Replica {
	replicas := make([]topology.Replica, 0, count)
	for i := range count {
		replicas = append(replicas, topology.Replica{
			Address: fmt.Sprintf("replica%03d", i), Incarnation: "1", Group: testGroup, Place: testPlace(i % zones), ConnectionLimit: limit,
		})
	}
	return replicas
}

// connectionCounts counts the connections that the plans of all daemons give.
type connectionCounts struct {
	total       []int // by replica
	sameZone    []int // of them from the replica's zone
	unconnected int   // daemons that reach no replica
}

func countConnections(members topology.Members, replicas []topology.Replica) connectionCounts {
	shares := connectionCounts{total: make([]int, len(replicas)), sameZone: make([]int, len(replicas))}
	members.Self = members.Members[0]
	plan := NewConnectionPlan(members)
	group := plan.AllocateGroup(testGroup, replicas)
	for zone := range plan.zones {
		for rank := range plan.zones[zone].daemons {
			reached := false
			for i := range replicas {
				budget := group.budgetOf(i, zone, rank)
				shares.total[i] += budget
				if plan.zones[zone].place == replicas[i].Place {
					shares.sameZone[i] += budget
				}
				reached = reached || budget > 0
			}
			if !reached {
				shares.unconnected++
			}
		}
	}
	return shares
}

func TestConnectionsStayUnderTheLimit(t *testing.T) {
	cases := []struct {
		name                              string
		daemons, replicas, zones, limit   int
		mostWithout, leastOfEach, nearest int
	}{
		{"one daemon", 1, 4, 2, 75, 0, 67, 0},
		{"as many as connections", 67, 4, 2, 75, 0, 67, 0},
		{"one more", 68, 4, 2, 75, 0, 50, 6},
		{"a group in two zones", 200, 4, 2, 75, 0, 65, 17},
		{"more than a small group takes", 500, 4, 2, 75, 500 - 4*67, 67, 21},
		{"the target", 2700, 54, 12, 75, 0, 57, 57},
		{"the target's smallest group", 2700, 4, 4, 75, 2700 - 4*67, 67, 67},
		{"a limit of one", 50, 2, 2, 1, 48, 1, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			replicas := testReplicas(test.replicas, test.zones, test.limit)
			shares := countConnections(testMembers(test.daemons), replicas)
			if shares.unconnected > test.mostWithout {
				t.Errorf("%d daemons reach no replica, want at most %d", shares.unconnected, test.mostWithout)
			}
			usable := usableConnections(replicas[0])
			for i, total := range shares.total {
				if total > usable || total < test.leastOfEach || shares.sameZone[i] < test.nearest {
					t.Errorf("replica %d has %d connections, %d of its zone; want %d to %d, %d of its zone",
						i, total, shares.sameZone[i], test.leastOfEach, usable, test.nearest)
				}
			}
		})
	}
}

func TestHoldersHaveAConnection(t *testing.T) {
	for _, daemons := range []int{3, 300} {
		members, replicas := testMembers(daemons), testReplicas(6, 3, 20)
		members.Self = members.Members[0]
		group := NewConnectionPlan(members).AllocateGroup(testGroup, replicas)
		for random := range uint64(100) {
			at := int(random) % len(replicas)
			holder, found := group.Holder(at, random*0x9e3779b97f4a7c15)
			if !found {
				t.Fatalf("replica %d has no holder", at)
			}
			seenByHolder := members
			seenByHolder.Self = holder
			if NewConnectionPlan(seenByHolder).AllocateGroup(testGroup, replicas).Budget(at) == 0 {
				t.Fatalf("%s is named as a holder of replica %d and may not connect", seenByHolder.Self.ID, at)
			}
		}
	}
}

func TestConnectionsOfTheDeadAreGivenToOthers(t *testing.T) {
	members := testMembers(2)
	members.Self = members.Members[0]
	members.Members[1].State = topology.MemberDead
	group := NewConnectionPlan(members).AllocateGroup(testGroup, testReplicas(1, 1, 100))
	if budget := group.Budget(0); budget != 90 {
		t.Errorf("budget %d, want all 90", budget)
	}
}

func TestLatencyWindow(t *testing.T) {
	window := &latencyWindow{}
	if window.Quantile(0.9) != 0 {
		t.Error("a quantile is known without samples")
	}
	for i := range 1000 {
		window.Record(time.Duration(i+1) * 10 * time.Microsecond)
	}
	got := window.Quantile(0.9)
	if low, high := 8*time.Millisecond, 12*time.Millisecond; got < low || got > high {
		t.Errorf("90%% quantile of 10 µs to 10 ms is %v", got)
	}
	for range 3 * windowSamples {
		window.Record(50 * time.Millisecond)
	}
	if got := window.Quantile(0.1); got < 50*time.Millisecond {
		t.Errorf("old samples still count: %v", got)
	}
}

// BenchmarkConnectionPlanAtTheTarget is what a change of the daemons costs
// with 2,700 daemons and 390 groups of 54 replicas.
func BenchmarkConnectionPlanAtTheTarget(b *testing.B) {
	members, replicas := testMembers(2700), testReplicas(54, 12, 75)
	members.Self = members.Members[0]
	for b.Loop() {
		plan := NewConnectionPlan(members)
		for group := range 390 {
			plan.AllocateGroup(fmt.Sprint("group", group), replicas)
		}
	}
}
