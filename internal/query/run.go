package query

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/admission"
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
	context  context.Context
	inbox    Inbox
	shards   []shardRun
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

// newRun plans a run; deadline is the time left from now on.
func (s *Service) newRun(request *request, snapshot *catalogue.Snapshot, deadline time.Duration) *run {
	selected := decision.SelectShards(snapshot, request.row, &request.query, request.id)
	for i := range selected.Asked {
		s.options.Pool.Plan(&selected.Asked[i], request.row)
	}
	return &run{
		service: s, request: request, snapshot: snapshot, selected: selected,
		core:   decision.New(decision.Plan{Shards: selected.Asked, Policy: request.row, Deadline: deadline}),
		inbox:  s.options.Driver.NewInbox(len(selected.Asked)),
		shards: make([]shardRun, len(selected.Asked)),
	}
}

// execute runs until the core finishes.
func (r *run) execute(ctx context.Context, deadline time.Duration) {
	sub, cancel := r.service.options.Driver.WithTimeout(ctx, deadline)
	defer cancel()
	defer r.inbox.Close()
	r.context = sub
	r.inbox.SetTimer(deadline)
	finished := r.step(decision.Event{Kind: decision.Started})
	for !finished {
		result, woken := r.inbox.Next(ctx)
		switch woken {
		case WokenByResult:
			finished = r.step(r.take(result))
		case WokenByTimer:
			finished = r.step(decision.Event{Kind: decision.TimerFired})
		case WokenByCaller:
			finished = r.step(decision.Event{Kind: decision.GaveUp})
		}
	}
}

// take notes a result and turns it into an event.
func (r *run) take(result AttemptResult) decision.Event {
	outcome := result.Result.Outcome
	if result.Result.NotRun {
		r.counts.proven++
		r.counts.retryAfter = max(r.counts.retryAfter, result.Result.RetryAfter)
	}
	shard := &r.shards[result.Shard]
	if outcome == decision.Success && shard.reply == nil {
		shard.reply = result.Result.Reply
	}
	shard.cancels[result.Attempt]()
	event := decision.Event{
		Kind: decision.Replied, Shard: result.Shard, Attempt: result.Attempt,
		Outcome: outcome, RetryAfter: result.Result.RetryAfter,
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
	for _, action := range r.core.Step(r.inbox.Elapsed(), event) {
		switch action.Kind {
		case decision.Send:
			if !r.send(action) {
				unsent = append(unsent, noReplica{action.Shard, action.Attempt})
			}
		case decision.Cancel:
			r.cancel(action)
		case decision.SetTimer:
			r.inbox.SetTimer(action.At)
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
	attempt, cancel := r.service.options.Driver.WithCancel(r.context)
	shard.tried = append(shard.tried, handle)
	shard.cancels = append(shard.cancels, cancel)
	r.counts.dispatched++
	if action.Hedge {
		r.counts.hedges++
	}
	message := r.message(plan, action)
	r.service.options.Driver.Start(func() { r.search(attempt, handle, message, action.Shard) })
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
	r.inbox.Deliver(AttemptResult{Shard: shard, Attempt: message.Attempt, Result: result})
}

// ended is what admission learns from the run.
func (r *run) ended(took time.Duration) admission.Ended {
	ended := admission.Ended{Took: took, Asked: len(r.selected.Asked), Answered: r.core.Answered()}
	for i := range r.selected.Asked {
		if r.core.Status(i).Reason == client.MissingShed {
			ended.Refused++
			ended.RefusedShard = r.selected.Asked[i].Group
		}
	}
	return ended
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
