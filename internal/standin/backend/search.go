package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
)

func (r *Replica) serveSearch(w http.ResponseWriter, request *http.Request) {
	r.counters.searches.Add(1)
	fault := r.arrive()
	var body backendapi.SearchRequest
	if !decode(w, request, &body) {
		return
	}
	if body.TimeoutMilliseconds <= 0 {
		r.refuseDeadline(w)
		return
	}
	timeout := time.Duration(body.TimeoutMilliseconds) * time.Millisecond
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	if !r.admit(ctx, w) {
		return
	}
	defer r.slots.release()
	r.runSearch(ctx, w, body, fault)
}

func (r *Replica) runSearch(ctx context.Context, w http.ResponseWriter, body backendapi.SearchRequest, fault ReplyFault) {
	reply := r.echo(body)
	if !r.fill(&reply, body) {
		r.counters.notHeld.Add(1)
		r.refuse(w, http.StatusGone, backendapi.RefusedSnapshotNotHeld)
		return
	}
	if err := r.serve(ctx); err != nil {
		r.counters.canceled.Add(1)
		panic(http.ErrAbortHandler)
	}
	r.counters.completed.Add(1)
	reply.Load = r.slots.load()
	reply.Draining = r.showsDraining()
	writeReply(w, reply, fault)
}

// serve spends the service time.
func (r *Replica) serve(ctx context.Context) error {
	duration := r.stopwatch.draw(r.faults.current().ServiceFactor)
	if duration <= 0 {
		return ctx.Err()
	}
	return r.options.Sleep(ctx, duration)
}

func (r *Replica) echo(body backendapi.SearchRequest) backendapi.SearchReply {
	return backendapi.SearchReply{
		QueryID:     body.QueryID,
		Attempt:     body.Attempt,
		Snapshot:    body.Snapshot,
		Index:       body.Index,
		Shard:       body.Shard,
		Shards:      body.Shards,
		Hits:        []client.Hit{},
		Incarnation: r.options.Incarnation,
	}
}

// fill searches the shard, or returns false when it is not held.
func (r *Replica) fill(reply *backendapi.SearchReply, body backendapi.SearchRequest) bool {
	if r.options.Hollow {
		reply.Hits = hollowHits(body)
		reply.Count, reply.Total = len(reply.Hits), len(reply.Hits)
		return true
	}
	shard := r.indexes.find(shardKey{body.Snapshot, body.Index, body.Shard, body.Shards})
	if shard == nil {
		return false
	}
	hits, total := shard.Search(body.Phrase, body.Card, body.Order, body.Limit)
	reply.Hits = append(reply.Hits, hits...)
	reply.Count, reply.Total = len(reply.Hits), total
	return true
}

// mostHollowHits is the greatest number of hits in a hollow reply.
const mostHollowHits = 2

// hollowHits makes between none and mostHollowHits hits, always the same for
// one query and shard.
func hollowHits(body backendapi.SearchRequest) []client.Hit {
	hash := xxhash.Sum64String(body.QueryID) + uint64(body.Shard)
	count := int(hash % (mostHollowHits + 1))
	hits := make([]client.Hit, 0, count)
	for i := range count {
		hits = append(hits, client.Hit{
			ID:               hollowID(body.Shard, i),
			Index:            body.Index,
			Document:         body.Card,
			TimeMilliseconds: int64(hash % 1_000_000),
			Rank:             1,
		})
	}
	return hits
}
