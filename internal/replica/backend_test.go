package replica

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

const testGroup = "g0"

// testBackend is a replica that answers with a given handler and counts
// requests.
type testBackend struct {
	*httptest.Server
	requests atomic.Int64
}

func newBackend(t *testing.T, handler http.HandlerFunc) *testBackend {
	t.Helper()
	backend := &testBackend{}
	backend.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		backend.requests.Add(1)
		handler(w, r)
	}))
	t.Cleanup(backend.Close)
	return backend
}

func (b *testBackend) address() string { return b.Listener.Addr().String() }

func newTestPool(t *testing.T, board *blackboard.Board, modify func(*PoolOptions)) *Pool {
	t.Helper()
	options := PoolOptions{Board: board, MaxReplyBytes: 4096, Random: func() uint64 { return 0 }}
	if modify != nil {
		modify(&options)
	}
	pool := NewPool(options)
	t.Cleanup(pool.Close)
	return pool
}

func publish(board *blackboard.Board, addresses ...string) {
	replicas := make([]topology.Replica, 0, len(addresses))
	for _, address := range addresses {
		replicas = append(replicas, topology.Replica{
			Address: address, Incarnation: "1", Group: testGroup, Slots: 4, ConnectionLimit: 10,
		})
	}
	board.Replicas.Publish(&topology.Replicas{Groups: map[string][]topology.Replica{testGroup: replicas}})
}

func searchRequest() *backendapi.SearchRequest {
	return &backendapi.SearchRequest{
		QueryID: "q1", Attempt: 2, Snapshot: 7, Index: "cards", Shard: 1, Shards: 3,
		Phrase: "x", Order: client.OrderRank, Limit: 2, TimeoutMilliseconds: 1000,
	}
}

func validReply() backendapi.SearchReply {
	hits := []client.Hit{{ID: "a", Index: "cards"}, {ID: "b", Index: "cards"}}
	return backendapi.SearchReply{
		QueryID: "q1", Attempt: 2, Snapshot: 7, Index: "cards", Shard: 1, Shards: 3,
		Count: 2, Hits: hits, Total: 5, Incarnation: "1",
	}
}

func respondJSON(status int, message any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(message)
	}
}

func respondText(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
	}
}

// abort reads the request and fails the exchange without an answer: HTTP/1.1
// closes the connection, HTTP/2 resets the stream.
func abort(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// truncate sends half of the body announced by its Content-Length.
func truncate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	encoded, _ := json.Marshal(validReply())
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded[:len(encoded)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func respondModified(modify func(*backendapi.SearchReply)) http.HandlerFunc {
	reply := validReply()
	modify(&reply)
	return respondJSON(http.StatusOK, reply)
}

func respondRefusal(status int, reason backendapi.RefusalReason, notRun bool) http.HandlerFunc {
	return respondJSON(status, backendapi.Refusal{Reason: reason, NotRun: notRun, RetryAfterMilliseconds: 30})
}
