package soak

import (
	"fmt"
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

// TestKindsDrawnApartChangeNoOther: the faults of a seed stay as they were when it failed.
func TestKindsDrawnApartChangeNoOther(t *testing.T) {
	const length = 3 * roundLength
	apart := 0
	for _, fault := range NewPlan(25, length) {
		if fault.Kind >= firstKindApart && fault.Kind < CrashingRequest {
			apart++
		}
	}
	if apart != faultsApart {
		t.Errorf("%d faults are drawn apart in the one round that may have them", apart)
	}
	before := []string{}
	for _, fault := range newPlan(7103, roundLength) {
		before = append(before, fmt.Sprint(fault.Kind, " at ", fault.At.Milliseconds()))
	}
	want := []string{"service_lost at 1979", "configure at 100"}
	if diff := cmp.Diff(want, before); diff != "" {
		t.Errorf("the faults of a seed that failed (-want +got):\n%s", diff)
	}
}
