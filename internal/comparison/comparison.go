// Package comparison sets the statistics of two policies side by side, each
// figure with an interval or a plain warning where the samples are too few to
// say anything, so that an operator sees whether a difference means anything.
package comparison

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/statistics"
)

// Quantiles are the latency quantiles that are compared.
var Quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// Verdict says whether a difference means anything.
type Verdict string

// The verdicts.
const (
	// VerdictLower and VerdictHigher: the first policy's interval lies wholly
	// under or over the second's.
	VerdictLower  Verdict = "lower"
	VerdictHigher Verdict = "higher"
	// VerdictInconclusive: the intervals overlap, so the difference may be chance.
	VerdictInconclusive Verdict = "no clear difference"
	// VerdictTooFewSamples: at least one policy has too few samples.
	VerdictTooFewSamples Verdict = "too few samples"
)

// Estimate is one figure with its 95% interval.
type Estimate struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	// HasInterval is false where the samples are too few for an interval; Low and
	// High are 0 then.
	HasInterval bool `json:"enough"`
}

// LatencyComparison is one latency quantile of both policies, in milliseconds.
type LatencyComparison struct {
	Quantile float64  `json:"quantile"`
	A        Estimate `json:"a_ms"`
	B        Estimate `json:"b_ms"`
	// Verdict is about A as against B.
	Verdict Verdict `json:"verdict"`
}

// ProportionComparison is a share of queries of both policies, from 0 to 1.
type ProportionComparison struct {
	A       Estimate `json:"a"`
	B       Estimate `json:"b"`
	Verdict Verdict  `json:"verdict"`
}

// PolicySummary is what was counted of one policy.
type PolicySummary struct {
	Policy  string `json:"policy"`
	Queries int64  `json:"queries"`
	Failed  int64  `json:"failed"`
	// Coverage is the share of the asked shards that answered.
	Coverage float64 `json:"coverage"`
	// ExtraLoad is the sub-requests over one a shard asked, as a share.
	ExtraLoad   float64 `json:"extra_load"`
	Subrequests int64   `json:"subrequests"`
	Hedges      int64   `json:"hedges"`
	Cancelled   int64   `json:"cancelled"`
}

// Report sets two policies side by side.
type Report struct {
	A       PolicySummary       `json:"a"`
	B       PolicySummary       `json:"b"`
	Latency []LatencyComparison `json:"latency"`
	// Complete is the share of queries that all asked shards answered.
	Complete ProportionComparison `json:"whole"`
	// Failed is the share of queries that ended in an error.
	Failed ProportionComparison `json:"failed"`
	// Warnings are for reading; there are none where all is clear.
	Warnings []string `json:"warnings"`
}

// Compare sets policies a and b side by side. An empty group means all groups.
func Compare(measured []statistics.PolicyStatistics, a, b, group string) Report {
	first, second := sum(measured, a, group), sum(measured, b, group)
	report := Report{
		A:        sideOf(&first),
		B:        sideOf(&second),
		Complete: compareShares(first.Complete, first.Queries, second.Complete, second.Queries),
		Failed:   compareShares(first.Failed, first.Queries, second.Failed, second.Queries),
		Warnings: []string{},
	}
	for _, quantile := range Quantiles {
		row := LatencyComparison{Quantile: quantile, A: latency(&first, quantile), B: latency(&second, quantile)}
		row.Verdict = judge(row.A, row.B)
		report.Latency = append(report.Latency, row)
	}
	report.warn(&first)
	report.warn(&second)
	return report
}

// sum adds up the groups of a policy.
func sum(measured []statistics.PolicyStatistics, policy, group string) statistics.PolicyStatistics {
	total := statistics.PolicyStatistics{Policy: policy}
	for _, one := range measured {
		if one.Policy != policy || (group != "" && one.Group != group) {
			continue
		}
		one.Group = ""
		total = statistics.Merge([]statistics.PolicyStatistics{total}, []statistics.PolicyStatistics{one})[0]
	}
	return total
}

func sideOf(total *statistics.PolicyStatistics) PolicySummary {
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
	low, high, enough := ranks(samples, quantile)
	if !enough {
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

// fewQueries is the number under which a share says nothing.
const fewQueries = 20

func compareShares(someA, allA, someB, allB int64) ProportionComparison {
	row := ProportionComparison{A: share(someA, allA), B: share(someB, allB)}
	row.Verdict = judge(row.A, row.B)
	return row
}

func share(some, all int64) Estimate {
	if all < fewQueries {
		return Estimate{Value: float64(some) / float64(max(1, all))}
	}
	low, high := wilson(some, all)
	return Estimate{Value: float64(some) / float64(all), Low: low, High: high, HasInterval: true}
}

func judge(a, b Estimate) Verdict {
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

// warn says in words what the samples of a policy do not allow.
func (r *Report) warn(total *statistics.PolicyStatistics) {
	samples := total.Samples()
	if samples == 0 {
		r.Warnings = append(r.Warnings, fmt.Sprintf("no query of policy %q was answered in this time", total.Policy))
		return
	}
	for _, quantile := range Quantiles {
		if _, _, enough := ranks(samples, quantile); !enough {
			r.Warnings = append(r.Warnings, fmt.Sprintf("too few samples of policy %q for p%g and above: %d",
				total.Policy, Percentile(quantile), samples))
			return
		}
	}
}

// Percentile writes a quantile as a percentile, such as 99.9.
func Percentile(quantile float64) float64 {
	const percent, digits = 100, 10
	return float64(int64(quantile*percent*digits+0.5)) / digits
}
