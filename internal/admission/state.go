package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxStateTargets and maxStateTenants bound what State lists.
	maxStateTargets = 100
	maxStateTenants = 10
	// shortageExpiry is the time after the last refusal at the limit at which a target is no longer
	// short of capacity.
	shortageExpiry = 2 * time.Second
)

// TargetState is the state of a target for operators.
type TargetState struct {
	Target   string  `json:"target"`
	Limit    float64 `json:"limit"`
	InFlight int64   `json:"in_flight"`
	// Short reports whether requests have recently been refused at the limit.
	Short bool `json:"short"`
	// Waiting is the number of queries in flight that wait for a full shard.
	Waiting int64 `json:"waiting"`
	// TenantCount is the number of tenants that recently used the target; Tenants are those that use
	// most of it.
	TenantCount int           `json:"tenant_count"`
	Tenants     []TenantState `json:"tenants,omitempty"`
}

// TenantState is a tenant's use of a target.
type TenantState struct {
	Name     string `json:"name"`
	Rank     int    `json:"rank"`
	InFlight int    `json:"in_flight"`
	// Use is the recent mean of InFlight, Demand what it would be without refusals, and Share the use
	// up to which the tenant is within its share; it is 0 until the shares are computed.
	Use    float64 `json:"use"`
	Demand float64 `json:"demand"`
	Share  float64 `json:"share"`
}

// State returns the state of the targets with most requests in flight.
func (c *Controllers) State(now time.Time) []TargetState {
	var states []TargetState
	c.byTarget.Range(func(target, controller any) bool {
		known := controller.(*Controller)
		states = append(states, TargetState{
			Target: target.(string), Limit: known.limit.current(), InFlight: known.inFlight.Load(), Short: known.shortage.active(now),
		})
		return true
	})
	slices.SortFunc(states, func(a, b TargetState) int {
		return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Target, b.Target))
	})
	states = states[:min(len(states), maxStateTargets)]
	for i := range states {
		states[i].TenantCount, states[i].Tenants = c.ForTarget(states[i].Target).tenantStates(now)
	}
	return states
}

// tenantStates returns the number of tenants, and those that use most.
func (c *Controller) tenantStates(now time.Time) (count int, states []TenantState) {
	c.shares.mutex.Lock()
	defer c.shares.mutex.Unlock()
	for tenant, one := range c.shares.byTenant {
		if tenant == NoTenant {
			continue
		}
		one.settle(now)
		state := TenantState{Name: tenant.Name, Rank: tenant.Rank, InFlight: one.inFlight, Use: one.recent, Demand: one.demand()}
		if at := c.shares.position(one.rank); at < len(c.shares.classes) && c.shares.classes[at].rank == one.rank {
			state.Share = c.shares.classes[at].level
		}
		states = append(states, state)
	}
	count = len(states)
	slices.SortFunc(states, func(a, b TenantState) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	return count, slices.Clip(states[:min(count, maxStateTenants)])
}
