package soak

import (
	"math/rand/v2"
	"time"
)

// Parameters of the faults of tenants.
const (
	// tenantFaults is the number of faults of tenants in each round.
	tenantFaults = 2
	// surgeLength is longer than the window of the quota.
	surgeLength = 6 * time.Second
	// lockoutLength is how long a tenant has no key. It is longer than the time until all
	// nodes refuse its callers.
	lockoutLength = 6 * time.Second
	// companionLead is how long before the change of a tenant a node is disturbed, so that it
	// misses the change.
	companionLead = 200 * time.Millisecond
)

// companions are the kinds that disturb a node while a tenant changes.
var companions = []Kind{StoreLinkSilence, StoreLinkHoldReplies, StoreLinkReset, StopNode, KillNode, PauseNode}

// newTenantRandom returns the random sequence of a seed's tenants. It is separate from the others,
// so that the faults of known failing seeds stay the same.
func newTenantRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed+tenantSequence, seed)) }

// tenantSequence distinguishes the sequence from the others. With it no seed of
// testdata/soak-seeds.txt of before there were tenants has any.
const tenantSequence = 26

// HasTenants reports whether the runs of a seed have tenants. Half of the seeds do.
func HasTenants(seed uint64) bool { return newTenantRandom(seed).IntN(2) == 0 }

// newTenantPlan draws the changes of tenants, and nodes that are disturbed meanwhile, except in
// rounds that check propagation deadlines.
func newTenantPlan(seed uint64, length time.Duration) []Fault {
	if !HasTenants(seed) {
		return nil
	}
	random := newTenantRandom(seed)
	_ = random.IntN(2) // the draw of HasTenants
	var plan []Fault
	for round := 0; time.Duration(round+1)*roundLength <= length; round++ {
		startClock := time.Duration(round) * roundLength
		for range tenantFaults {
			kind := firstTenantKind + Kind(random.IntN(int(kinds-firstTenantKind)))
			fault := newTenantFault(random, startClock, kind)
			plan = append(plan, fault)
			if round%updateCheckInterval == updateCheckInterval-1 || random.IntN(2) == 0 {
				continue
			}
			companion := newFault(random, startClock, companions[random.IntN(len(companions))])
			companion.At = max(startClock, fault.At-companionLead)
			plan = append(plan, companion)
		}
	}
	return plan
}

func newTenantFault(random *rand.Rand, startClock time.Duration, kind Kind) Fault {
	fault := newFault(random, startClock, kind)
	switch kind {
	case TenantSurge:
		fault.For = surgeLength
	case TenantLockout:
		fault.For = lockoutLength
	}
	return fault
}

// newSettledPlan returns the faults of a further round, which starts after all others are over. In
// it only tenants change, and refusals below a limit are checked.
func newSettledPlan(seed uint64, start time.Duration) []Fault {
	if !HasTenants(seed) {
		return nil
	}
	random := newTenantRandom(^seed)
	var plan []Fault
	for _, kind := range []Kind{TenantSurge, TenantLimitDrop, TenantKeyMove, TenantKeyRevoke} {
		plan = append(plan, newTenantFault(random, start+contactTime, kind))
	}
	return plan
}
