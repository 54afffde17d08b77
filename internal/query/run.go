package query

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/upstream"
)

// protocol sends one kind of request to the replicas of its shards.
type protocol interface {
	// acquire chooses a replica that has not been tried yet for a Send.
	acquire(shard *decision.ShardPlan, action decision.Action, tried []*replica.Handle) replica.AcquireResult
	// exchange sends one attempt to a replica and returns its result.
	exchange(ctx context.Context, handle *replica.Handle, shard *decision.ShardPlan, action decision.Action) replica.SubrequestResult
	// hasAlternateSnapshot reports whether the query can restart on another
	// snapshot.
	hasAlternateSnapshot() bool
}

// run executes the decisions for one query. Its state is confined to the
// query's goroutine; sub-requests deliver their results through the inbox,
// which discards them once the run has finished.
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
	// linger is how long an attempt that is no longer needed may still answer,
	// so that its latency is measured and its connection is kept.
	linger time.Duration
	// unreadResults is how many results were ready when the run finished.
	unreadResults int
	// halfAnsweredAt is when half of the shards had answered, 0 until then.
	halfAnsweredAt time.Duration
	// checkQuarantined reports whether another node has quarantined the request,
	// checkDisputed whether the crashes attributed to it may have been caused by
	// another request. onCrash is called when a replica crashed while executing
	// a sub-request; canary names its process if that was a canary. Each may be
	// nil.
	checkQuarantined func() bool
	checkDisputed    func() bool
	onCrash          func(canary string)
	// onStarted is called once the first sub-requests have been sent, onResult when a replica
	// has ended one. Each may be nil.
	onStarted func()
	onResult  func()
	// harmless is true once a replica has run the request and replied.
	harmless bool
	// abandoned is true once the caller no longer waits for an answer.
	abandoned bool
	pauses    pauseCompensation
	// timeout is the timeout of the whole query. A pause takes none of it before all shards have
	// been sent a sub-request. 0 disables this.
	timeout time.Duration
}

// runCounts counts the sub-requests of a run.
type runCounts struct {
	dispatched int
	hedges     int
	canceled   int
	// provenNotRun counts the attempts that provably were not executed.
	provenNotRun int
	retryAfter   time.Duration
}

type shardRun struct {
	// pending is true while the shard waits for a replica that can take its sub-request.
	pending     bool
	tried       []*replica.Handle
	attempts    []attempt
	searchReply *backendapi.SearchReply
	// forwardReply is the response to a forwarded request, errorReply an error
	// response from a replica.
	forwardReply *upstream.Response
	errorReply   *upstream.Response
	// err is the error of the last failed attempt.
	err error
}

// readmitUnsent makes the replicas eligible again that attempts did not reach,
// and reports whether there were any.
func (s *shardRun) readmitUnsent() bool {
	before := len(s.tried)
	s.tried = slices.DeleteFunc(s.tried, func(handle *replica.Handle) bool {
		return slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.handle == handle && a.unsent })
	})
	return len(s.tried) < before
}

// readmitRejected makes the replicas eligible again that rejected an attempt, and
// reports whether there were any.
func (s *shardRun) readmitRejected() bool {
	before := len(s.tried)
	s.tried = slices.DeleteFunc(s.tried, func(handle *replica.Handle) bool {
		return slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.handle == handle && a.rejected })
	})
	return len(s.tried) < before
}

// outcomeInFlight is the outcome in traces of an attempt that has not finished.
const outcomeInFlight = "in_flight"

// attempt is one sub-request of a shard. Its position is its attempt number in
// decision events.
type attempt struct {
	// handle is nil if no replica was available.
	handle  *replica.Handle
	cancel  context.CancelFunc
	cause   decision.Cause
	sentAt  time.Duration
	outcome string
	// unsent is true if no byte reached the replica.
	unsent bool
	// rejected is true if the replica rejected it without executing it.
	rejected bool
	// canary is true if it tests whether the request crashes its replica.
	canary bool
	// proof is nil if crashes are not detected.
	proof *replica.Proof
	// writtenAt is when the attempt was written, as measured by the inbox, and unwritten until
	// then; nil if this is not recorded.
	writtenAt *atomic.Int64
}

// canaryProcess returns the process that executed a canary, or "" if the attempt
// is not one.
func (a *attempt) canaryProcess() string {
	if !a.canary {
		return ""
	}
	return a.handle.ProcessName()
}

func (s *Service) newRun(plan decision.Plan, proto protocol) *run {
	paused := s.pausedTime() // read before the inbox starts its clock
	return &run{
		service: s, protocol: proto, plan: plan, core: decision.New(plan),
		inbox:  s.options.Driver.NewInbox(len(plan.Shards)),
		shards: make([]shardRun, len(plan.Shards)),
		pauses: pauseCompensation{lastPaused: paused},
	}
}

// elapsed returns the time since the run's start, without compensated pauses.
func (r *run) elapsed() time.Duration { return r.inbox.Elapsed() - r.pauses.excluded }

// now compensates for the pauses of the process so far, reports them to the core, and returns
// the elapsed time.
// If a pause falls between the readings of the two clocks, both are read again.
func (r *run) now() time.Duration {
	for {
		paused := r.service.pausedTime()
		elapsed := r.inbox.Elapsed()
		if r.service.pausedTime()-paused < minPause {
			pause := r.pauses.updateLeaving(r.timeAfterPause(paused, elapsed), paused, elapsed, r.plan.Deadline)
			now := elapsed - r.pauses.excluded
			if pause > 0 {
				r.core.Resume(now, pause, min(pause, minTimeAfterPause))
			}
			return now
		}
	}
}

// setTimer sets the timer to a time as measured by elapsed.
func (r *run) setTimer(at time.Duration) { r.inbox.SetTimer(at + r.pauses.excluded) }

// execute runs until the core finishes. It cancels outstanding attempts on return,
// unless they linger.
func (r *run) execute(ctx context.Context, deadline time.Duration) {
	defer r.inbox.Close()
	if r.linger > 0 {
		r.context = r.service.options.Driver.Detached()
	} else {
		// no timeout: the core cancels attempts at the deadline, which pauses may postpone
		runContext, cancel := r.service.options.Driver.WithCancel(ctx)
		defer cancel()
		r.context = runContext
	}
	r.setTimer(deadline)
	finished := r.step(decision.Event{Kind: decision.Started})
	if r.onStarted != nil {
		r.onStarted()
	}
	for !finished {
		result, reason := r.inbox.Next(ctx)
		switch reason {
		case WakeResult:
			finished = r.step(r.resultEvent(result))
			r.markHarmless()
			r.recordHalfAnswered()
			if r.onCrash != nil && result.Result.Outcome == decision.Crashed {
				r.onCrash(r.shards[result.Shard].attempts[result.Attempt].canaryProcess())
			}
		case WakeTimer:
			if r.checkDisputed != nil && r.checkDisputed() {
				finished = r.step(decision.Event{Kind: decision.EvidenceDisputed})
			}
			finished = finished || r.step(decision.Event{Kind: decision.TimerFired})
		case WakeContextDone:
			finished = r.step(r.contextEvent(ctx))
		}
	}
	r.unreadResults = r.inbox.Ready()
	for i := range r.shards {
		r.setPending(i, false)
	}
}

// ErrShuttingDown is the cause of a request's context if the request has to be
// answered immediately because the node is shutting down. Any other cause means that
// the caller no longer waits for an answer.
var ErrShuttingDown = errors.New("node is shutting down")

// contextEvent returns the event for the end of a request's context.
func (r *run) contextEvent(ctx context.Context) decision.Event {
	if errors.Is(context.Cause(ctx), ErrShuttingDown) {
		return decision.Event{Kind: decision.Interrupted}
	}
	r.abandoned = true
	return decision.Event{Kind: decision.Canceled}
}

// recordHalfAnswered records when half of the shards have answered.
func (r *run) recordHalfAnswered() {
	if r.halfAnsweredAt == 0 && 2*r.core.Answered() >= len(r.shards) {
		r.halfAnsweredAt = r.elapsed()
	}
}

// resultEvent records a result and converts it to an event.
func (r *run) resultEvent(result AttemptResult) decision.Event {
	outcome := result.Result.Outcome
	if result.Result.NotRun {
		r.counts.provenNotRun++
		r.counts.retryAfter = max(r.counts.retryAfter, result.Result.RetryAfter)
	}
	r.storeResult(&r.shards[result.Shard], result.Result)
	finished := &r.shards[result.Shard].attempts[result.Attempt]
	finished.outcome = outcome.String()
	finished.unsent = outcome.NotSent()
	finished.rejected = outcome == decision.Shed
	finished.cancel()
	event := decision.Event{
		Kind: decision.AttemptCompleted, Shard: result.Shard, Attempt: result.Attempt,
		Outcome: outcome, RetryAfter: result.Result.RetryAfter,
		Busy:     errors.Is(result.Result.Err, upstream.ErrConnectionLimit),
		Survived: result.Result.UpstreamReply != nil, Attribution: result.Result.Attribution,
	}
	if outcome == decision.Crashed && r.checkQuarantined != nil {
		event.Quarantined = r.checkQuarantined()
	}
	if outcome == decision.SnapshotNotHeld {
		event.OtherSnapshot = r.protocol.hasAlternateSnapshot()
	}
	return event
}

// storeResult stores the first reply of a shard or its last failure.
func (r *run) storeResult(shard *shardRun, result replica.SubrequestResult) {
	switch {
	case result.Outcome != decision.Success:
		shard.err = result.Err
		shard.errorReply = result.UpstreamReply
	case shard.searchReply == nil && shard.forwardReply == nil:
		shard.searchReply, shard.forwardReply = result.Reply, result.UpstreamReply
	}
}

// step feeds an event to the core and carries out the resulting actions. Events
// caused by sends are fed back after all actions, as the core reuses their memory.
func (r *run) step(event decision.Event) (finished bool) {
	var followUps []decision.Event
	now := r.now()
	event.ResultsReady = r.inbox.Ready() > 0
	if event.ResultsReady {
		now = min(now, r.plan.Deadline-1) // results that are ready still count
	}
	for _, action := range r.core.Step(now, event) {
		switch action.Kind {
		case decision.Send:
			followUps = r.send(action, followUps)
		case decision.Cancel:
			r.cancel(action)
		case decision.SetTimer:
			r.setTimer(action.At)
		case decision.Finish:
			r.reason = action.Reason
			return true
		}
	}
	for _, next := range followUps {
		if r.step(next) {
			return true
		}
	}
	return false
}

// cancel cancels an attempt. The core may cancel one that was not sent because all
// replicas were busy, before it has processed the event that reports this.
func (r *run) cancel(action decision.Action) {
	attempts := r.shards[action.Shard].attempts
	if action.Attempt >= len(attempts) {
		return
	}
	r.counts.canceled++
	cancel := attempts[action.Attempt].cancel
	if r.linger > 0 && !r.abandoned {
		r.service.options.Driver.After(r.linger, cancel)
		return
	}
	cancel()
}

// send dispatches one attempt and appends the events that result to followUps.
func (r *run) send(action decision.Action, followUps []decision.Event) []decision.Event {
	plan, shard := &r.plan.Shards[action.Shard], &r.shards[action.Shard]
	acquired := r.protocol.acquire(plan, action, shard.tried)
	if acquired.Handle == nil && !acquired.Busy && shard.readmitUnsent() {
		acquired = r.protocol.acquire(plan, action, shard.tried)
	}
	if acquired.Exhausted && shard.readmitRejected() {
		// Only replicas that rejected an attempt are left: retry them after a delay.
		acquired.Busy = true
	}
	handle := acquired.Handle
	r.setPending(action.Shard, handle == nil && acquired.Busy)
	if handle == nil {
		if !acquired.Busy {
			shard.attempts = append(shard.attempts, attempt{cancel: func() {}, outcome: decision.NoReplica.String()})
		}
		return append(followUps, decision.Event{
			Kind: decision.AttemptCompleted, Shard: action.Shard, Attempt: action.Attempt,
			Outcome: decision.NoReplica, Busy: acquired.Busy,
		})
	}
	cancelable, cancel := r.service.options.Driver.WithCancel(r.context)
	attemptContext, writtenAt := r.recordWrite(cancelable)
	shard.tried = append(shard.tried, handle)
	proof := r.newProof(handle)
	shard.attempts = append(shard.attempts, attempt{
		handle: handle, cancel: cancel, cause: action.Cause, canary: action.Canary, proof: proof,
		sentAt: r.elapsed(), outcome: outcomeInFlight, writtenAt: writtenAt,
	})
	r.counts.dispatched++
	if action.Cause == decision.CauseHedge {
		r.counts.hedges++
	}
	r.service.metrics.subrequests[action.Cause].Inc()
	r.service.options.Driver.Start(func() {
		result := r.protocol.exchange(attemptContext, handle, plan, action)
		if proof != nil {
			proof.End()
		}
		if r.onResult != nil {
			r.onResult()
		}
		r.inbox.Deliver(AttemptResult{Shard: action.Shard, Attempt: action.Attempt, Result: result})
	})
	if acquired.LateAfter == 0 {
		return followUps
	}
	return append(followUps, decision.Event{
		Kind: decision.Dispatched, Shard: action.Shard, Attempt: action.Attempt, HedgeDelay: acquired.LateAfter,
	})
}

// setPending records whether a shard waits for a replica that can take its sub-request.
func (r *run) setPending(shard int, pending bool) {
	state := &r.shards[shard]
	if state.pending == pending || r.onStarted == nil {
		return
	}
	state.pending = pending
	change := int64(1)
	if !pending {
		change = -1
	}
	r.service.options.Pool.AddPending(r.plan.Shards[shard].Group, change)
}

// newProof returns the proof of an attempt, nil if crashes are not detected.
func (r *run) newProof(handle *replica.Handle) *replica.Proof {
	if !r.plan.CrashDetection.Enabled {
		return nil
	}
	proof := handle.NewProof()
	if r.harmless {
		proof.MarkHarmless()
	}
	return proof
}

// markHarmless records, once a replica has run the request and replied, that the
// request does not crash replicas.
func (r *run) markHarmless() {
	if _, survived := r.core.CrashEvidence(); r.harmless || !survived || !r.plan.CrashDetection.Enabled {
		return
	}
	r.harmless = true
	for i := range r.shards {
		for _, sent := range r.shards[i].attempts {
			if sent.proof != nil {
				sent.proof.MarkHarmless()
			}
		}
	}
}

// admissionOutcome returns what the run reports to admission control.
func (r *run) admissionOutcome(took time.Duration) admission.Outcome {
	outcome := admission.Outcome{Duration: took, Queried: len(r.plan.Shards), Answered: r.core.Answered()}
	for i := range r.plan.Shards {
		if r.core.Status(i).Reason == client.MissingShed {
			outcome.Refused++
			outcome.RefusedShard = r.plan.Shards[i].Group
		}
	}
	return outcome
}
