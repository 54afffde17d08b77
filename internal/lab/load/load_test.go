package load

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/testdata"
)

// roundTrip is a daemon without a network.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip answers a request.
func (f roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

func respond(t *testing.T, status int, body any) *http.Response {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Error(err)
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(string(encoded)))}
}

func options(daemon roundTrip) Options {
	return Options{
		URLs: []string{"http://daemon"}, Rate: 100, Duration: time.Second, Concurrency: 1000, Seed: 3,
		Source: Fixed(client.Query{Card: "c"}), Client: &http.Client{Transport: daemon},
	}
}

// A daemon that stalls for a second must show in the latency of the queries
// that were due in that second.
func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		report, err := Run(t.Context(), options(func(*http.Request) (*http.Response, error) {
			time.Sleep(time.Until(started.Add(time.Second)))
			return respond(t, http.StatusOK, client.Answer{Attempts: 3, Coverage: client.Coverage{Asked: 2, Answered: 1, Share: 0.5}}), nil
		}))
		if err != nil {
			t.Fatal(err)
		}
		if report.Answered < 50 || report.Answered != report.Sent || report.Partial != report.Answered {
			t.Errorf("report %+v", report)
		}
		if report.MeanCoverage != 0.5 || report.SubRequests != 3*report.Answered || report.LeastNeeded != 2*report.Answered {
			t.Errorf("coverage or load: %+v", report)
		}
		median := time.Duration(report.Latency.P50) * time.Microsecond
		if median < 300*time.Millisecond || median > 700*time.Millisecond {
			t.Errorf("median latency %v, want about half of the stall", median)
		}
	})
}

func TestOutcomesAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		run := options(func(*http.Request) (*http.Response, error) {
			time.Sleep(time.Hour)
			switch sent.Add(1) {
			case 1:
				return respond(t, http.StatusTooManyRequests, client.Problem{Kind: "overloaded", NotRun: true}), nil
			case 2:
				return nil, io.ErrUnexpectedEOF
			default:
				return respond(t, http.StatusOK, client.Answer{Coverage: client.Coverage{Share: 1}}), nil
			}
		})
		run.Concurrency = 3
		var seen, skipped atomic.Int64
		run.Observe = func(observed Observation) {
			seen.Add(1)
			if observed.Answer == nil && observed.Problem == nil && observed.Err == nil {
				skipped.Add(1)
			}
			if observed.Due <= 0 || observed.Due > run.Duration || observed.Query.Card != "c" {
				t.Errorf("observed %+v", observed)
			}
		}
		report, err := Run(t.Context(), run)
		if err != nil {
			t.Fatal(err)
		}
		if report.Sent != 3 || report.Answered != 1 || report.Broken != 1 || report.Skipped < 50 {
			t.Errorf("report %+v", report)
		}
		if seen.Load() != report.Sent+report.Skipped || skipped.Load() != report.Skipped {
			t.Errorf("observed %d, of them %d skipped, report %+v", seen.Load(), skipped.Load(), report)
		}
		if diff := cmp.Diff([]KindCount{{Kind: "overloaded", NotRun: true, Count: 1}}, report.Problems); diff != "" {
			t.Errorf("problems (-want +got):\n%s", diff)
		}
	})
}

func TestDrawnQueriesHaveHits(t *testing.T) {
	records, err := corpus.Load(testdata.Corpus)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{corpus.Cards, corpus.Cues} {
		source := FromRecords(records, client.Query{Corpus: name, Group: "g"})
		for range 50 {
			query := source(random)
			if len(corpus.Search(records, query)) == 0 || query.Group != "g" {
				t.Errorf("%+v has no hit", query)
			}
		}
	}
}

func TestCallersAreDrawnEvenly(t *testing.T) {
	const number, queries = 4, 4000
	source := Callers(Fixed(client.Query{Group: "editors", Phrase: "x"}), number)
	random := rand.New(rand.NewPCG(1, 1))
	drawn := make(map[string]int)
	for range queries {
		drawn[source(random).Caller]++
	}
	for caller, count := range drawn {
		if len(drawn) != number || count < queries/number*9/10 {
			t.Errorf("%s sent %d of %d queries; %d callers in all", caller, count, queries, len(drawn))
		}
	}
}
