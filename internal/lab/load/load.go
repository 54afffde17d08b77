// Package load is an open-loop load generator for the daemons' callers' port.
// Queries start at times drawn in advance, whether or not earlier ones were
// answered, and latency counts from the intended start, so that a slow daemon
// cannot hide its queue.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
)

// Options are the settings of a run.
type Options struct {
	// URLs are the base URLs of the daemons, taken in turn.
	URLs []string
	// Rate is the mean number of queries a second; the gaps between them are
	// exponential.
	Rate float64
	// Duration is how long new queries start.
	Duration time.Duration
	// Concurrency is the greatest number in flight; queries over it are
	// counted as skipped.
	Concurrency int
	Source      Source
	Seed        uint64
	Client      *http.Client
	// Observe, unless nil, gets what became of each query, from several
	// goroutines at once.
	Observe func(Observation)
}

// Observation is what became of one query. At most one of Answer, Problem and
// Err is set; none is when the query was skipped.
type Observation struct {
	Query client.Query
	// Due is the intended start, from the start of the run; the seed alone
	// decides it. Latency counts from it.
	Due     time.Duration
	Latency time.Duration
	Answer  *client.Answer
	Problem *client.Problem
	Err     error
}

// queryPath is the callers' path for queries.
const queryPath = "/v1/query"

// Run sends the queries and returns the report once the last is answered. It
// stops early when ctx ends.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.check(); err != nil {
		return Report{}, err
	}
	run := &run{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed)),
		places:   make(chan struct{}, options.Concurrency),
		recorder: newRecorder(),
	}
	started := time.Now()
	run.start(ctx, started)
	run.inFlight.Wait()
	return run.recorder.report(time.Since(started)), nil
}

func (o *Options) check() error {
	switch {
	case len(o.URLs) == 0:
		return eris.New("no daemon's URL was given")
	case o.Rate <= 0:
		return eris.Errorf("rate %g is not above 0", o.Rate)
	case o.Duration <= 0:
		return eris.Errorf("duration %s is not above 0", o.Duration)
	case o.Concurrency <= 0:
		return eris.Errorf("concurrency %d is not above 0", o.Concurrency)
	case o.Source == nil || o.Client == nil:
		return eris.New("no source of queries or no HTTP client was given")
	}
	return nil
}

type run struct {
	options  Options
	random   *rand.Rand
	places   chan struct{}
	inFlight sync.WaitGroup
	recorder *recorder
}

// start starts every query at its intended time.
func (r *run) start(ctx context.Context, started time.Time) {
	intended := started
	for sent := 0; ; sent++ {
		gap := r.random.ExpFloat64() / r.options.Rate
		intended = intended.Add(time.Duration(gap * float64(time.Second)))
		if intended.Sub(started) > r.options.Duration || !WaitUntil(ctx, intended) {
			return
		}
		url := r.options.URLs[sent%len(r.options.URLs)] + queryPath
		r.launch(ctx, url, Observation{Query: r.options.Source(r.random), Due: intended.Sub(started)}, intended)
	}
}

// WaitUntil returns false when ctx ends before the moment.
func WaitUntil(ctx context.Context, moment time.Time) bool {
	wait := time.Until(moment)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) launch(ctx context.Context, url string, seen Observation, intended time.Time) {
	select {
	case r.places <- struct{}{}:
	default:
		r.recorder.skip()
		r.observe(seen)
		return
	}
	r.inFlight.Go(func() {
		defer func() { <-r.places }()
		seen.Answer, seen.Problem, seen.Err = ask(ctx, r.options.Client, url, seen.Query)
		seen.Latency = time.Since(intended)
		r.recorder.record(seen.Latency, seen.Answer, seen.Problem, seen.Err)
		r.observe(seen)
	})
}

func (r *run) observe(seen Observation) {
	if r.options.Observe != nil {
		r.options.Observe(seen)
	}
}

// ask sends one query. Exactly one of the results is set.
func ask(ctx context.Context, httpClient *http.Client, url string, query client.Query) (*client.Answer, *client.Problem, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode the query")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Wrap(err, "make the request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, nil, eris.Wrap(err, "send the query")
	}
	defer func() { _ = response.Body.Close() }()
	return decodeAnswer(response)
}

func decodeAnswer(response *http.Response) (*client.Answer, *client.Problem, error) {
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		problem := new(client.Problem)
		if err := decoder.Decode(problem); err != nil {
			return nil, nil, eris.Wrapf(err, "decode the problem of status %d", response.StatusCode)
		}
		return nil, problem, nil
	}
	answer := new(client.Answer)
	if err := decoder.Decode(answer); err != nil {
		return nil, nil, eris.Wrap(err, "decode the answer")
	}
	return answer, nil, nil
}
