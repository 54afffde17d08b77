package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/topology"
)

// probersSeenBy returns the IDs of each replica's probers as computed by one
// member.
func probersSeenBy(members topology.Members, self int, replicas []topology.Replica) [][]string {
	members.Self = members.Members[self]
	group := NewConnectionPlan(members).AllocateGroup(testGroup, replicas)
	probers := make([][]string, len(replicas))
	for i := range replicas {
		for _, member := range group.Probers(i) {
			probers[i] = append(probers[i], member.ID)
		}
		if group.Probes(i) != slices.Contains(probers[i], members.Self.ID) || (group.Probes(i) && group.Budget(i) == 0) {
			probers[i] = append(probers[i], "disagreement")
		}
	}
	return probers
}

func TestProbers(t *testing.T) {
	cases := []struct {
		name                     string
		daemons, replicas, limit int
		leaving                  int // index of the first leaving daemon, followed by every 12th; 0 for none
		want, near               int // probers per replica, and how many from its zone
	}{
		{"one daemon", 1, 4, 75, 0, 1, 0},
		{"two daemons", 2, 4, 75, 0, 2, 0},
		{"all daemons connect to all replicas", 60, 12, 75, 0, 2, 2},
		{"daemons of a zone leaving", 60, 12, 75, 4, 2, 0},
		{"replicas without a limit", 60, 12, 0, 0, 2, 2},
		{"group at target scale", 2700, 54, 75, 0, 2, 2},
		{"limit of one", 50, 4, 1, 0, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			members, replicas := testMembers(test.daemons), testReplicas(test.replicas, min(test.replicas, 12), test.limit)
			for at := test.leaving; at > 0 && at < test.daemons; at += 12 {
				members.Members[at].State = topology.MemberLeaving
			}
			first, last := probersSeenBy(members, 0, replicas), probersSeenBy(members, test.daemons-1, replicas)
			if diff := cmp.Diff(first, last); diff != "" {
				t.Errorf("daemons disagree (-first +last):\n%s", diff)
			}
			for i, probers := range first {
				if len(probers) != test.want {
					t.Errorf("replica %d has probers %v", i, probers)
				}
				checkProbers(t, members, probers, replicas[i], test.near)
			}
		})
	}
}

func checkProbers(t *testing.T, members topology.Members, probers []string, replica topology.Replica, leastNear int) {
	t.Helper()
	near, zoneLeaving := 0, false
	for _, member := range members.Members {
		chosen := slices.Contains(probers, member.ID)
		zoneLeaving = zoneLeaving || (member.State == topology.MemberLeaving && member.Place == replica.Place)
		if chosen && member.State == topology.MemberLeaving {
			t.Errorf("leaving daemon %s probes %s", member.ID, replica.Address)
		}
		if chosen && member.Place == replica.Place {
			near++
		}
	}
	if near < leastNear && !zoneLeaving {
		t.Errorf("%d of probers %v are in the zone of %s, want %d", near, probers, replica.Address, leastNear)
	}
}

func TestLostProberIsReplaced(t *testing.T) {
	members, replicas := testMembers(48), testReplicas(48, 12, 75)
	before := probersSeenBy(members, 0, replicas)
	lost := before[5][0]
	members.Members = slices.DeleteFunc(members.Members, func(member topology.Member) bool { return member.ID == lost })
	after := probersSeenBy(members, 1, replicas)
	for i := range replicas {
		kept := slices.DeleteFunc(slices.Clone(before[i]), func(id string) bool { return id == lost })
		if len(after[i]) != probersPerReplica || !slices.Equal(kept, after[i][:len(kept)]) {
			t.Errorf("probers of replica %d changed from %v to %v after %s was lost", i, before[i], after[i], lost)
		}
	}
}

// The load of each daemon at target scale must stay below maxProbesPerSecond.
func TestProbeLoadAtTargetScale(t *testing.T) {
	const groups = 390
	members, replicas := testMembers(2700), testReplicas(54, 12, 75)
	members.Self = members.Members[0]
	plan := NewConnectionPlan(members)
	load := make(map[string]int)
	for at := range groups {
		for i := range replicas {
			replicas[i].Address = fmt.Sprintf("replica%03d.%d", i, at)
		}
		group := plan.AllocateGroup(fmt.Sprint("group", at), replicas)
		for i := range replicas {
			for _, prober := range group.Probers(i) {
				load[prober.ID]++
			}
		}
	}
	maximum, total := 0, 0
	for _, count := range load {
		maximum, total = max(maximum, count), total+count
	}
	t.Logf("%d daemons probe up to %d replicas each, %.1f on average", len(load), maximum, float64(total)/2700)
	if total != groups*54*probersPerReplica || maximum > maxProbesPerSecond {
		t.Errorf("%d probes per period, up to %d by one daemon", total, maximum)
	}
}

func scheduledHandles(count int) []*Handle {
	var handles []*Handle
	for _, replica := range testReplicas(count, 1, 75) {
		handles = append(handles, &Handle{replica: replica})
	}
	return handles
}

func TestProbeSchedule(t *testing.T) {
	cases := []struct {
		name     string
		replicas int
		longest  time.Duration // time between two probes of a replica
	}{
		{"few replicas", 16, probePeriod * 5 / 4},
		{"at the rate limit", maxProbesPerSecond, probePeriod * 5 / 4},
		{"above the rate limit", 4 * maxProbesPerSecond, 5 * probePeriod},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			schedule, handles := newProbeSchedule(7), scheduledHandles(test.replicas)
			const length = 60 * time.Second
			probes := 0
			last := make(map[*Handle]time.Duration)
			for at := time.Duration(0); at < length; at += ProbeTick {
				for _, handle := range schedule.due(time.Unix(0, 0).Add(at), handles) {
					if waited := at - last[handle]; waited > test.longest+ProbeTick {
						t.Errorf("%s not probed for %v", handle.replica.Address, waited)
					}
					last[handle] = at
					probes++
				}
			}
			if len(last) != test.replicas || probes > maxProbesPerSecond*int(length/time.Second) {
				t.Errorf("%d probes of %d replicas", probes, len(last))
			}
		})
	}
}

func TestProbeScheduleDropsUnassigned(t *testing.T) {
	schedule := newProbeSchedule(7)
	schedule.due(time.Unix(0, 0), scheduledHandles(3))
	schedule.due(time.Unix(1, 0), scheduledHandles(1))
	if len(schedule.next) != 1 {
		t.Errorf("%d replicas scheduled, want 1", len(schedule.next))
	}
}

// BenchmarkProbers measures the cost of choosing probers after a
// member change, with 2,700 daemons and 390 groups of 54 replicas.
func BenchmarkProbers(b *testing.B) {
	members, replicas := testMembers(2700), testReplicas(54, 12, 75)
	members.Self = members.Members[0]
	plan := NewConnectionPlan(members)
	var groups []*GroupConnections
	for at := range 390 {
		groups = append(groups, plan.AllocateGroup(fmt.Sprint("group", at), replicas))
	}
	for b.Loop() {
		for _, group := range groups {
			for i := range replicas {
				if group.Budget(i) > 0 {
					group.Probes(i)
				}
			}
		}
	}
}
