package client

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSortHits(t *testing.T) {
	late := Hit{ID: "1", Index: "a", TimeMilliseconds: 9, Rank: 1}
	early := Hit{ID: "2", Index: "b", TimeMilliseconds: 1, Rank: 1}
	best := Hit{ID: "3", Index: "c", TimeMilliseconds: 9, Rank: 2}
	sibling := Hit{ID: "0", Index: "a", TimeMilliseconds: 9, Rank: 1}
	// other sorts after late by index, although its ID is smaller.
	other := Hit{ID: "0", Index: "b", TimeMilliseconds: 9, Rank: 1}
	cases := map[string]struct {
		order Order
		want  []Hit
	}{
		"rank then index then ID": {OrderRank, []Hit{best, sibling, late, other, early}},
		"time then index then ID": {OrderTime, []Hit{early, sibling, late, other, best}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			hits := []Hit{late, other, early, best, sibling}
			SortHits(hits, test.order)
			if diff := cmp.Diff(test.want, hits); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}
