package experiment

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/lab/load"
	"github.com/doorpond/doorpond/internal/policy"
)

// dueCounts returns the queries that the seed makes due, by second and class.
func dueCounts(file *File) [][]int {
	counts := make([][]int, int(time.Duration(file.Duration)/time.Second))
	for second := range counts {
		counts[second] = make([]int, len(file.Classes))
	}
	rate := file.Rates[0] * deploymentByName(file.Deployment).Capacity()
	random := rand.New(rand.NewPCG(file.Seed, file.Seed))
	for due := time.Duration(0); ; {
		due += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if due > time.Duration(file.Duration) {
			return counts
		}
		counts[due/time.Second][file.drawClass(random)]++
	}
}

// Real daemons lose no query under faults; no figure here depends on timing.
func TestLoopbackAccountsForEveryQuery(t *testing.T) {
	t.Parallel()
	const half = policy.Duration(500 * time.Millisecond)
	file := shortFile(Scenario{Name: "storm", Faults: []Fault{
		{Kind: FaultKill, Share: 0.25, At: 2 * half, For: 2 * half},
		{Kind: FaultShed, Share: 0.5, At: 2 * half, For: half},
		{Kind: FaultOutage, Share: 0.1, At: 2 * half, For: half},
		{Kind: FaultSlow, Share: 0.1, Factor: 2, At: 2 * half, For: half},
	}})
	file.Mode, file.Deployment, file.Duration, file.Warmup, file.ListLag = ModeLoopback, "small", 6*half, 0, half
	file.Rates = []float64{0.05}
	result := mustRun(t, file)

	if result.Mode != ModeLoopback || len(result.Cases) != 1 || len(result.Cases[0].Outcomes) != 1 {
		t.Fatalf("result %+v", result)
	}
	if diff := cmp.Diff([]string{StrategyFixedHedge, StrategyRoundRobin}, result.NotRun); diff != "" {
		t.Errorf("left out (-want +got):\n%s", diff)
	}
	outcome := &result.Cases[0].Outcomes[0]
	due := dueCounts(file)
	var want, got []int
	arrivals := 0
	for _, point := range outcome.Series {
		got = append(got, point.Figures.Queries)
		arrivals += point.Arrivals
		checkShares(t, &point.Figures)
	}
	for _, classes := range due {
		want = append(want, classes[0]+classes[1])
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("queries by second (-due +counted):\n%s", diff)
	}
	if arrivals == 0 {
		t.Error("nothing reached a back end")
	}
	for number, class := range outcome.Classes {
		if class.Figures.Queries != due[1][number] {
			t.Errorf("%d queries of %s in the fault, want %d", class.Figures.Queries, class.Class, due[1][number])
		}
	}
}

// Every outcome is counted in the second in which its query was due.
func TestLoopbackCountsEachOutcome(t *testing.T) {
	whole := &client.Answer{Coverage: client.Coverage{Asked: 4, Answered: 4}, Attempts: 5}
	partial := &client.Answer{Coverage: client.Coverage{Asked: 4, Answered: 3}, Attempts: 4}
	cases := []struct {
		name string
		seen load.Observation
		want Figures
	}{
		{"whole answer", load.Observation{Answer: whole}, Figures{Coverage: 1, Served: 1, ExtraLoad: 0.25, Goodput: 1, Whole: 1}},
		{"partial answer", load.Observation{Answer: partial}, Figures{Coverage: 0.75, Served: 0.75}},
		{"refused", load.Observation{Problem: &client.Problem{Kind: string(failure.Overloaded)}}, Figures{Coverage: 1, Refused: 1}},
		{"other problem", load.Observation{Problem: &client.Problem{Kind: string(failure.NoReplica)}}, Figures{Coverage: 1, Unanswered: 1}},
		{"broken", load.Observation{Err: io.ErrUnexpectedEOF}, Figures{Coverage: 1, Unanswered: 1}},
		{"skipped", load.Observation{}, Figures{Coverage: 1, Unanswered: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			file := shortFile(Scenario{})
			deployment := deploymentByName("small")
			running := &loopbackRun{measurement: newMeasurement(file, deployment, &strategy{}, &file.Scenarios[0], 1)}
			test.seen.Query.Group = file.Classes[1].Name
			test.seen.Due, test.seen.Latency = 1500*time.Millisecond, 2*time.Second
			running.observe(test.seen)
			test.want.Queries = 1
			ignoreLatency := cmpopts.IgnoreFields(Figures{}, "P50", "P95", "P99", "P999")
			if diff := cmp.Diff(test.want, running.figures(1, 2, 1), ignoreLatency); diff != "" {
				t.Errorf("figures of the second and class (-want +got):\n%s", diff)
			}
		})
	}
}

func checkShares(t *testing.T, figures *Figures) {
	t.Helper()
	for name, value := range map[string]float64{
		"coverage": figures.Coverage, "served": figures.Served, "refused": figures.Refused, "whole": figures.Whole,
	} {
		if value < 0 || value > 1 {
			t.Errorf("%s of %g", name, value)
		}
	}
	if figures.Queries > 0 && figures.ExtraLoad < 0 {
		t.Errorf("extra load of %g", figures.ExtraLoad)
	}
}

func TestLoopbackRefusesALostZone(t *testing.T) {
	file := shortFile(Scenario{Name: "zone_loss", Faults: []Fault{fault(FaultZoneLoss, 0)}})
	if err := file.Check(); err != nil || file.Mode != ModeVirtual {
		t.Fatalf("mode %q: %v", file.Mode, err)
	}
	file.Mode = ModeLoopback
	if err := file.Check(); err == nil {
		t.Error("accepted")
	}
}
