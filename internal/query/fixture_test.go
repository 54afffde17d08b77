package query_test

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/topology"
)

// replyFunc is how a replica in tests handles one request.
type replyFunc func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest)

// fixture is a Service with a replica group for each shard of one index.
type fixture struct {
	board      *blackboard.Board
	options    query.Options
	service    *query.Service
	statistics *statistics.Recorder
	row        policy.Row
	requests   atomic.Int64
	network    *memoryNetwork
}

func validReply(request backendapi.SearchRequest) backendapi.SearchReply {
	id := []string{"a", "b", "c"}[request.Shard%3]
	hits := []client.Hit{{ID: id, Index: request.Index, Rank: float64(request.Shard)}}
	return backendapi.SearchReply{
		QueryID: request.QueryID, Attempt: request.Attempt, Snapshot: request.Snapshot, Index: request.Index,
		Shard: request.Shard, Shards: request.Shards, Count: 1, Hits: hits, Total: 1, Incarnation: "1",
	}
}

func replyValid(w http.ResponseWriter, _ *http.Request, request backendapi.SearchRequest) {
	_ = json.NewEncoder(w).Encode(validReply(request))
}

func refuseWith(reason backendapi.RefusalReason) replyFunc {
	return func(w http.ResponseWriter, _ *http.Request, _ backendapi.SearchRequest) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(backendapi.Refusal{Reason: reason, NotRun: true, RetryAfterMilliseconds: 70})
	}
}

func abortConnection(http.ResponseWriter, *http.Request, backendapi.SearchRequest) {
	panic(http.ErrAbortHandler)
}

// blockUntilCanceled waits until the request is canceled.
func blockUntilCanceled(_ http.ResponseWriter, r *http.Request, _ backendapi.SearchRequest) {
	<-r.Context().Done()
}

func replyToOtherQuery(w http.ResponseWriter, _ *http.Request, request backendapi.SearchRequest) {
	request.QueryID = "another"
	_ = json.NewEncoder(w).Encode(validReply(request))
}

// holdOnly rejects requests for other snapshots.
func holdOnly(snapshot uint64) replyFunc {
	return func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest) {
		if request.Snapshot != snapshot {
			refuseWith(backendapi.RefusedSnapshotNotHeld)(w, r, request)
			return
		}
		replyValid(w, r, request)
	}
}

func newFixture(t *testing.T, shards ...[]replyFunc) *fixture {
	t.Helper()
	f := &fixture{board: &blackboard.Board{}, statistics: statistics.New(nil), network: newMemoryNetwork()}
	f.row = policy.Row{
		Name: "test", Priority: client.PriorityNormal,
		Shards:       policy.Shards{Selection: policy.SelectAll, Fraction: 1},
		Replicas:     policy.Replicas{ZoneWeight: 1},
		Wait:         policy.Wait{Timeout: policy.Duration(30 * time.Second)},
		Retry:        policy.Retry{Attempts: 3, BudgetBurst: 10},
		Completeness: policy.Completeness{Target: 1},
		Limits:       policy.Limits{Concurrency: 10, Hits: 100},
	}
	groups := make(map[string][]topology.Replica)
	names := []string{}
	for shard, replicas := range shards {
		name := string(rune('g' + shard))
		names = append(names, name)
		for _, reply := range replicas {
			groups[name] = append(groups[name], topology.Replica{
				Address: f.startReplica(t, reply), Incarnation: "1", Group: name, Slots: 10, ConnectionLimit: 100,
			})
		}
	}
	f.board.Replicas.Publish(&topology.Replicas{Groups: groups})
	f.publishSnapshots(names, 6, 7)
	f.publishPolicy()
	pool := replica.NewPool(replica.PoolOptions{Board: f.board, Random: func() uint64 { return 0 }, Dial: f.network.dial})
	t.Cleanup(pool.Close)
	f.options = query.Options{Board: f.board, Pool: pool, Statistics: f.statistics}
	f.service = query.NewService(f.options)
	return f
}

func (f *fixture) startReplica(t *testing.T, reply replyFunc) string {
	address, listener := f.network.listen()
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0)}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		var request backendapi.SearchRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, r, request)
	})
	go func() { _ = server.Serve(listener) }() // ends with the server's Close
	t.Cleanup(func() { _ = server.Close() })
	return address
}

func (f *fixture) publishSnapshots(groups []string, ids ...uint64) {
	corpus := catalogue.Corpus{Name: "cards"}
	for _, id := range ids {
		corpus.Snapshots = append(corpus.Snapshots, catalogue.Snapshot{
			ID: id, Indexes: []catalogue.Index{{Name: "bus", Groups: groups}},
		})
	}
	f.board.Catalogue.Publish(&catalogue.Catalogue{Revision: 1, Corpora: []catalogue.Corpus{corpus}})
}

func (f *fixture) publishPolicy() {
	f.board.PolicyTable.Publish(policy.NewIndex(&policy.Table{
		Revision: 3, Policies: []policy.Row{f.row},
		Assignments: []policy.Assignment{{Group: policy.DefaultGroup, Shares: []policy.Share{{Policy: "test", Weight: 1}}}},
	}))
}

func phraseQuery() client.Query {
	return client.Query{Group: "gate", Corpus: "cards", Phrase: "fare"}
}
