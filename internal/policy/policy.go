// Package policy defines the policy table: rows of weights and limits, and
// assignments of caller groups to rows. It performs no I/O; package policytable
// edits and distributes the table.
package policy

import (
	"time"

	"github.com/doorpond/doorpond/client"
)

// Duration is a time.Duration that is encoded as text such as "60ms".
type Duration time.Duration

// Selection is the set of shards that a policy asks.
type Selection string

// The shard selections.
const (
	// SelectAll asks every shard that can hold a match.
	SelectAll Selection = "all"
	// SelectBroadcast asks every shard, including those that the key excludes.
	SelectBroadcast Selection = "broadcast"
)

// Row is one policy.
type Row struct {
	Name         string       `json:"name" yaml:"name" validate:"required,max=64,policyname"`
	Shards       Shards       `json:"shards" yaml:"shards"`
	Replicas     Replicas     `json:"replicas" yaml:"replicas"`
	Wait         Wait         `json:"wait" yaml:"wait"`
	Retry        Retry        `json:"retry" yaml:"retry"`
	Completeness Completeness `json:"completeness" yaml:"completeness"`
	Limits       Limits       `json:"limits" yaml:"limits"`
	// Priority is the maximum priority of queries with this policy.
	Priority client.Priority `json:"priority" yaml:"priority" validate:"oneof=critical high normal batch"`
	// Revision is the table revision that last changed this row.
	Revision uint64 `json:"revision" yaml:"-"`
}

// Shards configures which shards are asked.
type Shards struct {
	Selection Selection `json:"selection" yaml:"selection" validate:"oneof=all broadcast"`
	// IndexWeights excludes indexes of weight 0 and, with Fraction, prefers
	// those with higher weights. The default weight is 1.
	IndexWeights map[string]float64 `json:"index_weights,omitempty" yaml:"index_weights" validate:"dive,gte=0,lte=1000"`
	// Fraction is the fraction of the candidate shards that is asked.
	Fraction float64 `json:"fraction" yaml:"fraction" validate:"gt=0,lte=1"`
}

// Replicas configures the choice of replicas.
type Replicas struct {
	// ZoneWeight, RegionWeight and FarWeight are the weights of replicas in the
	// caller's zone, elsewhere in its region, and in other regions. Expected
	// latencies are divided by them: with weights 4 and 1, a nearer replica is
	// preferred until it is expected to be four times slower. Replicas with weight
	// 0 are not used.
	ZoneWeight   float64 `json:"zone_weight" yaml:"zone_weight" validate:"gte=0,lte=1000"`
	RegionWeight float64 `json:"region_weight" yaml:"region_weight" validate:"gte=0,lte=1000"`
	FarWeight    float64 `json:"far_weight" yaml:"far_weight" validate:"gte=0,lte=1000"`
}

// Wait configures timeouts and hedging.
type Wait struct {
	// Timeout is the maximum duration of a query.
	Timeout Duration `json:"timeout" yaml:"timeout" validate:"gt=0"`
	// HedgeQuantile is the quantile of the shard's recent latency after which a
	// second replica is queried; 0 disables hedging.
	HedgeQuantile float64 `json:"hedge_quantile" yaml:"hedge_quantile" validate:"gte=0,lt=1"`
	// HedgeFloor is the minimum delay before a hedge.
	HedgeFloor Duration `json:"hedge_floor" yaml:"hedge_floor" validate:"gte=0"`
}

// Retry limits the additional load of hedges and retries.
type Retry struct {
	// Attempts is the maximum number of sub-requests per shard.
	Attempts int `json:"attempts" yaml:"attempts" validate:"gte=1,lte=10"`
	// BudgetRatio is the number of tokens that each first attempt adds to the
	// budget; each hedge or retry costs one.
	BudgetRatio float64 `json:"budget_ratio" yaml:"budget_ratio" validate:"gte=0,lte=1"`
	// BudgetBurst is the maximum number of tokens in the budget.
	BudgetBurst float64 `json:"budget_burst" yaml:"budget_burst" validate:"gte=0,lte=100000"`
}

// Completeness configures when a partial answer is returned.
type Completeness struct {
	// Target is the fraction of the asked shards that must have answered before
	// the grace period starts.
	Target float64 `json:"target" yaml:"target" validate:"gt=0,lte=1"`
	// Grace is how long to wait for the other shards after Target is reached.
	Grace Duration `json:"grace" yaml:"grace" validate:"gte=0"`
	// Min is the fraction below which the query fails. A query may request a
	// higher minimum, but not a lower one.
	Min float64 `json:"least" yaml:"least" validate:"gte=0,lte=1"`
}

// Limits are the per-daemon limits for queries with a policy.
type Limits struct {
	// Concurrency is the maximum number of queries in flight.
	Concurrency int `json:"concurrency" yaml:"concurrency" validate:"gte=1,lte=100000"`
	// Hits is the maximum number of hits that a query may request.
	Hits int `json:"hits" yaml:"hits" validate:"gte=1,lte=100000"`
}

// Share is one policy of an assignment and its weight.
type Share struct {
	Policy string `json:"policy" yaml:"policy" validate:"required"`
	Weight int    `json:"weight" yaml:"weight" validate:"gte=1,lte=1000"`
}

// Assignment maps a caller group to a policy, or splits it between several by
// a hash of the caller.
type Assignment struct {
	Group    string  `json:"group" yaml:"group" validate:"required,max=64,policyname"`
	Shares   []Share `json:"shares" yaml:"shares" validate:"min=1,max=16,dive"`
	Revision uint64  `json:"revision" yaml:"-"`
}

// DefaultGroup is the group whose assignment applies to groups without one.
const DefaultGroup = "default"

// Table is the policy table at one revision. It is immutable once published;
// each edit creates a new one.
type Table struct {
	// Revision increases by one with each accepted change.
	Revision    uint64       `json:"revision" yaml:"revision"`
	Policies    []Row        `json:"policies" yaml:"policies" validate:"dive"`
	Assignments []Assignment `json:"assignments" yaml:"assignments" validate:"dive"`
	// LastChange is the change that created this revision.
	LastChange Change `json:"last_change" yaml:"-"`
}

// Change is the audit record of one change to the table.
type Change struct {
	// ID identifies the change, so that a write with an unknown outcome can be
	// looked up.
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Summary describes the changes, one per line.
	Summary []string `json:"summary"`
}
