package routing

import (
	"math"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

// RouteSpec are what operators state of a route; PolicyRow and LeastShards turn
// them into weights and limits.
type RouteSpec struct {
	Name     string
	Timeout  time.Duration
	Attempts int
	Rank     int
	// MinShardRatio is the share of the shards without which there is no answer.
	MinShardRatio float64
}

// The weights and limits that operators do not state.
const (
	// A farther replica must be expected to be that much faster: its bytes cross
	// regions.
	zoneWeight, regionWeight, farWeight = 1.25, 1.15, 1
	// maxConcurrency leaves it to the node's adaptive limit how many requests of
	// a route are in flight.
	maxConcurrency = 100_000
	// maxAttempts bounds the attempts of a policy row.
	maxAttempts = 10
)

// priorities by rank; lower ranks have the last one.
var priorities = [...]client.Priority{
	client.PriorityCritical, client.PriorityHigh, client.PriorityNormal, client.PriorityBatch,
}

// PolicyRow returns the policy row of a route.
func PolicyRow(terms RouteSpec) *policy.Row {
	row := policy.DefaultRow(terms.Name)
	row.Replicas = policy.Replicas{ZoneWeight: zoneWeight, RegionWeight: regionWeight, FarWeight: farWeight}
	row.Wait = policy.Wait{Timeout: policy.Duration(terms.Timeout)}
	row.Retry.Attempts = min(max(1, terms.Attempts), maxAttempts)
	row.Completeness = policy.Completeness{Target: 1, Min: terms.MinShardRatio}
	row.Limits.Concurrency = maxConcurrency
	row.Priority = priorities[min(max(0, terms.Rank), len(priorities)-1)]
	return &row
}

// ratioTolerance keeps a share such as 0.9 of 10 from being rounded up.
const ratioTolerance = 1e-9

// MinShards returns how many of some shards are the least share of them.
func MinShards(share float64, shards int) int {
	return max(1, int(math.Ceil(share*float64(shards)-ratioTolerance)))
}
