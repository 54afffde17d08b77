package query_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/query"
)

// runSynctest runs a subtest in a synctest bubble.
func runSynctest(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

func TestSearchComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, []replyFunc{replyValid}, []replyFunc{replyValid})
		answer, err := f.service.Search(t.Context(), phraseQuery())
		if err != nil {
			t.Fatal(err)
		}
		if answer.QueryID == "" {
			t.Error("answer has no query ID")
		}
		answer.QueryID, answer.TookMicroseconds = "", 0
		want := client.Answer{
			Hits:     []client.Hit{{ID: "b", Index: "bus", Rank: 1}, {ID: "a", Index: "bus", Rank: 0}},
			Snapshot: 7, Policy: "test", TableRevision: 3, Attempts: 2,
			Coverage: client.Coverage{Asked: 2, Answered: 2, Share: 1, Indexes: []client.IndexCoverage{{
				Index: "bus", Shards: 2, Asked: 2, Answered: 2, Missing: []client.ShardReport{}, NotAsked: []client.ShardReport{},
			}}},
		}
		if diff := cmp.Diff(want, answer); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		if recorded := f.statistics.Snapshot(time.Minute); len(recorded) != 1 || recorded[0].Complete != 1 || recorded[0].Attempts != 2 {
			t.Errorf("statistics %+v", recorded)
		}
	})
}

func TestSearchFaults(t *testing.T) {
	shed, draining := refuseWith(backendapi.RefusedShed), refuseWith(backendapi.RefusedDraining)
	cases := []struct {
		name   string
		shard  []replyFunc
		change func(*policy.Row, *client.Query)
		// missing is the reason for the second shard, empty if it answers.
		missing  client.MissingReason
		snapshot uint64
		kind     failure.Kind
		notRun   bool
	}{
		{name: "retried after failure", shard: []replyFunc{abortConnection, replyValid}, snapshot: 7},
		{name: "retried after shed", shard: []replyFunc{shed, replyValid}, snapshot: 7},
		{name: "retried after draining", shard: []replyFunc{draining, replyValid}, snapshot: 7},
		{name: "retried after a reply to another query", shard: []replyFunc{replyToOtherQuery, replyValid}, snapshot: 7},
		{name: "snapshot held by one replica", shard: []replyFunc{holdOnly(6), replyValid}, snapshot: 7},
		{name: "restarted on an older snapshot", shard: []replyFunc{holdOnly(6)}, snapshot: 6},
		{name: "no snapshot held", shard: []replyFunc{holdOnly(1)}, snapshot: 6, missing: client.MissingSnapshot},
		{name: "all reply to another query", shard: []replyFunc{replyToOtherQuery, replyToOtherQuery}, snapshot: 7, missing: client.MissingInvalidReply},
		{name: "all fail", shard: []replyFunc{abortConnection}, snapshot: 7, missing: client.MissingFailed},
		{name: "all shed", shard: []replyFunc{shed, shed}, snapshot: 7, missing: client.MissingShed},
		{name: "no replica", shard: nil, snapshot: 7, missing: client.MissingNoReplica},
		{
			name: "no reply before the deadline", shard: []replyFunc{blockUntilCanceled}, snapshot: 7, missing: client.MissingTimeout,
			change: func(_ *policy.Row, q *client.Query) { q.DeadlineMilliseconds = 300 },
		},
		{
			name: "coverage target reached", shard: []replyFunc{blockUntilCanceled}, snapshot: 7, missing: client.MissingComplete,
			change: func(row *policy.Row, _ *client.Query) { row.Completeness.Target = 0.5 },
		},
		{
			name: "below the policy's least coverage", shard: []replyFunc{abortConnection}, kind: failure.InsufficientCoverage,
			change: func(row *policy.Row, _ *client.Query) { row.Completeness.Min = 0.9 },
		},
		{
			name: "below the query's least coverage", shard: []replyFunc{abortConnection}, kind: failure.InsufficientCoverage,
			change: func(_ *policy.Row, q *client.Query) { q.LeastCoverage = 0.9 },
		},
	}
	for _, test := range cases {
		runSynctest(t, test.name, func(t *testing.T) {
			f := newFixture(t, []replyFunc{replyValid}, test.shard)
			search := phraseQuery()
			if test.change != nil {
				test.change(&f.row, &search)
				f.publishPolicy()
			}
			answer, err := f.service.Search(t.Context(), search)
			if test.kind != "" {
				checkError(t, err, test.kind, test.notRun)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if answer.Snapshot != test.snapshot {
				t.Errorf("snapshot %d, want %d", answer.Snapshot, test.snapshot)
			}
			checkMissing(t, answer, test.missing)
		})
	}
}

func checkMissing(t *testing.T, answer client.Answer, reason client.MissingReason) {
	t.Helper()
	want, hits := []client.ShardReport{}, 2
	if reason != "" {
		want = append(want, client.ShardReport{Index: "bus", Shard: 1, Reason: reason})
		hits = 1
	}
	if diff := cmp.Diff(want, answer.Coverage.Indexes[0].Missing); diff != "" {
		t.Errorf("missing (-want +got):\n%s", diff)
	}
	if len(answer.Hits) != hits || answer.Coverage.Answered != hits {
		t.Errorf("%d hits from %d shards, want %d", len(answer.Hits), answer.Coverage.Answered, hits)
	}
}

func checkError(t *testing.T, err error, kind failure.Kind, notRun bool) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want %s", kind)
	}
	if got := failure.From(err); got.Kind != kind || got.NotRun != notRun {
		t.Errorf("error %v, NotRun %v; want %s, NotRun %v", err, got.NotRun, kind, notRun)
	}
}

func TestSearchRefusedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shed := refuseWith(backendapi.RefusedShed)
		f := newFixture(t, []replyFunc{shed}, []replyFunc{shed})
		_, err := f.service.Search(t.Context(), phraseQuery())
		checkError(t, err, failure.BackendRefused, true)
		if wait := failure.From(err).RetryAfter; wait != 70*time.Millisecond {
			t.Errorf("retry after %v, want the back ends' 70ms", wait)
		}
		f = newFixture(t, nil, nil)
		_, err = f.service.Search(t.Context(), phraseQuery())
		checkError(t, err, failure.NoReplica, true)
	})
}

func TestSearchCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrived := make(chan struct{}, 2)
		notifyAndBlock := func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest) {
			arrived <- struct{}{}
			blockUntilCanceled(w, r, request)
		}
		f := newFixture(t, []replyFunc{notifyAndBlock}, []replyFunc{notifyAndBlock})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-arrived; <-arrived; cancel() }()
		_, err := f.service.Search(ctx, phraseQuery())
		checkError(t, err, failure.Canceled, false)
	})
}

func TestSearchInvalid(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fixture, *client.Query)
		kind   failure.Kind
	}{
		{"no table", func(f *fixture, _ *client.Query) { f.board.PolicyTable = blackboard.Section[policy.Index]{} }, failure.NoTable},
		{"no catalogue", func(f *fixture, _ *client.Query) {
			f.board.Catalogue = blackboard.Section[catalogue.Catalogue]{}
		}, failure.NoCatalogue},
		{"no snapshot", func(f *fixture, _ *client.Query) { f.publishSnapshots(nil) }, failure.NoCatalogue},
		{"unknown corpus", func(_ *fixture, q *client.Query) { q.Corpus = "x" }, failure.NotFound},
		{"unknown index", func(_ *fixture, q *client.Query) { q.Indexes = []string{"x"} }, failure.NotFound},
		{"limit exceeds the policy's", func(_ *fixture, q *client.Query) { q.Limit = 101 }, failure.TooLarge},
		{"negative limit", func(_ *fixture, q *client.Query) { q.Limit = -1 }, failure.InvalidRequest},
		{"phrase and card", func(_ *fixture, q *client.Query) { q.Card = "1" }, failure.InvalidRequest},
		{"neither phrase nor card", func(_ *fixture, q *client.Query) { q.Phrase = "" }, failure.InvalidRequest},
		{"no group", func(_ *fixture, q *client.Query) { q.Group = "" }, failure.InvalidRequest},
		{"no corpus", func(_ *fixture, q *client.Query) { q.Corpus = "" }, failure.InvalidRequest},
		{"unknown order", func(_ *fixture, q *client.Query) { q.Order = "x" }, failure.InvalidRequest},
		{"unknown priority", func(_ *fixture, q *client.Query) { q.Priority = "x" }, failure.InvalidRequest},
		{"least coverage over 1", func(_ *fixture, q *client.Query) { q.LeastCoverage = 1.1 }, failure.InvalidRequest},
		{"negative deadline", func(_ *fixture, q *client.Query) { q.DeadlineMilliseconds = -1 }, failure.InvalidRequest},
	}
	for _, test := range cases {
		runSynctest(t, test.name, func(t *testing.T) {
			f := newFixture(t, []replyFunc{replyValid}, []replyFunc{replyValid})
			search := phraseQuery()
			test.change(f, &search)
			_, err := f.service.Search(t.Context(), search)
			checkError(t, err, test.kind, true)
			if sent := f.requests.Load(); sent != 0 {
				t.Errorf("%d sub-requests sent for a rejected query", sent)
			}
		})
	}
}

// TestSearchFreshWaitLimit guards against waiting for the policy table for so long that no time is
// left for the replicas.
func TestSearchFreshWaitLimit(t *testing.T) {
	cases := []struct {
		name          string
		tablePresent  bool
		policyTimeout time.Duration
		queryDeadline time.Duration
		wantLimit     time.Duration
	}{
		{"timeout of the policy", true, 8 * time.Second, 0, 2 * time.Second},
		{"deadline of the query", true, 8 * time.Second, time.Second, 250 * time.Millisecond},
		{"deadline longer than the policy's timeout", true, 8 * time.Second, time.Minute, 2 * time.Second},
		{"no table", false, 0, 0, 250 * time.Millisecond},
	}
	for _, test := range cases {
		runSynctest(t, test.name, func(t *testing.T) {
			f := newFixture(t, []replyFunc{replyValid})
			f.row.Wait.Timeout = policy.Duration(test.policyTimeout)
			f.publishPolicy()
			if !test.tablePresent {
				f.options.Board = &blackboard.Board{}
			}
			var limit time.Duration
			f.options.WaitFresh = func(_ context.Context, atMost time.Duration) bool {
				limit = atMost
				return false
			}
			request := phraseQuery()
			request.DeadlineMilliseconds = test.queryDeadline.Milliseconds()
			_, err := query.NewService(f.options).Search(t.Context(), request)
			refused := failure.From(err)
			if limit != test.wantLimit || refused.Kind != failure.StaleTable || !refused.NotRun || f.requests.Load() != 0 {
				t.Errorf("waited up to %v, want %v; error %v, not run: %t", limit, test.wantLimit, err, refused.NotRun)
			}
		})
	}
}

func TestSearchConcurrencyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrived, release := make(chan struct{}), make(chan struct{})
		f := newFixture(t, []replyFunc{func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest) {
			close(arrived)
			<-release
			replyValid(w, r, request)
		}})
		f.row.Limits.Concurrency = 1
		f.publishPolicy()
		var group sync.WaitGroup
		group.Go(func() {
			if _, err := f.service.Search(t.Context(), phraseQuery()); err != nil {
				t.Error(err)
			}
		})
		<-arrived
		_, err := f.service.Search(t.Context(), phraseQuery())
		checkError(t, err, failure.Overloaded, true)
		close(release)
		group.Wait()
	})
}

// TestSearchHedge slows down one replica: after the learned quantile a hedge is sent and
// answers, the slow attempt is canceled, and its reply is not merged.
func TestSearchHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slow atomic.Bool
		canceled := make(chan struct{}, 1)
		switchable := func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest) {
			if !slow.Load() {
				time.Sleep(2 * time.Millisecond)
				replyValid(w, r, request)
				return
			}
			<-r.Context().Done()
			canceled <- struct{}{}
		}
		steady := func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest) {
			time.Sleep(4 * time.Millisecond)
			replyValid(w, r, request)
		}
		f := newFixture(t, []replyFunc{switchable, steady})
		f.row.Wait.HedgeQuantile = 0.95
		f.publishPolicy()
		for range 50 {
			if _, err := f.service.Search(t.Context(), phraseQuery()); err != nil {
				t.Fatal(err)
			}
		}
		slow.Store(true)
		answer, err := f.service.Search(t.Context(), phraseQuery())
		if err != nil {
			t.Fatal(err)
		}
		<-canceled
		if answer.Attempts != 2 || answer.Coverage.Answered != 1 || len(answer.Hits) != 1 {
			t.Errorf("attempts %d, answered %d, hits %d, want 2, 1, 1", answer.Attempts, answer.Coverage.Answered, len(answer.Hits))
		}
		if took := time.Duration(answer.TookMicroseconds) * time.Microsecond; took > 20*time.Millisecond {
			t.Errorf("took %v of virtual time", took)
		}
	})
}
