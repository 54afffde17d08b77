package experiment

import (
	"context"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/lab/load"
)

// Result is what an experiment measured. Times are in seconds, latencies in
// milliseconds, shares from 0 to 1.
type Result struct {
	Name       string `json:"name"`
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Mode       Mode   `json:"mode"`
	// NotRun are the strategies that the mode cannot run.
	NotRun   []string `json:"not_run,omitempty"`
	Capacity float64  `json:"capacity_queries_per_second"`
	Cases    []Case   `json:"cases"`
}

// Case is one scenario at one rate.
type Case struct {
	Scenario string `json:"scenario"`
	// Rate is a share of the capacity.
	Rate float64 `json:"rate"`
	// FaultFrom and FaultTo are 0 without a fault.
	FaultFrom float64   `json:"fault_from"`
	FaultTo   float64   `json:"fault_to"`
	Outcomes  []Outcome `json:"outcomes"`
	Goals     []Goal    `json:"goals"`
}

// Outcome is one strategy in a case.
type Outcome struct {
	Strategy string `json:"strategy"`
	// Focus is the time of the fault, or all of it without one.
	Focus    Figures        `json:"focus"`
	Before   Figures        `json:"before"`
	After    Figures        `json:"after"`
	Classes  []ClassFigures `json:"classes"`
	Recovery *Recovery      `json:"recovery,omitempty"`
	Series   []Point        `json:"series"`
	// Load is the generator's own count of the whole run with the kinds of
	// its problems, over loopback only.
	Load *load.Report `json:"load,omitempty"`
}

// ClassFigures are the figures of one class in the focus.
type ClassFigures struct {
	Class   string  `json:"class"`
	Figures Figures `json:"figures"`
}

// Figures sum up a stretch of time.
type Figures struct {
	Queries int     `json:"queries"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	// Coverage is answered shards over asked ones, as callers are told it;
	// Served counts the shards of refused queries as well.
	Coverage float64 `json:"coverage"`
	Served   float64 `json:"served"`
	// ExtraLoad is sub-requests over the least needed, as a share of it.
	ExtraLoad float64 `json:"extra_load"`
	Refused   float64 `json:"refused"`
	// Goodput is whole answers a second.
	Goodput float64 `json:"goodput"`
	// Whole is the share of queries with a whole answer.
	Whole float64 `json:"whole"`
	// Unanswered is the number of queries that ended in another error than a
	// refusal, over loopback only. They have no latency and no coverage.
	Unanswered int `json:"unanswered,omitempty"`
}

// Point is one second of arrivals.
type Point struct {
	Second   int     `json:"second"`
	Figures  Figures `json:"figures"`
	Arrivals int     `json:"back_end_arrivals"`
}

func figuresOf(counted *tally, seconds float64) Figures {
	quantile := func(percent float64) float64 {
		return float64(counted.latency.ValueAtQuantile(percent)) / 1000
	}
	return Figures{
		Queries: counted.queries,
		P50:     quantile(50), P95: quantile(95), P99: quantile(99), P999: quantile(99.9),
		Coverage:  share(counted.answered, counted.asked, 1),
		Served:    share(counted.answered, counted.wanted, 1),
		ExtraLoad: share(counted.attempts-counted.asked, counted.asked, 0),
		Refused:   share(counted.refused, counted.queries, 0),
		Goodput:   float64(counted.whole) / max(seconds, 1),
		Whole:     share(counted.whole, counted.queries, 1),

		Unanswered: counted.unanswered,
	}
}

func share(part, whole int, empty float64) float64 {
	if whole == 0 {
		return empty
	}
	return float64(part) / float64(whole)
}

// Run runs an experiment; in virtual time, different runs use different cores.
func Run(ctx context.Context, file *File) (*Result, error) {
	deployment := deploymentByName(file.Deployment)
	strategies := file.strategies(deployment)
	result := &Result{
		Name: file.Name, Deployment: deployment.Name, Seed: file.Seed, Capacity: deployment.Capacity(),
		Mode: file.Mode, NotRun: file.notRun(),
	}
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.SetLimit(file.parallelRuns())
	result.Cases = file.cases(len(strategies))
	next := 0
	for i := range file.Scenarios {
		for range file.ratesOf(&file.Scenarios[i]) {
			measured := &result.Cases[next]
			next++
			for number := range strategies {
				tasks.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					single := newMeasurement(file, deployment, &strategies[number], &file.Scenarios[i], measured.Rate)
					if err := single.execute(ctx); err != nil {
						return eris.Wrapf(err, "scenario %q", measured.Scenario)
					}
					measured.Outcomes[number] = single.outcome(measured)
					return nil
				})
			}
		}
	}
	if err := tasks.Wait(); err != nil {
		return nil, err
	}
	result.judge()
	return result, nil
}

// parallelRuns is 1 over loopback, where runs would share the cores that they
// measure.
func (f *File) parallelRuns() int {
	if f.Mode == ModeLoopback {
		return 1
	}
	return max(1, runtime.GOMAXPROCS(0)/2)
}

func (f *File) cases(strategies int) []Case {
	var all []Case
	for i := range f.Scenarios {
		scenario := &f.Scenarios[i]
		from, to := scenario.span()
		for _, rate := range f.ratesOf(scenario) {
			all = append(all, Case{
				Scenario: scenario.Name, Rate: rate,
				FaultFrom: from.Seconds(), FaultTo: to.Seconds(),
				Outcomes: make([]Outcome, strategies),
			})
		}
	}
	return all
}

func (c *Case) faulty() bool { return c.FaultTo > 0 }

// outcome sums up a measurement that is over.
func (m *measurement) outcome(measured *Case) Outcome {
	warm := int(time.Duration(m.file.Warmup) / time.Second)
	end := int(time.Duration(m.file.Duration) / time.Second)
	from, to := warm, end
	if measured.faulty() {
		from, to = int(measured.FaultFrom), int(measured.FaultTo)
	}
	outcome := Outcome{
		Strategy: m.strategy.name,
		Focus:    m.figures(from, to, allClasses),
		Before:   m.figures(warm, from, allClasses),
		After:    m.figures(to, end, allClasses),
		Load:     m.load,
	}
	for number, class := range m.file.Classes {
		outcome.Classes = append(outcome.Classes, ClassFigures{Class: class.Name, Figures: m.figures(from, to, number)})
	}
	for second := range end {
		outcome.Series = append(outcome.Series, Point{
			Second: second, Figures: m.figures(second, second+1, allClasses), Arrivals: m.recorder.arrivals[second],
		})
	}
	if measured.faulty() {
		outcome.Recovery = recoveryOf(outcome.Series, warm, from, to)
	}
	return outcome
}

func (m *measurement) figures(from, to, class int) Figures {
	return figuresOf(m.recorder.sum(from, to, class), float64(to-from))
}
