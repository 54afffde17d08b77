package decision

import (
	"fmt"
	"testing"
)

func TestColdRateLimitRate(t *testing.T) {
	cases := []struct {
		limit    ColdRateLimit
		capacity float64
		want     int
	}{
		{ColdRateLimit{Overage: 1.5, Slack: 5}, 8, 8}, {ColdRateLimit{Overage: 1.5, Slack: 5}, 0, 0}, {ColdRateLimit{}, 8, 4},
		{ColdRateLimit{Overage: 1.5, Slack: 5}, 100, 77}, {ColdRateLimit{}, 0.5, 1},
	}
	for _, test := range cases {
		if got := test.limit.Rate(test.capacity); got != test.want {
			t.Errorf("%+v with capacity %g: %d requests/s, want %d", test.limit, test.capacity, got, test.want)
		}
	}
}

// The shares add up to the rate for any number of nodes, and two disjoint sets of
// nodes together stay within the limit.
func TestColdRateShareSum(t *testing.T) {
	limit := ColdRateLimit{Overage: 1.5, Slack: 5}
	const capacity = 8
	rate := limit.Rate(capacity)
	for _, count := range []int{1, 3, 8, 12, 50} {
		total := 0
		for set := range 2 {
			var nodes []string
			for i := range count {
				nodes = append(nodes, fmt.Sprint("n", set, "-", i))
			}
			sum, without := 0, 0
			for _, id := range nodes {
				share := ColdRateShare(rate, id, nodes, "z")
				sum += share
				if share == 0 {
					without++
				}
			}
			if sum != rate || (count <= rate && without > 0) {
				t.Errorf("%d nodes: shares add up to %d of %d, %d nodes without a share", count, sum, rate, without)
			}
			if got := ColdRateShare(rate, "other", nodes, "z"); got != 0 {
				t.Errorf("share of an unknown node is %d, want 0", got)
			}
			total += sum
		}
		if bound := limit.Overage*capacity + limit.Slack; float64(total) > bound {
			t.Errorf("two sets of nodes share %d requests/s, limit %g", total, bound)
		}
	}
	if got := ColdRateShare(rate, "n", nil, "z"); got != 0 {
		t.Errorf("share without any nodes is %d, want 0", got)
	}
}

// The nodes that have a share differ between zones.
func TestColdRateShareByZone(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f"}
	differ := false
	for _, id := range nodes {
		first, second := ColdRateShare(2, id, nodes, "z1"), ColdRateShare(2, id, nodes, "z2")
		differ = differ || first != second
	}
	if !differ {
		t.Error("all zones have the same shares")
	}
}
