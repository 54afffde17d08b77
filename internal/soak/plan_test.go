package soak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestAPlanFollowsFromItsSeed(t *testing.T) {
	const length = 2 * time.Minute
	if diff := cmp.Diff(NewPlan(7, length), NewPlan(7, length)); diff != "" {
		t.Errorf("the same seed gives another plan:\n%s", diff)
	}
	if cmp.Equal(NewPlan(7, length), NewPlan(8, length)) {
		t.Error("another seed gives the same plan")
	}
}

func TestPlansHaveEachKindAndCalmRounds(t *testing.T) {
	const length = 5 * roundLength
	seen := make(map[Kind]int)
	for seed := range uint64(200) {
		for _, fault := range NewPlan(seed, length) {
			seen[fault.Kind]++
			if fault.At+fault.For > length {
				t.Fatalf("seed %d: a fault ends at %v", seed, fault.At+fault.For)
			}
			round := int(fault.At / roundLength)
			if round%calmEvery == calmEvery-1 && fault.Kind.hidesNews() {
				t.Fatalf("seed %d: %v in the calm round %d", seed, fault.Kind, round)
			}
		}
	}
	for kind := range kinds {
		if seen[kind] == 0 {
			t.Errorf("no plan has %v", kind)
		}
	}
}
