package comparison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/statistics"
)

func TestQuantileRanks(t *testing.T) {
	cases := []struct {
		name       string
		samples    int64
		quantile   float64
		low, high  int64
		sufficient bool
	}{
		// Expected ranks are from tables of the binomial distribution.
		{"median of 10", 10, 0.5, 2, 9, true},
		{"median of 100", 100, 0.5, 40, 61, true},
		{"median of 5", 5, 0.5, 0, 6, false},
		{"p99 of 367", 367, 0.99, 360, 368, false},
		{"no samples", 0, 0.5, 0, 1, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			low, high, sufficient := quantileRanks(test.samples, test.quantile)
			if sufficient != test.sufficient || (test.sufficient && (low != test.low || high != test.high)) {
				t.Errorf("got %d to %d, %t; want %d to %d, %t", low, high, sufficient, test.low, test.high, test.sufficient)
			}
		})
	}
}

// Draws samples of a uniform distribution and checks how often the interval
// contains the true quantile.
func TestQuantileRanksCoverage(t *testing.T) {
	const trials, samples = 400, 500
	random := rand.New(rand.NewPCG(1, 1))
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		low, high, sufficient := quantileRanks(samples, quantile)
		if !sufficient {
			t.Fatalf("%d samples are too few for quantile %g", samples, quantile)
		}
		covered := 0
		for range trials {
			below := int64(0)
			for range samples {
				if random.Float64() < quantile {
					below++
				}
			}
			if below >= low && below < high {
				covered++
			}
		}
		if coverage := float64(covered) / trials; coverage < 0.92 {
			t.Errorf("the interval contains quantile %g in %.3f of the trials; want about 0.95", quantile, coverage)
		}
	}
}

func record(policy, group string, queries int, latency time.Duration, failed bool) []statistics.PolicyStatistics {
	recorder := statistics.New(nil)
	for i := range queries {
		recorder.Record(policy, statistics.Sample{
			Group: group, Latency: latency + time.Duration(i%10)*time.Microsecond,
			Asked: 4, Answered: 4, Attempts: 5, Hedges: 1, Failed: failed,
		})
	}
	return recorder.Snapshot(time.Hour)
}

func TestCompare(t *testing.T) {
	many := append(record("fast", "gate", 5000, 10*time.Millisecond, false), record("slow", "gate", 5000, 30*time.Millisecond, false)...)
	cases := []struct {
		name     string
		measured []statistics.PolicyStatistics
		a, b     string
		group    string
		verdicts []Verdict
		whole    Verdict
		warnings int
	}{
		{"lower", many, "fast", "slow", "", []Verdict{VerdictLower, VerdictLower, VerdictLower, VerdictLower}, VerdictInconclusive, 0},
		{"higher", many, "slow", "fast", "", []Verdict{VerdictHigher, VerdictHigher, VerdictHigher, VerdictHigher}, VerdictInconclusive, 0},
		{"same policy", many, "fast", "fast", "", []Verdict{VerdictInconclusive, VerdictInconclusive, VerdictInconclusive, VerdictInconclusive}, VerdictInconclusive, 0},
		{"group without samples", many, "fast", "slow", "clerks", []Verdict{VerdictTooFewSamples, VerdictTooFewSamples, VerdictTooFewSamples, VerdictTooFewSamples}, VerdictTooFewSamples, 2},
		{"few samples", append(record("fast", "gate", 100, time.Millisecond, false), record("slow", "gate", 100, time.Second, false)...),
			"fast", "slow", "gate", []Verdict{VerdictLower, VerdictLower, VerdictTooFewSamples, VerdictTooFewSamples}, VerdictInconclusive, 2},
		{"all failed", append(record("fast", "gate", 100, time.Millisecond, true), record("slow", "gate", 100, time.Second, false)...),
			"fast", "slow", "", []Verdict{VerdictTooFewSamples, VerdictTooFewSamples, VerdictTooFewSamples, VerdictTooFewSamples}, VerdictLower, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			report := Compare(test.measured, test.a, test.b, test.group)
			var verdicts []Verdict
			for _, row := range report.Latency {
				verdicts = append(verdicts, row.Verdict)
			}
			if diff := cmp.Diff(test.verdicts, verdicts); diff != "" {
				t.Error(diff)
			}
			if report.Complete.Verdict != test.whole || len(report.Warnings) != test.warnings {
				t.Errorf("whole %q, warnings %q", report.Complete.Verdict, report.Warnings)
			}
		})
	}
}

func TestCompareSumsGroups(t *testing.T) {
	measured := append(record("fast", "gate", 30, time.Millisecond, false), record("fast", "clerks", 20, time.Millisecond, false)...)
	want := PolicySummary{Policy: "fast", Queries: 50, Coverage: 1, ExtraLoad: 0.25, Subrequests: 250, Hedges: 50}
	if diff := cmp.Diff(want, Compare(measured, "fast", "none", "").A); diff != "" {
		t.Error(diff)
	}
}
