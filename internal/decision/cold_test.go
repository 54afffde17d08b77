package decision

import (
	"fmt"
	"testing"
)

func TestColdRate(t *testing.T) {
	cases := []struct {
		bound ColdRateLimit
		borne float64
		want  int
	}{
		{ColdRateLimit{Overage: 1.5, Slack: 5}, 8, 8}, {ColdRateLimit{Overage: 1.5, Slack: 5}, 0, 0}, {ColdRateLimit{}, 8, 4},
		{ColdRateLimit{Overage: 1.5, Slack: 5}, 100, 77}, {ColdRateLimit{}, 0.5, 1},
	}
	for _, test := range cases {
		if got := test.bound.Rate(test.borne); got != test.want {
			t.Errorf("%+v of %g: %d a second, want %d", test.bound, test.borne, got, test.want)
		}
	}
}

// TestColdSharesAddUp: whatever the number of nodes, and nothing for those that are not
// among them; two divisions that have no node in common stay inside the bound.
func TestColdSharesAddUp(t *testing.T) {
	bound := ColdRateLimit{Overage: 1.5, Slack: 5}
	const borne = 8
	rate := bound.Rate(borne)
	for _, count := range []int{1, 3, 8, 12, 50} {
		halves := 0
		for half := range 2 {
			var sharing []string
			for i := range count {
				sharing = append(sharing, fmt.Sprint("n", half, "-", i))
			}
			sum, without := 0, 0
			for _, id := range sharing {
				share := ColdRateShare(rate, id, sharing, "z")
				sum += share
				if share == 0 {
					without++
				}
			}
			if sum != rate || (count <= rate && without > 0) {
				t.Errorf("%d nodes: %d of %d given out, %d nodes without", count, sum, rate, without)
			}
			if got := ColdRateShare(rate, "other", sharing, "z"); got != 0 {
				t.Errorf("a node that does not share has %d", got)
			}
			halves += sum
		}
		if most := bound.Overage*borne + bound.Slack; float64(halves) > most {
			t.Errorf("two divisions give out %d, the bound is %g", halves, most)
		}
	}
	if got := ColdRateShare(rate, "n", nil, "z"); got != 0 {
		t.Errorf("%d before any node is known", got)
	}
}

// TestTheSameNodesServeAColdZone: a node that may ask one cold replica of a zone may ask
// all, as whole queries need a replica of each shard.
func TestTheSameNodesServeAColdZone(t *testing.T) {
	sharing := []string{"a", "b", "c", "d", "e", "f"}
	differ := false
	for _, id := range sharing {
		first, second := ColdRateShare(2, id, sharing, "z1"), ColdRateShare(2, id, sharing, "z2")
		differ = differ || first != second
	}
	if !differ {
		t.Error("the same nodes serve all zones")
	}
}
