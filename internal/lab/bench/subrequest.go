package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

// SubRequestOptions describe the measurement of a sub-request.
type SubRequestOptions struct {
	// Concurrency queries run at a time.
	Concurrency int
	// Rounds of the floor and of the query path take turns, each this long.
	Rounds int
	Length time.Duration
	// Profile names a file for the processor profile of the last round of the
	// query path; empty means none.
	Profile string
}

// SubRequestResult has processor times of this process.
type SubRequestResult struct {
	Shards int `json:"shards"`
	// Floor is for a bare net/http exchange of the same request.
	Floor []time.Duration `json:"floor"`
	// SubRequest is for a sub-request of a query, the query's whole cost shared
	// out.
	SubRequest []time.Duration `json:"sub_request"`
	// QueriesPerSecond were answered while it was measured.
	QueriesPerSecond float64 `json:"queries_per_second"`
}

// MeasureSubRequest measures the floor and the query path in turns.
func (e *Environment) MeasureSubRequest(ctx context.Context, options SubRequestOptions) (SubRequestResult, error) {
	result := SubRequestResult{Shards: e.Shards}
	for round := range options.Rounds {
		floor, err := e.floor(ctx, options)
		if err != nil {
			return result, err
		}
		stop, err := profile(options.Profile, round == options.Rounds-1)
		if err != nil {
			return result, err
		}
		queries, cost, err := e.querying(ctx, options)
		stop()
		if err != nil {
			return result, err
		}
		result.Floor = append(result.Floor, floor)
		result.SubRequest = append(result.SubRequest, cost)
		result.QueriesPerSecond = queries
	}
	return result, nil
}

// floor returns the processor time of one bare exchange, with as many in
// flight as the queries have.
func (e *Environment) floor(ctx context.Context, options SubRequestOptions) (time.Duration, error) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: options.Concurrency}
	defer transport.CloseIdleConnections()
	body, err := json.Marshal(e.message())
	if err != nil {
		return 0, eris.Wrap(err, "encode the request")
	}
	var group errgroup.Group
	var done atomic.Int64
	begun := processorTime()
	end := time.Now().Add(options.Length)
	for worker := range options.Concurrency {
		group.Go(func() error {
			for time.Now().Before(end) && ctx.Err() == nil {
				if err := e.exchangeWithAll(transport, body, worker); err != nil {
					return err
				}
				done.Add(int64(e.Shards))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	return (processorTime() - begun) / time.Duration(max(1, done.Load())), nil
}

// exchangeWithAll asks one replica of each shard at once.
func (e *Environment) exchangeWithAll(transport *http.Transport, body []byte, worker int) error {
	var waiting sync.WaitGroup
	var failed atomic.Pointer[error]
	for _, replicas := range e.addresses {
		address := replicas[worker%len(replicas)]
		waiting.Go(func() {
			if err := exchange(transport, address, body); err != nil {
				failed.Store(&err)
			}
		})
	}
	waiting.Wait()
	if first := failed.Load(); first != nil {
		return *first
	}
	return nil
}

func exchange(transport *http.Transport, address string, body []byte) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+backendapi.SearchPath, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make the request")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return eris.Wrap(err, "ask a back end")
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("status %d of a back end", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (e *Environment) message() backendapi.SearchRequest {
	return backendapi.SearchRequest{
		QueryID: "01JZZZZZZZZZZZZZZZZZZZZZZZ", Snapshot: hollowSnapshot, Index: platform.HollowName,
		Shards: e.Shards, Phrase: hollowPhrase, Order: client.OrderRank, Limit: hitsLimit, TimeoutMilliseconds: time.Second.Milliseconds(),
	}
}

const (
	hollowPhrase = "market"
	hitsLimit    = 10
)

// hollowQuery asks all shards.
func hollowQuery() client.Query {
	return client.Query{Group: "bench", Corpus: platform.HollowName, Phrase: hollowPhrase, Limit: hitsLimit}
}

// querying returns the queries answered in a second and the processor time of
// a sub-request.
func (e *Environment) querying(ctx context.Context, options SubRequestOptions) (perSecond float64, cost time.Duration, err error) {
	var group errgroup.Group
	var queries, dispatched atomic.Int64
	started, begun := time.Now(), processorTime()
	for range options.Concurrency {
		group.Go(func() error {
			for time.Since(started) < options.Length && ctx.Err() == nil {
				answer, err := e.Service.Search(ctx, hollowQuery())
				if err != nil {
					return err
				}
				if answer.Coverage.Answered != e.Shards {
					return eris.Errorf("%d of %d shards answered", answer.Coverage.Answered, e.Shards)
				}
				queries.Add(1)
				dispatched.Add(int64(answer.Attempts))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return 0, 0, err
	}
	cost = (processorTime() - begun) / time.Duration(max(1, dispatched.Load()))
	return float64(queries.Load()) / time.Since(started).Seconds(), cost, nil
}

// profile starts a processor profile if one is wanted now.
func profile(path string, wanted bool) (stop func(), err error) {
	if path == "" || !wanted {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "write the profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close() // the first error is the one to report
		return nil, eris.Wrap(err, "start the profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close() // a short profile shows when it is read
	}, nil
}
