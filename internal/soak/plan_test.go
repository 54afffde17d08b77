package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestNewPlanDeterministic(t *testing.T) {
	const length = 2 * time.Minute
	if diff := cmp.Diff(NewPlan(7, length), NewPlan(7, length)); diff != "" {
		t.Errorf("plans of the same seed differ:\n%s", diff)
	}
	if cmp.Equal(NewPlan(7, length), NewPlan(8, length)) {
		t.Error("plans of different seeds are equal")
	}
}

func TestNewPlanCoversAllKinds(t *testing.T) {
	const length = 5 * roundLength
	seen := make(map[Kind]int)
	for seed := range uint64(200) {
		for _, fault := range NewPlan(seed, length) {
			seen[fault.Kind]++
			if fault.At+fault.For > length {
				t.Fatalf("seed %d: a fault ends at %v, after the run", seed, fault.At+fault.For)
			}
			round := int(fault.At / roundLength)
			if round%updateCheckInterval == updateCheckInterval-1 && fault.Kind.delaysStoreUpdates() {
				t.Fatalf("seed %d: %v in round %d, which checks store updates", seed, fault.Kind, round)
			}
		}
	}
	for kind := range kinds {
		if seen[kind] == 0 {
			t.Errorf("no plan contains %v", kind)
		}
	}
}

// TestNewPlanKeepsEarlierDraws guards the faults of known failing seeds.
func TestNewPlanKeepsEarlierDraws(t *testing.T) {
	const length = 3 * roundLength
	apart := 0
	for _, fault := range NewPlan(25, length) {
		if fault.Kind >= firstSupplementaryKind && fault.Kind < CrashingRequest {
			apart++
		}
	}
	if apart != supplementaryFaults {
		t.Errorf("got %d supplementary faults in the only round that has any", apart)
	}
	before := []string{}
	for _, fault := range newPlan(7103, roundLength) {
		before = append(before, fmt.Sprint(fault.Kind, " at ", fault.At.Milliseconds()))
	}
	want := []string{"service_lost at 1979", "configure at 100"}
	if diff := cmp.Diff(want, before); diff != "" {
		t.Errorf("faults of a known failing seed (-want +got):\n%s", diff)
	}
}
