package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/doorpond/doorpond/client"
)

// FanoutOptions describe the measurement of queries at rising rates.
type FanoutOptions struct {
	// Rates of queries a second are tried in turn, each for Length.
	Rates  []float64
	Length time.Duration
	// Target is what the 99th percentile must stay within.
	Target time.Duration
	Seed   uint64
}

// FanoutResult has one step for each rate.
type FanoutResult struct {
	Shards int          `json:"shards"`
	Steps  []FanoutStep `json:"steps"`
	// HighestRateHeld is the greatest rate whose 99th percentile was within the
	// target, with whole answers only; 0 means none.
	HighestRateHeld float64 `json:"highest_rate_held"`
}

// FanoutStep is an open-loop run at one rate. Latencies count from the
// intended start.
type FanoutStep struct {
	Rate          float64       `json:"rate"`
	Queries       int           `json:"queries"`
	Failed        int           `json:"failed"`
	Partial       int           `json:"partial"`
	P50           time.Duration `json:"p50"`
	P99           time.Duration `json:"p99"`
	P999          time.Duration `json:"p999"`
	ExtraAttempts float64       `json:"extra_attempts"`
	// ProcessorCores are used by this process.
	ProcessorCores float64 `json:"processor_cores"`
	// Connections were opened and are open at the end.
	ConnectionsOpened float64 `json:"connections_opened"`
	ConnectionsOpen   float64 `json:"connections_open"`
}

// MeasureFanout runs the rates in turn.
func (e *Environment) MeasureFanout(ctx context.Context, options FanoutOptions, progress func(FanoutStep)) FanoutResult {
	result := FanoutResult{Shards: e.Shards}
	e.RunRate(ctx, options.Rates[0], options.Length, options.Seed) // opens the connections
	for i, rate := range options.Rates {
		step := e.RunRate(ctx, rate, options.Length, options.Seed+uint64(i))
		progress(step)
		result.Steps = append(result.Steps, step)
		if step.Failed == 0 && step.Partial == 0 && step.P99 <= options.Target {
			result.HighestRateHeld = rate
		}
	}
	return result
}

// outcomes collects the answers of a step.
type outcomes struct {
	mutex     sync.Mutex
	latencies []time.Duration
	attempts  int
	step      FanoutStep
}

// RunRate asks queries at random times of a mean rate, whether or not earlier
// ones were answered.
func (e *Environment) RunRate(ctx context.Context, rate float64, length time.Duration, seed uint64) FanoutStep {
	random := rand.New(rand.NewPCG(seed, seed))
	collected := &outcomes{step: FanoutStep{Rate: rate}}
	dials := e.registry.sum(dialsMetric)
	processor, started := processorTime(), time.Now()
	var waiting sync.WaitGroup
	for at := time.Duration(0); at < length && ctx.Err() == nil; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(started.Add(at)))
		intended := started.Add(at)
		waiting.Go(func() { e.ask(ctx, intended, collected) })
	}
	waiting.Wait()
	step := collected.summarize(e.Shards)
	step.ProcessorCores = (processorTime() - processor).Seconds() / time.Since(started).Seconds()
	step.ConnectionsOpened = e.registry.sum(dialsMetric) - dials
	step.ConnectionsOpen = e.registry.sum(connectionsMetric)
	return step
}

// The daemon's own metrics that are read.
const (
	dialsMetric       = "doorpondd_backend_connections_opened_total"
	connectionsMetric = "doorpondd_backend_connections_count"
)

func (e *Environment) ask(ctx context.Context, intended time.Time, collected *outcomes) {
	answer, err := e.Service.Search(ctx, hollowQuery())
	collected.add(answer, err, time.Since(intended), e.Shards)
}

func (o *outcomes) add(answer client.Answer, err error, latency time.Duration, shards int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.step.Queries++
	o.latencies = append(o.latencies, latency)
	o.attempts += answer.Attempts
	switch {
	case err != nil:
		o.step.Failed++
	case answer.Coverage.Answered < shards:
		o.step.Partial++
	}
}

func (o *outcomes) summarize(shards int) FanoutStep {
	slices.Sort(o.latencies)
	o.step.P50 = quantile(o.latencies, 0.5)
	o.step.P99 = quantile(o.latencies, 0.99)
	o.step.P999 = quantile(o.latencies, 0.999)
	if least := shards * (o.step.Queries - o.step.Failed); least > 0 {
		o.step.ExtraAttempts = float64(o.attempts-least) / float64(least)
	}
	return o.step
}

// quantile of a sorted list, 0 of an empty one.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
