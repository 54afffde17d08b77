package query_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/topology"
)

// serveEmptyReply answers each request with a valid reply without hits.
func serveEmptyReply(w http.ResponseWriter, r *http.Request) {
	var request backendapi.SearchRequest
	body, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(backendapi.SearchReply{
		QueryID: request.QueryID, Attempt: request.Attempt, Snapshot: request.Snapshot,
		Index: request.Index, Shard: request.Shard, Shards: request.Shards, Incarnation: "1",
	})
}

// BenchmarkSearch390 runs queries one after another against 390 shards on 13 back ends
// over loopback. The back ends run in this process, so that their CPU time is included.
func BenchmarkSearch390(b *testing.B) {
	for _, protocol := range []replica.Protocol{replica.ProtocolHTTP1, replica.ProtocolH2C} {
		b.Run(string(protocol), func(b *testing.B) { benchmarkSearch(b, protocol) })
	}
}

func benchmarkSearch(b *testing.B, protocol replica.Protocol) {
	const shards, backends = 390, 13
	board := &blackboard.Board{}
	addresses := startEmptyBackends(b, backends, protocol)
	publishBenchTopology(board, addresses, shards)
	pool := replica.NewPool(replica.PoolOptions{Board: board, Protocol: protocol})
	b.Cleanup(pool.Close)
	service := query.NewService(query.Options{Board: board, Pool: pool})
	search := client.Query{Group: "gate", Corpus: "cards", Phrase: "fare"}
	var times []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		started := time.Now()
		answer, err := service.Search(b.Context(), search)
		if err != nil || answer.Coverage.Answered != shards {
			b.Fatalf("answered %d: %v", answer.Coverage.Answered, err)
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*shards), "us/subrequest")
}

func startEmptyBackends(b *testing.B, count int, protocol replica.Protocol) []string {
	addresses := make([]string, 0, count)
	for range count {
		server := httptest.NewUnstartedServer(http.HandlerFunc(serveEmptyReply))
		server.Config.Protocols = new(http.Protocols)
		server.Config.Protocols.SetHTTP1(true)
		server.Config.Protocols.SetUnencryptedHTTP2(protocol == replica.ProtocolH2C)
		server.Start()
		b.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

func publishBenchTopology(board *blackboard.Board, addresses []string, shards int) {
	groups := make(map[string][]topology.Replica)
	names := make([]string, 0, shards)
	for shard := range shards {
		name := fmt.Sprint("g", shard)
		names = append(names, name)
		groups[name] = []topology.Replica{{
			Address: addresses[shard%len(addresses)], Incarnation: name, Group: name, Slots: 1000, ConnectionLimit: 1000,
		}}
	}
	board.Replicas.Publish(&topology.Replicas{Groups: groups})
	board.Catalogue.Publish(&catalogue.Catalogue{Corpora: []catalogue.Corpus{{
		Name: "cards", Snapshots: []catalogue.Snapshot{{ID: 1, Indexes: []catalogue.Index{{Name: "bus", Groups: names}}}},
	}}})
	board.PolicyTable.Publish(policy.NewIndex(&policy.Table{
		Policies: []policy.Row{{
			Name: "test", Shards: policy.Shards{Selection: policy.SelectAll, Fraction: 1},
			Replicas: policy.Replicas{ZoneWeight: 1}, Wait: policy.Wait{Timeout: policy.Duration(10 * time.Second)},
			Retry: policy.Retry{Attempts: 1}, Completeness: policy.Completeness{Target: 1},
			Limits: policy.Limits{Concurrency: 100, Hits: 100},
		}},
		Assignments: []policy.Assignment{{Group: policy.DefaultGroup, Shares: []policy.Share{{Policy: "test", Weight: 1}}}},
	}))
}
