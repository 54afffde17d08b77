// Package comparison compares the statistics of two policies. Each figure has a
// confidence interval, or is marked as having too few samples for one, so that
// an operator can tell whether a difference is statistically significant.
package comparison

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/statistics"
)

// Quantiles lists the latency quantiles that are compared.
var Quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// Verdict is the outcome of comparing two estimates.
type Verdict string

const (
	// VerdictLower and VerdictHigher mean that the first policy's interval lies
	// entirely below or above the second's.
	VerdictLower  Verdict = "lower"
	VerdictHigher Verdict = "higher"
	// VerdictInconclusive means that the intervals overlap, so the difference
	// may be due to chance.
	VerdictInconclusive Verdict = "no clear difference"
	// VerdictTooFewSamples means that at least one policy has too few samples.
	VerdictTooFewSamples Verdict = "too few samples"
)

// Estimate is a figure with its 95% confidence interval.
type Estimate struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	// HasInterval is false if there are too few samples for an interval; Low and
	// High are then 0.
	HasInterval bool `json:"enough"`
}

// LatencyComparison compares one latency quantile, in milliseconds.
type LatencyComparison struct {
	Quantile float64  `json:"quantile"`
	A        Estimate `json:"a_ms"`
	B        Estimate `json:"b_ms"`
	// Verdict describes A relative to B.
	Verdict Verdict `json:"verdict"`
}

// ProportionComparison compares a proportion of queries, from 0 to 1.
type ProportionComparison struct {
	A       Estimate `json:"a"`
	B       Estimate `json:"b"`
	Verdict Verdict  `json:"verdict"`
}

// PolicySummary holds the counters of one policy.
type PolicySummary struct {
	Policy  string `json:"policy"`
	Queries int64  `json:"queries"`
	Failed  int64  `json:"failed"`
	// Coverage is the fraction of queried shards that answered.
	Coverage float64 `json:"coverage"`
	// ExtraLoad is the number of sub-requests beyond one per queried shard,
	// divided by the number of queried shards.
	ExtraLoad   float64 `json:"extra_load"`
	Subrequests int64   `json:"subrequests"`
	Hedges      int64   `json:"hedges"`
	Cancelled   int64   `json:"cancelled"`
}

// Report is the comparison of two policies.
type Report struct {
	A       PolicySummary       `json:"a"`
	B       PolicySummary       `json:"b"`
	Latency []LatencyComparison `json:"latency"`
	// Complete is the proportion of queries that all queried shards answered.
	Complete ProportionComparison `json:"whole"`
	// Failed is the proportion of queries that ended in an error.
	Failed ProportionComparison `json:"failed"`
	// Warnings lists the figures that have too few samples, for display.
	Warnings []string `json:"warnings"`
}

// Compare compares policies a and b. An empty group means all groups.
func Compare(measured []statistics.PolicyStatistics, a, b, group string) Report {
	first, second := sum(measured, a, group), sum(measured, b, group)
	report := Report{
		A:        summarize(&first),
		B:        summarize(&second),
		Complete: compareProportions(first.Complete, first.Queries, second.Complete, second.Queries),
		Failed:   compareProportions(first.Failed, first.Queries, second.Failed, second.Queries),
		Warnings: []string{},
	}
	for _, quantile := range Quantiles {
		row := LatencyComparison{Quantile: quantile, A: latency(&first, quantile), B: latency(&second, quantile)}
		row.Verdict = compareEstimates(row.A, row.B)
		report.Latency = append(report.Latency, row)
	}
	report.addWarnings(&first)
	report.addWarnings(&second)
	return report
}

// sum merges the statistics of a policy over its groups.
func sum(measured []statistics.PolicyStatistics, policy, group string) statistics.PolicyStatistics {
	total := statistics.PolicyStatistics{Policy: policy}
	for _, entry := range measured {
		if entry.Policy != policy || (group != "" && entry.Group != group) {
			continue
		}
		entry.Group = ""
		total = statistics.Merge([]statistics.PolicyStatistics{total}, []statistics.PolicyStatistics{entry})[0]
	}
	return total
}

func summarize(total *statistics.PolicyStatistics) PolicySummary {
	return PolicySummary{
		Policy:      total.Policy,
		Queries:     total.Queries,
		Failed:      total.Failed,
		Coverage:    total.Coverage(),
		ExtraLoad:   total.ExtraLoad(),
		Subrequests: total.Attempts,
		Hedges:      total.Hedges,
		Cancelled:   total.Cancelled,
	}
}

func latency(total *statistics.PolicyStatistics, quantile float64) Estimate {
	samples := total.Samples()
	estimate := Estimate{Value: milliseconds(total.Quantile(quantile))}
	low, high, sufficient := quantileRanks(samples, quantile)
	if !sufficient {
		return estimate
	}
	estimate.Low = milliseconds(total.Quantile(float64(low) / float64(samples)))
	estimate.High = milliseconds(total.Quantile(float64(high) / float64(samples)))
	estimate.HasInterval = true
	return estimate
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// minQueries is the number of queries below which a proportion has no interval.
const minQueries = 20

func compareProportions(successesA, totalA, successesB, totalB int64) ProportionComparison {
	row := ProportionComparison{A: proportion(successesA, totalA), B: proportion(successesB, totalB)}
	row.Verdict = compareEstimates(row.A, row.B)
	return row
}

func proportion(successes, total int64) Estimate {
	if total < minQueries {
		return Estimate{Value: float64(successes) / float64(max(1, total))}
	}
	low, high := wilsonInterval(successes, total)
	return Estimate{Value: float64(successes) / float64(total), Low: low, High: high, HasInterval: true}
}

func compareEstimates(a, b Estimate) Verdict {
	switch {
	case !a.HasInterval || !b.HasInterval:
		return VerdictTooFewSamples
	case a.High < b.Low:
		return VerdictLower
	case a.Low > b.High:
		return VerdictHigher
	default:
		return VerdictInconclusive
	}
}

// addWarnings describes the quantiles for which the policy has too few samples.
func (r *Report) addWarnings(total *statistics.PolicyStatistics) {
	samples := total.Samples()
	if samples == 0 {
		r.Warnings = append(r.Warnings, fmt.Sprintf("no query of policy %q was answered in this time", total.Policy))
		return
	}
	for _, quantile := range Quantiles {
		if _, _, sufficient := quantileRanks(samples, quantile); !sufficient {
			r.Warnings = append(r.Warnings, fmt.Sprintf("too few samples of policy %q for p%g and above: %d",
				total.Policy, Percentile(quantile), samples))
			return
		}
	}
}

// Percentile converts a quantile to a percentile with one decimal, such as 99.9.
func Percentile(quantile float64) float64 {
	const percent, digits = 100, 10
	return float64(int64(quantile*percent*digits+0.5)) / digits
}
