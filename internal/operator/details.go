package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/doorpond/doorpond/internal/policy"
)

// printFields writes one line per field of a policy, with the field names that
// "doorpond policy set" accepts.
func printFields(w io.Writer, row *policy.Row) {
	fields := newColumnWriter(w, "FIELD", "VALUE")
	fields.row("name", row.Name)
	fields.row("priority", row.Priority)
	fields.row("shards.selection", row.Shards.Selection)
	fields.row("shards.fraction", row.Shards.Fraction)
	for _, index := range slices.Sorted(maps.Keys(row.Shards.IndexWeights)) {
		fields.row(indexWeightsField+index, row.Shards.IndexWeights[index])
	}
	fields.row("replicas.zone_weight", row.Replicas.ZoneWeight)
	fields.row("replicas.region_weight", row.Replicas.RegionWeight)
	fields.row("replicas.far_weight", row.Replicas.FarWeight)
	fields.row("wait.timeout", row.Wait.Timeout)
	fields.row("wait.hedge_quantile", row.Wait.HedgeQuantile)
	fields.row("wait.hedge_floor", row.Wait.HedgeFloor)
	fields.row("retry.attempts", row.Retry.Attempts)
	fields.row("retry.budget_ratio", row.Retry.BudgetRatio)
	fields.row("retry.budget_burst", row.Retry.BudgetBurst)
	fields.row("completeness.target", row.Completeness.Target)
	fields.row("completeness.grace", row.Completeness.Grace)
	fields.row("completeness.least", row.Completeness.Min)
	fields.row("limits.concurrency", row.Limits.Concurrency)
	fields.row("limits.hits", row.Limits.Hits)
	fields.flush()
	fmt.Fprintln(w, "last changed at revision", row.Revision)
}
