package query_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// benchCodec maps the header fields of the test back ends.
type benchCodec struct{}

func (benchCodec) RequestHeader(message *upstream.Request, incarnation string, timeout time.Duration) http.Header {
	return http.Header{"Id": {message.ID}, "Process": {incarnation}, "Left": {timeout.String()}}
}

func (benchCodec) ReadResponse(reply *upstream.Response) {
	reply.RequestID, reply.Signature = reply.Header.Get("Id"), reply.Header.Get("Signature")
}

const benchShards = 10

// startRecordBackends starts a back end for each shard, which returns 20 records.
func startRecordBackends(b *testing.B) []string {
	records := make([]byte, 20*routing.RecordBytes)
	var addresses []string
	for range benchShards {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Signature", "s")
			_, _ = w.Write(records)
		}))
		b.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

// BenchmarkTenShards compares a scattered request to ten shards, a plain request, a search
// over ten shards, and exchanges by net/http with the same back ends. The back ends run in
// this process, so that their CPU time is included.
func BenchmarkTenShards(b *testing.B) {
	b.Run("forwarded", func(b *testing.B) { benchmarkForward(b, true) })
	b.Run("plain", func(b *testing.B) { benchmarkForward(b, false) })
	b.Run("search", benchmarkSearchTenShards)
	b.Run("nethttp", benchmarkNetHTTP)
}

func benchmarkForward(b *testing.B, scattered bool) {
	board := &blackboard.Board{}
	route := &routing.Route{
		Name: "r", Policy: routing.PolicyRow(routing.RouteSpec{Name: "r", Timeout: time.Minute, Attempts: 2}),
		Objective: time.Minute, Idempotent: true,
	}
	groups := make(map[string][]topology.Replica)
	for i, address := range startRecordBackends(b) {
		name := fmt.Sprint("g", i)
		groups[name] = []topology.Replica{{Address: address, Incarnation: "1", Group: name, Slots: 8, ConnectionLimit: 40}}
		route.Shards = append(route.Shards, name)
	}
	if scattered {
		route.MinShards, route.TopRecords = benchShards, 20
	} else {
		route.WeightedGroups, route.Shards = []routing.WeightedGroup{{Group: route.Shards[0], Weight: 1}}, nil
	}
	board.Replicas.Publish(&topology.Replicas{Groups: groups})
	pool := replica.NewPool(replica.PoolOptions{Board: board, Codec: benchCodec{}})
	b.Cleanup(pool.Close)
	service := query.NewService(query.Options{Board: board, Pool: pool})
	message := &upstream.Request{ID: "m", Method: http.MethodGet, Target: "/", Host: "h"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := service.Forward(context.Background(), &query.ForwardRequest{Message: message, Route: route}); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkSearchTenShards(b *testing.B) {
	board := &blackboard.Board{}
	publishBenchTopology(board, startEmptyBackends(b, benchShards, replica.ProtocolHTTP1), benchShards)
	pool := replica.NewPool(replica.PoolOptions{Board: board, Protocol: replica.ProtocolHTTP1})
	b.Cleanup(pool.Close)
	service := query.NewService(query.Options{Board: board, Pool: pool})
	search := client.Query{Group: "gate", Corpus: "cards", Phrase: "fare"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := service.Search(b.Context(), search); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkNetHTTP(b *testing.B) {
	addresses := startRecordBackends(b)
	httpClient := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	exchange := func(address string) {
		response, err := httpClient.Get("http://" + address + "/")
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	b.ReportAllocs()
	for b.Loop() {
		var exchanges sync.WaitGroup
		for _, address := range addresses {
			exchanges.Go(func() { exchange(address) })
		}
		exchanges.Wait()
	}
}
