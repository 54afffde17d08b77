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

// connectionCounts holds the connections that the plans of all daemons assign.
type connectionCounts struct {
	total       []int // by replica
	sameZone    []int // of these, from the replica's zone
	unconnected int   // daemons without any connection
}

func countConnections(members topology.Members, replicas []topology.Replica) connectionCounts {
	counts := connectionCounts{total: make([]int, len(replicas)), sameZone: make([]int, len(replicas))}
	members.Self = members.Members[0]
	plan := NewConnectionPlan(members)
	group := plan.AllocateGroup(testGroup, replicas)
	for zone := range plan.zones {
		for rank := range plan.zones[zone].daemons {
			connected := false
			for i := range replicas {
				budget := group.budgetOf(i, zone, rank)
				counts.total[i] += budget
				if plan.zones[zone].place == replicas[i].Place {
					counts.sameZone[i] += budget
				}
				connected = connected || budget > 0
			}
			if !connected {
				counts.unconnected++
			}
		}
	}
	return counts
}

func TestConnectionPlanRespectsLimit(t *testing.T) {
	cases := []struct {
		name                                  string
		daemons, replicas, zones, limit       int
		maxUnconnected, minTotal, minSameZone int
	}{
		{"one daemon", 1, 4, 2, 75, 0, 67, 0},
		{"as many daemons as connections", 67, 4, 2, 75, 0, 67, 0},
		{"one daemon more than connections", 68, 4, 2, 75, 0, 50, 6},
		{"group in two zones", 200, 4, 2, 75, 0, 65, 17},
		{"more daemons than a small group's connections", 500, 4, 2, 75, 500 - 4*67, 67, 21},
		{"target scale", 2700, 54, 12, 75, 0, 57, 57},
		{"smallest group at target scale", 2700, 4, 4, 75, 2700 - 4*67, 67, 67},
		{"limit of one", 50, 2, 2, 1, 48, 1, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			replicas := testReplicas(test.replicas, test.zones, test.limit)
			counts := countConnections(testMembers(test.daemons), replicas)
			if counts.unconnected > test.maxUnconnected {
				t.Errorf("%d daemons have no connection, want at most %d", counts.unconnected, test.maxUnconnected)
			}
			usable := usableConnections(replicas[0])
			for i, total := range counts.total {
				if total > usable || total < test.minTotal || counts.sameZone[i] < test.minSameZone {
					t.Errorf("replica %d has %d connections, %d from its zone; want %d to %d, at least %d from its zone",
						i, total, counts.sameZone[i], test.minTotal, usable, test.minSameZone)
				}
			}
		})
	}
}

func TestHolderHasBudget(t *testing.T) {
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
				t.Fatalf("%s is a holder of replica %d but has no budget for it", seenByHolder.Self.ID, at)
			}
		}
	}
}

func TestConnectionPlanSkipsDeadMembers(t *testing.T) {
	members := testMembers(2)
	members.Self = members.Members[0]
	members.Members[1].State = topology.MemberDead
	group := NewConnectionPlan(members).AllocateGroup(testGroup, testReplicas(1, 1, 100))
	if budget := group.Budget(0); budget != 90 {
		t.Errorf("budget %d, want 90", budget)
	}
}

func TestLatencyWindow(t *testing.T) {
	window := &latencyWindow{}
	if window.Quantile(0.9) != 0 {
		t.Error("quantile is nonzero without samples")
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
		t.Errorf("old samples still included: 0.1 quantile is %v", got)
	}
}

// BenchmarkConnectionPlan measures the cost of a member change with
// 2,700 daemons and 390 groups of 54 replicas.
func BenchmarkConnectionPlan(b *testing.B) {
	members, replicas := testMembers(2700), testReplicas(54, 12, 75)
	members.Self = members.Members[0]
	for b.Loop() {
		plan := NewConnectionPlan(members)
		for group := range 390 {
			plan.AllocateGroup(fmt.Sprint("group", group), replicas)
		}
	}
}
