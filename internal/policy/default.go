package policy

import (
	"time"

	"github.com/doorpond/doorpond/client"
)

// DefaultName is the name of the only policy in DefaultTable.
const DefaultName = "default"

// DefaultRow returns a policy with default weights and limits. It asks every
// shard, prefers replicas in the caller's zone, and hedges after the 95th
// percentile of latency within a budget of 7% of the first attempts.
func DefaultRow(name string) Row {
	return Row{
		Name:     name,
		Shards:   Shards{Selection: SelectAll, Fraction: 1},
		Replicas: Replicas{ZoneWeight: 4, RegionWeight: 2, FarWeight: 1},
		Wait: Wait{
			Timeout:       Duration(time.Second),
			HedgeQuantile: 0.95,
			HedgeFloor:    Duration(5 * time.Millisecond),
		},
		Retry:        Retry{Attempts: 3, BudgetRatio: 0.07, BudgetBurst: 50},
		Completeness: Completeness{Target: 1, Grace: Duration(0), Min: 0},
		Limits:       Limits{Concurrency: 256, Hits: 1000},
		Priority:     client.PriorityNormal,
	}
}

// DefaultTable returns a table with one policy that applies to all groups.
func DefaultTable() *Table {
	return &Table{
		Policies: []Row{DefaultRow(DefaultName)},
		Assignments: []Assignment{
			{Group: DefaultGroup, Shares: []Share{{Policy: DefaultName, Weight: 1}}},
		},
	}
}
