package document

import (
	"fmt"
	"testing"

	"github.com/doorpond/doorpond/internal/topology"
)

// zoneOf makes a zone's daemons, of which the first gone are dead.
func zoneOf(size, gone int) []topology.Member {
	members := make([]topology.Member, size)
	for i := range members {
		members[i] = topology.Member{ID: fmt.Sprintf("daemon-%d", i), Place: topology.Place{Region: "accra", Zone: "accra-a"}}
		if i < gone {
			members[i].State = topology.MemberDead
		}
	}
	return members
}

func TestElectedAreAFewOfTheLiveDaemonsOfAZone(t *testing.T) {
	cases := []struct {
		name          string
		size, gone    int
		perZone, want int
	}{
		{"alone", 1, 0, 2, 1},
		{"a large zone", 225, 0, 2, 2},
		{"most are dead", 225, 220, 2, 2},
		{"all but one are dead", 3, 2, 2, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			members := zoneOf(test.size, test.gone)
			elsewhere := topology.Member{ID: "x", Place: topology.Place{Region: "kumasi", Zone: "kumasi-a"}}
			elected := 0
			for _, self := range members[test.gone:] {
				if Elected(&topology.Members{Self: self, Members: append(members, elsewhere)}, test.perZone) {
					elected++
				}
			}
			if elected != test.want {
				t.Errorf("%d daemons are elected, want %d", elected, test.want)
			}
		})
	}
	if Elected(nil, 2) {
		t.Error("a daemon without a membership is elected")
	}
}
