package query

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/upstream"
)

// protocol is how one kind of request is put to the replicas of its shards.
type protocol interface {
	// acquire chooses a replica that was not tried yet; a canary goes to an idle one if it
	// can.
	acquire(shard *decision.ShardPlan, canary bool, tried []*replica.Handle) replica.AcquireResult
	// exchange sends one attempt to a replica, and returns what came of it.
	exchange(ctx context.Context, handle *replica.Handle, shard *decision.ShardPlan, action decision.Action) replica.SubrequestResult
	// otherSnapshot tells whether the query could start anew on another one.
	otherSnapshot() bool
}

// run carries out the decisions of one query. Its state belongs to the
// goroutine of the query; sub-requests hand their results over by a channel,
// and find nowhere to go once the run is over.
type run struct {
	service  *Service
	protocol protocol
	plan     decision.Plan
	core     *decision.Query
	context  context.Context
	inbox    Inbox
	shards   []shardRun
	reason   decision.FinishReason
	counts   runCounts
	// linger is for how long an attempt that is not needed any more may still
	// answer: its time tells how its replica does, and its connection is kept.
	linger time.Duration
	// halfAt is when half of the shards had answered, 0 until then.
	halfAt time.Duration
	// quarantined tells whether other nodes have found the query to end replicas, contested
	// whether this one has by what may have been another's doing; onEnded is called when
	// one ended while it ran a sub-request, with its name if that was a canary. Nil means
	// nothing.
	quarantined func() bool
	contested   func() bool
	onEnded     func(canary string)
	// abandoned is set once the caller no longer waits.
	abandoned bool
	allowance pauseAllowance
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
	tried    []*replica.Handle
	attempts []attempt
	reply    *backendapi.SearchReply
	// part is the answer to a message; refusal is a failure that a replica
	// itself answered with.
	part    *upstream.Reply
	refusal *upstream.Reply
	// err is the last failure of an attempt.
	err error
}

// forgetUnsent lets replicas that attempts have not come to be tried again; false
// means that there are none.
func (s *shardRun) forgetUnsent() bool {
	before := len(s.tried)
	s.tried = slices.DeleteFunc(s.tried, func(handle *replica.Handle) bool {
		return slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.handle == handle && a.unsent })
	})
	return len(s.tried) < before
}

// forgetRejected lets replicas that have rejected an attempt be tried again; false means that
// there are none.
func (s *shardRun) forgetRejected() bool {
	before := len(s.tried)
	s.tried = slices.DeleteFunc(s.tried, func(handle *replica.Handle) bool {
		return slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.handle == handle && a.rejected })
	})
	return len(s.tried) < before
}

// inFlight is what has come of an attempt that has not ended.
const inFlight = "in_flight"

// attempt is one sub-request of a shard, by the core's number.
type attempt struct {
	// handle is nil when no replica was left to send it to.
	handle *replica.Handle
	cancel context.CancelFunc
	cause  decision.Cause
	sent   time.Duration
	ended  string
	// unsent is true when no byte of it came to the replica.
	unsent bool
	// rejected is true when the replica turned it away without running it.
	rejected bool
	// canary is true for one by which its replica may end.
	canary bool
}

// canaryOf names the process that ran a canary; empty for another sub-request.
func (a *attempt) canaryOf() string {
	if !a.canary {
		return ""
	}
	return a.handle.ProcessName()
}

// newRun makes a run of a plan.
func (s *Service) newRun(plan decision.Plan, speaks protocol) *run {
	lost := s.lost() // before the inbox, which begins to count
	return &run{
		service: s, protocol: speaks, plan: plan, core: decision.New(plan),
		inbox:     s.options.Driver.NewInbox(len(plan.Shards)),
		shards:    make([]shardRun, len(plan.Shards)),
		allowance: pauseAllowance{seen: lost},
	}
}

// elapsed is the time since the run's start, without what is allowed for pauses.
func (r *run) elapsed() time.Duration { return r.inbox.Elapsed() - r.allowance.granted }

// now is elapsed, after pauses of the process up to now have been taken in. A pause may come
// between any two readings; the two clocks have to be read on the same side of it.
func (r *run) now() time.Duration {
	for {
		lost := r.service.lost()
		elapsed := r.inbox.Elapsed()
		if r.service.lost()-lost < leastAllowed {
			r.allowance.look(lost, elapsed, r.plan.Deadline)
			return elapsed - r.allowance.granted
		}
	}
}

// setTimer sets the timer to a time as elapsed counts it.
func (r *run) setTimer(at time.Duration) { r.inbox.SetTimer(at + r.allowance.granted) }

// execute runs until the core finishes. Its attempts end with it, but for
// those that linger.
func (r *run) execute(ctx context.Context, deadline time.Duration) {
	defer r.inbox.Close()
	if r.linger > 0 {
		r.context = r.service.options.Driver.Detached()
	} else {
		// no time-out: the core gives attempts up at the deadline, and it may be later
		sub, cancel := r.service.options.Driver.WithCancel(ctx)
		defer cancel()
		r.context = sub
	}
	r.setTimer(deadline)
	finished := r.step(decision.Event{Kind: decision.Started})
	for !finished {
		result, woken := r.inbox.Next(ctx)
		switch woken {
		case WakeResult:
			finished = r.step(r.take(result))
			r.noteHalf()
			if r.onEnded != nil && result.Result.Outcome == decision.Crashed {
				r.onEnded(r.shards[result.Shard].attempts[result.Attempt].canaryOf())
			}
		case WakeTimer:
			if r.contested != nil && r.contested() {
				finished = r.step(decision.Event{Kind: decision.EvidenceDisputed})
			}
			finished = finished || r.step(decision.Event{Kind: decision.TimerFired})
		case WakeContextDone:
			finished = r.step(r.leave(ctx))
		}
	}
}

// ErrShuttingDown is the cause for which the context of a request ends that has to be answered
// now, as its node stops. Other causes mean that the caller no longer waits.
var ErrShuttingDown = errors.New("the node stops")

// leave describes the end of a request's context.
func (r *run) leave(ctx context.Context) decision.Event {
	if errors.Is(context.Cause(ctx), ErrShuttingDown) {
		return decision.Event{Kind: decision.Interrupted}
	}
	r.abandoned = true
	return decision.Event{Kind: decision.Canceled}
}

// noteHalf notes when half of the shards have answered.
func (r *run) noteHalf() {
	if r.halfAt == 0 && 2*r.core.Answered() >= len(r.shards) {
		r.halfAt = r.elapsed()
	}
}

// take notes a result and turns it into an event.
func (r *run) take(result AttemptResult) decision.Event {
	outcome := result.Result.Outcome
	if result.Result.NotRun {
		r.counts.proven++
		r.counts.retryAfter = max(r.counts.retryAfter, result.Result.RetryAfter)
	}
	r.keep(&r.shards[result.Shard], result.Result)
	ended := &r.shards[result.Shard].attempts[result.Attempt]
	ended.ended = outcome.String()
	ended.unsent = outcome.NotSent()
	ended.rejected = outcome == decision.Shed
	ended.cancel()
	event := decision.Event{
		Kind: decision.AttemptCompleted, Shard: result.Shard, Attempt: result.Attempt,
		Outcome: outcome, RetryAfter: result.Result.RetryAfter,
		Busy:     errors.Is(result.Result.Err, upstream.ErrConnectionLimit),
		Survived: result.Result.UpstreamReply != nil, Attribution: result.Result.Blame,
	}
	if outcome == decision.Crashed && r.quarantined != nil {
		event.Quarantined = r.quarantined()
	}
	if outcome == decision.SnapshotNotHeld {
		event.OtherSnapshot = r.protocol.otherSnapshot()
	}
	return event
}

// keep stores the first answer of a shard, or its last failure.
func (r *run) keep(shard *shardRun, result replica.SubrequestResult) {
	switch {
	case result.Outcome != decision.Success:
		shard.err = result.Err
		shard.refusal = result.UpstreamReply
	case shard.reply == nil && shard.part == nil:
		shard.reply, shard.part = result.Reply, result.UpstreamReply
	}
}

// step feeds the core and carries out its actions. What the sends give rise to
// is fed back after all actions, as the core reuses their memory.
func (r *run) step(event decision.Event) (finished bool) {
	var arisen []decision.Event
	for _, action := range r.core.Step(r.now(), event) {
		switch action.Kind {
		case decision.Send:
			arisen = r.send(action, arisen)
		case decision.Cancel:
			r.cancel(action)
		case decision.SetTimer:
			r.setTimer(action.At)
		case decision.Finish:
			r.reason = action.Reason
			return true
		}
	}
	for _, next := range arisen {
		if r.step(next) {
			return true
		}
	}
	return false
}

// cancel gives an attempt up. The core may give up one that was not sent, as
// all replicas were busy, before it is told so.
func (r *run) cancel(action decision.Action) {
	attempts := r.shards[action.Shard].attempts
	if action.Attempt >= len(attempts) {
		return
	}
	r.counts.cancelled++
	cancel := attempts[action.Attempt].cancel
	if r.linger > 0 && !r.abandoned {
		r.service.options.Driver.After(r.linger, cancel)
		return
	}
	cancel()
}

// send dispatches one attempt, and adds the event that this gives rise to.
func (r *run) send(action decision.Action, arisen []decision.Event) []decision.Event {
	plan, shard := &r.plan.Shards[action.Shard], &r.shards[action.Shard]
	acquired := r.protocol.acquire(plan, action.Canary, shard.tried)
	if acquired.Handle == nil && !acquired.Busy && shard.forgetUnsent() {
		acquired = r.protocol.acquire(plan, action.Canary, shard.tried)
	}
	if acquired.Exhausted && shard.forgetRejected() {
		// A replica that is full for a moment is asked again after a wait where no other may
		// be. (With one replica a shard that rejects a twentieth of the requests, 0.96 of
		// them were answered without it, and 0.998 with it.)
		acquired.Busy = true
	}
	handle := acquired.Handle
	if handle == nil {
		if !acquired.Busy {
			shard.attempts = append(shard.attempts, attempt{cancel: func() {}, ended: decision.NoReplica.String()})
		}
		return append(arisen, decision.Event{
			Kind: decision.AttemptCompleted, Shard: action.Shard, Attempt: action.Attempt,
			Outcome: decision.NoReplica, Busy: acquired.Busy,
		})
	}
	sub, cancel := r.service.options.Driver.WithCancel(r.context)
	shard.tried = append(shard.tried, handle)
	shard.attempts = append(shard.attempts, attempt{handle: handle, cancel: cancel, cause: action.Cause, canary: action.Canary, sent: r.elapsed(), ended: inFlight})
	r.counts.dispatched++
	if action.Cause == decision.CauseHedge {
		r.counts.hedges++
	}
	r.service.metrics.sent[action.Cause].Inc()
	r.service.options.Driver.Start(func() {
		result := r.protocol.exchange(sub, handle, plan, action)
		r.inbox.Deliver(AttemptResult{Shard: action.Shard, Attempt: action.Attempt, Result: result})
	})
	if acquired.LateAfter == 0 {
		return arisen
	}
	return append(arisen, decision.Event{
		Kind: decision.Dispatched, Shard: action.Shard, Attempt: action.Attempt, HedgeDelay: acquired.LateAfter,
	})
}

// ended is what admission learns from the run.
func (r *run) ended(took time.Duration) admission.Outcome {
	ended := admission.Outcome{Duration: took, Queried: len(r.plan.Shards), Answered: r.core.Answered()}
	for i := range r.plan.Shards {
		if r.core.Status(i).Reason == client.MissingShed {
			ended.Refused++
			ended.RefusedShard = r.plan.Shards[i].Group
		}
	}
	return ended
}
