package soak

import "testing"

// Guards against tenants in the runs of seeds that failed before there were any: those must play as
// they did.
func TestKnownSeedsHaveNoTenants(t *testing.T) {
	const length = 3 * roundLength
	for _, seed := range []uint64{25, 4, 7103, 842014} {
		for _, fault := range NewPlan(seed, length) {
			if fault.Kind >= firstTenantKind {
				t.Errorf("seed %d: %v", seed, fault.Kind)
			}
		}
		if HasTenants(seed) || newSettledPlan(seed, length) != nil {
			t.Errorf("seed %d has tenants", seed)
		}
	}
}

// Guards against a choice of seeds that leaves too few runs with tenants, or without.
func TestHalfOfSeedsHaveTenants(t *testing.T) {
	count := 0
	for seed := range uint64(1000) {
		if HasTenants(seed) {
			count++
		}
	}
	if count < 400 || count > 600 {
		t.Errorf("%d of 1000 seeds have tenants", count)
	}
}

// Guards against other faults in the round that judges refusals.
func TestSettledPlan(t *testing.T) {
	const start = 3 * roundLength
	for seed := range uint64(20) {
		for _, fault := range newSettledPlan(seed, start) {
			if fault.Kind < firstTenantKind || fault.At < start+contactTime || fault.For > surgeLength {
				t.Errorf("seed %d: %v from %v for %v", seed, fault.Kind, fault.At, fault.For)
			}
		}
	}
}
