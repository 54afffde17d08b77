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

// run carries out the decisions of one query on one snapshot. Its state
// belongs to the goroutine of the query; sub-requests hand their results over
// by a channel, and find nowhere to go once the run is over.
type run struct {
	service  *Service
	request  *request
	snapshot *catalogue.Snapshot
	selected decision.Selected
	core     *decision.Query
	started  time.Time
	context  context.Context
	results  chan attemptResult
	over     chan struct{}
	shards   []shardRun
	timer    *time.Timer
	reason   decision.FinishReason
	counts   runCounts
}

// runCounts is what a run cost.
type runCounts struct {
	dispatched int
	hedges     int
	cancelled  int
	// proven counts the attempts that provably did not run.
	proven     int
	retryAfter time.Duration
}

type shardRun struct {
	tried   []*replica.Handle
	cancels []context.CancelFunc
	reply   *backendapi.SearchReply
}

type attemptResult struct {
	shard   int
	attempt int
	result  replica.SearchResult
}

// newRun plans a run; deadline is the time left from now on.
func (s *Service) newRun(request *request, snapshot *catalogue.Snapshot, deadline time.Duration) *run {
	selected := decision.SelectShards(snapshot, request.row, &request.query, request.id)
	for i := range selected.Asked {
		s.planShard(&selected.Asked[i], request)
	}
	return &run{
		service: s, request: request, snapshot: snapshot, selected: selected,
		core:    decision.New(decision.Plan{Shards: selected.Asked, Policy: request.row, Deadline: deadline}),
		results: make(chan attemptResult, len(selected.Asked)),
		over:    make(chan struct{}),
		shards:  make([]shardRun, len(selected.Asked)),
	}
}

// expectedQuantile of a group's latency is the least that an attempt is taken
// to need.
const expectedQuantile = 0.5

func (s *Service) planShard(shard *decision.ShardPlan, request *request) {
	wait := request.row.Wait
	shard.Budget = s.options.Pool.Budget(shard.Group, request.row.Retry)
	if wait.HedgeQuantile > 0 {
		usual := s.options.Pool.LatencyQuantile(shard.Group, wait.HedgeQuantile)
		if usual > 0 {
			shard.HedgeDelay = max(usual, time.Duration(wait.HedgeFloor))
		}
	}
	shard.Expected = s.options.Pool.LatencyQuantile(shard.Group, expectedQuantile)
}

// execute runs until the core finishes.
func (r *run) execute(ctx context.Context, deadline time.Duration) {
	r.started = time.Now()
	sub, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	defer close(r.over)
	r.context = sub
	r.timer = time.NewTimer(deadline)
	defer r.timer.Stop()
	finished := r.step(decision.Event{Kind: decision.Started})
	for !finished {
		select {
		case result := <-r.results:
			finished = r.step(r.take(result))
		case <-r.timer.C:
			finished = r.step(decision.Event{Kind: decision.TimerFired})
		case <-ctx.Done():
			finished = r.step(decision.Event{Kind: decision.GaveUp})
		}
	}
}

// take notes a result and turns it into an event.
func (r *run) take(result attemptResult) decision.Event {
	outcome := result.result.Outcome
	if result.result.NotRun {
		r.counts.proven++
		r.counts.retryAfter = max(r.counts.retryAfter, result.result.RetryAfter)
	}
	shard := &r.shards[result.shard]
	if outcome == decision.Success && shard.reply == nil {
		shard.reply = result.result.Reply
	}
	shard.cancels[result.attempt]()
	event := decision.Event{
		Kind: decision.Replied, Shard: result.shard, Attempt: result.attempt,
		Outcome: outcome, RetryAfter: result.result.RetryAfter,
	}
	if outcome == decision.SnapshotNotHeld && r.request.restarts > 0 {
		event.OtherSnapshot = r.service.otherSnapshot(&r.request.query, r.snapshot.ID) != nil
	}
	return event
}

// noReplica is an event that arises while actions are carried out.
type noReplica struct{ shard, attempt int }

// step feeds the core and carries out its actions. Sends that find no replica
// are fed back after all actions, as the core reuses their memory.
func (r *run) step(event decision.Event) (finished bool) {
	var unsent []noReplica
	for _, action := range r.core.Step(time.Since(r.started), event) {
		switch action.Kind {
		case decision.Send:
			if !r.send(action) {
				unsent = append(unsent, noReplica{action.Shard, action.Attempt})
			}
		case decision.Cancel:
			r.cancel(action)
		case decision.SetTimer:
			r.timer.Reset(action.At - time.Since(r.started))
		case decision.Finish:
			r.reason = action.Reason
			return true
		}
	}
	for _, missed := range unsent {
		failed := decision.Event{
			Kind: decision.Replied, Shard: missed.shard, Attempt: missed.attempt, Outcome: decision.NoReplica,
		}
		if r.step(failed) {
			return true
		}
	}
	return false
}

func (r *run) cancel(action decision.Action) {
	r.counts.cancelled++
	r.shards[action.Shard].cancels[action.Attempt]()
}

// send dispatches one attempt; false means that no replica was left.
func (r *run) send(action decision.Action) bool {
	plan, shard := &r.selected.Asked[action.Shard], &r.shards[action.Shard]
	handle := r.service.options.Pool.Acquire(plan.Group, r.request.row.Replicas, shard.tried)
	if handle == nil {
		shard.cancels = append(shard.cancels, func() {})
		return false
	}
	attempt, cancel := context.WithCancel(r.context)
	shard.tried = append(shard.tried, handle)
	shard.cancels = append(shard.cancels, cancel)
	r.counts.dispatched++
	if action.Hedge {
		r.counts.hedges++
	}
	message := r.message(plan, action)
	go r.search(attempt, handle, message, action.Shard)
	return true
}

func (r *run) message(plan *decision.ShardPlan, action decision.Action) *backendapi.SearchRequest {
	query := &r.request.query
	return &backendapi.SearchRequest{
		QueryID: r.request.id, Attempt: action.Attempt, Snapshot: r.snapshot.ID,
		Index: plan.Index, Shard: plan.Shard, Shards: plan.Shards,
		Phrase: query.Phrase, Card: query.Card, Order: query.Order, Limit: query.Limit,
		TimeoutMilliseconds: max(1, action.Timeout.Milliseconds()),
	}
}

func (r *run) search(ctx context.Context, handle *replica.Handle, message *backendapi.SearchRequest, shard int) {
	result := r.service.options.Pool.Search(ctx, handle, message)
	select {
	case r.results <- attemptResult{shard: shard, attempt: message.Attempt, result: result}:
	case <-r.over:
	}
}

// hits merges the replies; truncated is true when more hits matched.
func (r *run) hits() (merged []client.Hit, truncated bool) {
	matched, held := 0, 0
	for i := range r.shards {
		if reply := r.answered(i); reply != nil {
			matched += reply.Total
			held += len(reply.Hits)
		}
	}
	merged = make([]client.Hit, 0, held)
	for i := range r.shards {
		if reply := r.answered(i); reply != nil {
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

// answered returns a shard's reply only if the core counts it.
func (r *run) answered(shard int) *backendapi.SearchReply {
	if !r.core.Status(shard).Answered {
		return nil
	}
	return r.shards[shard].reply
}
