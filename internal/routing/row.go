package routing

import (
	"math"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

// RouteSpec is the part of a route's configuration that determines its policy row.
type RouteSpec struct {
	Name     string
	Timeout  time.Duration
	Attempts int
	Rank     int
	// MinShardFraction is the minimum fraction of the shards that an answer needs.
	MinShardFraction float64
}

// Policy values that are not part of a route's configuration.
const (
	// The weights favor near replicas: a replica in another region must be expected to
	// be faster by this factor, as its traffic crosses regions.
	zoneWeight, regionWeight, farWeight = 1.25, 1.15, 1
	// maxConcurrency is high enough to leave concurrency control to the adaptive limit.
	maxConcurrency = 100_000
	// maxAttempts bounds the attempts of a policy row.
	maxAttempts = 10
)

// priorities by rank. Ranks beyond the last one have the lowest priority.
var priorities = [...]client.Priority{
	client.PriorityCritical, client.PriorityHigh, client.PriorityNormal, client.PriorityBatch,
}

// PolicyRow returns the policy row of a route.
func PolicyRow(spec RouteSpec) *policy.Row {
	row := policy.DefaultRow(spec.Name)
	row.Replicas = policy.Replicas{ZoneWeight: zoneWeight, RegionWeight: regionWeight, FarWeight: farWeight}
	row.Wait = policy.Wait{Timeout: policy.Duration(spec.Timeout)}
	row.Retry.Attempts = min(max(1, spec.Attempts), maxAttempts)
	row.Completeness = policy.Completeness{Target: 1, Min: spec.MinShardFraction}
	row.Limits.Concurrency = maxConcurrency
	row.Priority = priorities[min(max(0, spec.Rank), len(priorities)-1)]
	return &row
}

// ratioTolerance prevents rounding up products that are inexact in floating point,
// such as 0.9*10.
const ratioTolerance = 1e-9

// MinShards returns the minimum number of shards for a ratio, rounded up and at least 1.
func MinShards(ratio float64, shards int) int {
	return max(1, int(math.Ceil(ratio*float64(shards)-ratioTolerance)))
}
