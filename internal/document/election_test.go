package document

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// newZone returns the members of a zone. The first dead members have state MemberDead.
func newZone(size, dead int) []topology.Member {
	members := make([]topology.Member, size)
	for i := range members {
		members[i] = topology.Member{ID: fmt.Sprintf("daemon-%d", i), Place: topology.Place{Region: "accra", Zone: "accra-a"}}
		if i < dead {
			members[i].State = topology.MemberDead
		}
	}
	return members
}

func TestElectedLimitsPerZone(t *testing.T) {
	cases := []struct {
		name          string
		size, dead    int
		perZone, want int
	}{
		{"alone", 1, 0, 2, 1},
		{"large zone", 225, 0, 2, 2},
		{"most dead", 225, 220, 2, 2},
		{"all but one dead", 3, 2, 2, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			members := newZone(test.size, test.dead)
			otherZone := topology.Member{ID: "x", Place: topology.Place{Region: "kumasi", Zone: "kumasi-a"}}
			elected := 0
			for _, self := range members[test.dead:] {
				if Elected(&topology.Members{Self: self, Members: append(members, otherZone)}, test.perZone) {
					elected++
				}
			}
			if elected != test.want {
				t.Errorf("%d daemons elected, want %d", elected, test.want)
			}
		})
	}
	if Elected(nil, 2) {
		t.Error("daemon without members elected")
	}
}

func TestElectionWaitsForStableMembership(t *testing.T) {
	const step = 500 * time.Millisecond
	cases := []struct {
		name string
		// known is the number of members at each step; the last value is repeated.
		known    []int
		hasSeeds bool
		want     time.Duration
	}{
		{"alone without seeds", []int{1}, false, 0},
		{"alone with seeds", []int{1}, true, defaultMaxWait},
		{"other members from the start", []int{2}, true, defaultSettleTime},
		{"growing membership", []int{1, 1, 10, 100, 200, 225}, true, 5*step + defaultSettleTime},
		{"growth below threshold", []int{220, 221, 222, 223}, true, defaultSettleTime},
		{"shrinking membership", []int{220, 110, 30}, true, defaultSettleTime},
		{"unbounded growth", []int{1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 9999, 11111, 13333, 15555, 18888, 22222, 25555}, true, defaultMaxWait},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			election := NewElection(ElectionOptions{PerZone: 30000, HasSeeds: func() bool { return test.hasSeeds }})
			for i := 0; ; i++ {
				now := time.Duration(i) * step
				members := newZone(test.known[min(i, len(test.known)-1)], 0)
				if election.Elected(now, &topology.Members{Self: members[0], Members: members}) {
					if now != test.want {
						t.Errorf("elected after %v, want %v", now, test.want)
					}
					return
				}
				if now > 2*defaultMaxWait {
					t.Fatal("never elected")
				}
			}
		})
	}
}
