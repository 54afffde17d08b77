package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/gateway"
)

// AddedResult compares a one-shard query through the callers' port with the
// same question put to the back end directly, one at a time.
type AddedResult struct {
	Samples int `json:"samples"`
	// Direct and Through are at the median.
	Direct  time.Duration `json:"direct_p50"`
	Through time.Duration `json:"through_p50"`
	// Ratio is Through/Direct; AddedRatio is (Through-Direct)/Direct.
	Ratio         float64       `json:"ratio"`
	AddedRatio    float64       `json:"added_ratio"`
	DirectTail    time.Duration `json:"direct_p99"`
	ThroughTail   time.Duration `json:"through_p99"`
	WarmedUpAfter int           `json:"warmed_up_after"`
}

// MeasureAdded takes turns between the two ways. The environment must have
// one shard.
func (e *Environment) MeasureAdded(ctx context.Context, samples int) (AddedResult, error) {
	if e.Shards != 1 {
		return AddedResult{}, eris.Errorf("%d shards, want one", e.Shards)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return AddedResult{}, eris.Wrap(err, "listen for callers")
	}
	server := &http.Server{Handler: gateway.New(gateway.Options{Searcher: e.Service, Board: e.Board, Registerer: e.registry})}
	go func() { _ = server.Serve(listener) }() // ends by Close
	defer func() { _ = server.Close() }()      // nothing is in flight
	return e.compareWays(ctx, "http://"+listener.Addr().String()+gateway.QueryPath, samples)
}

func (e *Environment) compareWays(ctx context.Context, gatewayURL string, samples int) (AddedResult, error) {
	question, err := json.Marshal(e.message())
	if err != nil {
		return AddedResult{}, eris.Wrap(err, "encode the request")
	}
	query, err := json.Marshal(hollowQuery())
	if err != nil {
		return AddedResult{}, eris.Wrap(err, "encode the query")
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	direct := "http://" + e.addresses[0][0] + backendapi.SearchPath
	var directTimes, throughTimes []time.Duration
	warmUp := samples / 10
	for i := range samples + warmUp {
		directTime, err := timed(ctx, client, direct, question)
		if err != nil {
			return AddedResult{}, err
		}
		throughTime, err := timed(ctx, client, gatewayURL, query)
		if err != nil {
			return AddedResult{}, err
		}
		if i >= warmUp {
			directTimes = append(directTimes, directTime)
			throughTimes = append(throughTimes, throughTime)
		}
	}
	return compareTimes(directTimes, throughTimes, warmUp), nil
}

func compareTimes(direct, through []time.Duration, warmUp int) AddedResult {
	slices.Sort(direct)
	slices.Sort(through)
	result := AddedResult{
		Samples: len(direct), WarmedUpAfter: warmUp,
		Direct: quantile(direct, 0.5), Through: quantile(through, 0.5),
		DirectTail: quantile(direct, 0.99), ThroughTail: quantile(through, 0.99),
	}
	result.Ratio = float64(result.Through) / float64(result.Direct)
	result.AddedRatio = result.Ratio - 1
	return result
}

func timed(ctx context.Context, client *http.Client, url string, body []byte) (time.Duration, error) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "make the request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, eris.Wrapf(err, "ask %s", url)
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, eris.Wrapf(err, "read the answer of %s", url)
	}
	if response.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %d of %s", response.StatusCode, url)
	}
	return time.Since(started), nil
}
