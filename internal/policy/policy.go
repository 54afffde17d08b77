// Package policy holds the operators' shared table as immutable data: rows of
// weights and limits, and assignments of caller groups to rows. It reads and
// writes nothing; package policytable edits and propagates the table.
package policy

import (
	"time"

	"github.com/doorpond/doorpond/client"
)

// Duration is a time.Duration that reads and writes as text such as "60ms".
type Duration time.Duration

// Selection says which shards a policy asks.
type Selection string

// The shard selections.
const (
	// SelectAll asks every shard that can hold a match.
	SelectAll Selection = "all"
	// SelectBroadcast asks every shard, also those that the key excludes.
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
	// Priority is the greatest priority that queries of this policy have.
	Priority client.Priority `json:"priority" yaml:"priority" validate:"oneof=critical high normal batch"`
	// Revision is the table revision that last changed this row.
	Revision uint64 `json:"revision" yaml:"-"`
}

// Shards says which shards are asked.
type Shards struct {
	Selection Selection `json:"selection" yaml:"selection" validate:"oneof=all broadcast"`
	// IndexWeights leaves out indexes of weight 0 and, with Fraction, prefers
	// heavier ones; an index not named has weight 1.
	IndexWeights map[string]float64 `json:"index_weights,omitempty" yaml:"index_weights" validate:"dive,gte=0,lte=1000"`
	// Fraction of the candidate shards that are asked, over 0 and up to 1.
	Fraction float64 `json:"fraction" yaml:"fraction" validate:"gt=0,lte=1"`
}

// Replicas are the weights of replica choice.
type Replicas struct {
	// ZoneWeight, RegionWeight and FarWeight weigh replicas of the caller's
	// zone, of its region, and of other regions: a nearer replica is preferred
	// until it is expected to take as many times longer as the weights are
	// apart. 0 means never.
	ZoneWeight   float64 `json:"zone_weight" yaml:"zone_weight" validate:"gte=0,lte=1000"`
	RegionWeight float64 `json:"region_weight" yaml:"region_weight" validate:"gte=0,lte=1000"`
	FarWeight    float64 `json:"far_weight" yaml:"far_weight" validate:"gte=0,lte=1000"`
}

// Wait says how long to wait for each shard.
type Wait struct {
	// Timeout is the longest a query takes.
	Timeout Duration `json:"timeout" yaml:"timeout" validate:"gt=0"`
	// HedgeQuantile of the shard's recent latency after which a second
	// replica is asked; 0 means no hedging.
	HedgeQuantile float64 `json:"hedge_quantile" yaml:"hedge_quantile" validate:"gte=0,lt=1"`
	// HedgeFloor is the shortest wait before a hedge.
	HedgeFloor Duration `json:"hedge_floor" yaml:"hedge_floor" validate:"gte=0"`
}

// Retry bounds the extra load of hedges and retries.
type Retry struct {
	// Attempts is the greatest number of sub-requests to one shard.
	Attempts int `json:"attempts" yaml:"attempts" validate:"gte=1,lte=10"`
	// BudgetRatio is the number of hedges and retries earned by each first
	// attempt.
	BudgetRatio float64 `json:"budget_ratio" yaml:"budget_ratio" validate:"gte=0,lte=1"`
	// BudgetBurst is the greatest number that can be saved up.
	BudgetBurst float64 `json:"budget_burst" yaml:"budget_burst" validate:"gte=0,lte=100000"`
}

// Completeness says when an answer is complete enough to return.
type Completeness struct {
	// Target is the share of asked shards, from 0 to 1, from which on the
	// policy waits no longer than Grace.
	Target float64 `json:"target" yaml:"target" validate:"gt=0,lte=1"`
	// Grace is how long to wait for the rest once Target is reached.
	Grace Duration `json:"grace" yaml:"grace" validate:"gte=0"`
	// Min is the share below which the answer is an error; a query may ask
	// for more, not for less.
	Min float64 `json:"least" yaml:"least" validate:"gte=0,lte=1"`
}

// Limits bound what queries of one policy hold at one daemon.
type Limits struct {
	// Concurrency is the greatest number of queries in flight.
	Concurrency int `json:"concurrency" yaml:"concurrency" validate:"gte=1,lte=100000"`
	// Hits is the greatest limit that a query may ask for.
	Hits int `json:"hits" yaml:"hits" validate:"gte=1,lte=100000"`
}

// Share is one part of a split assignment.
type Share struct {
	Policy string `json:"policy" yaml:"policy" validate:"required"`
	Weight int    `json:"weight" yaml:"weight" validate:"gte=1,lte=1000"`
}

// Assignment maps a caller group to one policy, or splits it over several by
// a hash of the caller.
type Assignment struct {
	Group    string  `json:"group" yaml:"group" validate:"required,max=64,policyname"`
	Shares   []Share `json:"shares" yaml:"shares" validate:"min=1,max=16,dive"`
	Revision uint64  `json:"revision" yaml:"-"`
}

// DefaultGroup is the assignment used for groups that have none.
const DefaultGroup = "default"

// Table is the whole table at one revision. It is immutable once published;
// an edit makes a new one.
type Table struct {
	// Revision grows by one with each accepted change.
	Revision    uint64       `json:"revision" yaml:"revision"`
	Policies    []Row        `json:"policies" yaml:"policies" validate:"dive"`
	Assignments []Assignment `json:"assignments" yaml:"assignments" validate:"dive"`
	// LastChange is the change that made this revision.
	LastChange Change `json:"last_change" yaml:"-"`
}

// Change records who changed what, when.
type Change struct {
	// ID identifies the change, so that an unclear write can be looked for.
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Summary says what changed, one line an item.
	Summary []string `json:"summary"`
}
