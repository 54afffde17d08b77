package query

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/replica"
)

// searchRun executes a search on one snapshot.
type searchRun struct {
	*run
	request  *request
	snapshot *catalogue.Snapshot
	selected decision.ShardSelection
}

// newSearchRun plans a search; deadline is the remaining time.
func (s *Service) newSearchRun(request *request, snapshot *catalogue.Snapshot, deadline time.Duration) *searchRun {
	selected := decision.SelectShards(snapshot, request.row, &request.query, request.id)
	for i := range selected.Asked {
		s.options.Pool.PlanShard(&selected.Asked[i], request.row)
	}
	plan := decision.Plan{Shards: selected.Asked, Policy: request.row, Deadline: deadline}
	search := &searchRun{request: request, snapshot: snapshot, selected: selected}
	search.run = s.newRun(plan, search)
	search.pauses.lastPaused = request.pausedAtStart // the deadline counts from the request's start
	search.timeout = request.deadline
	return search
}

func (r *searchRun) acquire(shard *decision.ShardPlan, _ decision.Action, tried []*replica.Handle) replica.AcquireResult {
	return replica.AcquireResult{Handle: r.service.options.Pool.Acquire(shard.Group, r.request.row.Replicas, tried)}
}

func (r *searchRun) exchange(ctx context.Context, handle *replica.Handle, shard *decision.ShardPlan, action decision.Action) replica.SubrequestResult {
	return r.service.options.Pool.Search(ctx, handle, r.searchRequest(shard, action))
}

func (r *searchRun) hasAlternateSnapshot() bool {
	return r.request.restartsLeft > 0 && r.service.alternateSnapshot(&r.request.query, r.snapshot.ID) != nil
}

func (r *searchRun) searchRequest(plan *decision.ShardPlan, action decision.Action) *backendapi.SearchRequest {
	query := &r.request.query
	return &backendapi.SearchRequest{
		QueryID: r.request.id, Attempt: action.Attempt, Snapshot: r.snapshot.ID,
		Index: plan.Index, Shard: plan.Shard, Shards: plan.ShardCount,
		Phrase: query.Phrase, Card: query.Card, Order: query.Order, Limit: query.Limit,
		TimeoutMilliseconds: max(1, action.Timeout.Milliseconds()),
	}
}

// hits merges the replies; truncated is true if more hits matched than the limit.
func (r *searchRun) hits() (merged []client.Hit, truncated bool) {
	matched, received := 0, 0
	for i := range r.shards {
		if reply := r.acceptedReply(i); reply != nil {
			matched += reply.Total
			received += len(reply.Hits)
		}
	}
	merged = make([]client.Hit, 0, received)
	for i := range r.shards {
		if reply := r.acceptedReply(i); reply != nil {
			merged = append(merged, reply.Hits...)
		}
	}
	client.SortHits(merged, r.request.query.Order)
	limit := r.request.query.Limit
	if len(merged) > limit {
		merged = merged[:limit]
	}
	return merged, matched > limit
}

// acceptedReply returns a shard's reply, or nil if the core does not count it as
// answered.
func (r *searchRun) acceptedReply(shard int) *backendapi.SearchReply {
	if !r.core.Status(shard).Answered {
		return nil
	}
	return r.shards[shard].searchReply
}
