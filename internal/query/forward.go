package query

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/upstream"
)

// The constants of a forwarded request.
const (
	// answerShare is the part of a route's objective that is left to this
	// node; the rest is for the way to the caller and back.
	answerByFraction = 0.88
	// unknownLateShare of the objective is how long an answer is waited for
	// before a hedge, while the usual times are not known.
	defaultLateFraction = 0.25
	// offerShare of the objective is the time by which a plain request must have
	// been sent to a replica.
	dispatchByFraction = 0.25
	// delayShare of the objective is how long sending all first attempts may
	// take: beyond it, this node or the replicas have too much to do.
	firstAttemptsFraction = 0.125
	// strainShare of the objective is what the faster half of the shards takes at
	// most while the replicas have no more to do than they bear.
	halfAnsweredFraction = 0.5
	// lingerTime is for how long an attempt that is not needed any more may
	// still answer. Replicas must have stopped half a second after a caller
	// has left.
	lingerTimeout = 300 * time.Millisecond
)

// ForwardRequest is a request that is passed on as it is.
type ForwardRequest struct {
	Message *upstream.Message
	// Route is pinned for the whole request.
	Route *routing.Route
	// CallerTimeout is how long the caller waits from the request's arrival on; 0 means that it did
	// not say.
	CallerTimeout time.Duration
	// Elapsed is how much of the request's time is over.
	Elapsed time.Duration
}

// deadline is how much of the request's time is left: of its caller's, and of its route's.
func (f *ForwardRequest) timeLeft() time.Duration {
	timeout := time.Duration(f.Route.Policy.Wait.Timeout)
	if f.CallerTimeout > 0 {
		timeout = min(timeout, f.CallerTimeout)
	}
	return timeout - f.Elapsed
}

// ForwardResult is the answer to a Forwarding.
type ForwardResult struct {
	// Reply is a replica's answer; nil for a scattered request.
	Reply *upstream.Reply
	// Records are the merged records of a scattered request, Signatures those
	// of the parts that are in, and Missing the number of shards left out.
	Records       []byte
	Signatures    []string
	MissingShards int
	// Attempts and Hedges are what the request cost.
	Attempts, Hedges int
	// Late is true when the answer came after the route's objective.
	Late bool
	// Trace says, for an answer that is late, partial or a failure, what was
	// tried at each shard that has not answered at its first attempt.
	Trace []ShardTrace
}

// ShardTrace is a shard as logs tell of it. Reason is empty when it answered.
type ShardTrace struct {
	Group    string         `json:"group"`
	Reason   string         `json:"reason,omitempty"`
	Attempts []AttemptTrace `json:"attempts"`
	// AnsweredMilliseconds counts from the request's start, 0 when it has not.
	AnsweredMilliseconds int64 `json:"answered_ms,omitempty"`
	// HedgeDenial is why a hedge that was due was not sent.
	HedgeDenial decision.HedgeDenial `json:"no_hedge,omitempty"`
	Error       string               `json:"error,omitempty"`
}

// AttemptTrace is one sub-request.
type AttemptTrace struct {
	Replica string `json:"replica,omitempty"`
	// SentMilliseconds counts from the request's start.
	SentMilliseconds int64 `json:"sent_ms"`
	// Cause is why it was sent, empty for the first to its shard.
	Cause   string `json:"cause,omitempty"`
	Outcome string `json:"outcome"`
}

// forwardRun is a run of a forwarded request.
type forwardRun struct {
	*run
	request  *ForwardRequest
	criteria replica.Terms
}

// Forward passes a request on to one replica of a service, or to one of each
// shard. Errors are *failure.Error; NotRun is true only when no replica ran
// any part of it.
func (s *Service) Forward(ctx context.Context, request *ForwardRequest) (ForwardResult, error) {
	started := s.options.Now()
	if errors.Is(context.Cause(ctx), ErrShuttingDown) {
		err := failure.New(failure.Draining, "the node stops")
		s.metrics.observe(0, err)
		return ForwardResult{}, err
	}
	row, deadline := request.Route.Policy, request.timeLeft()
	if deadline <= 0 {
		err := failure.New(failure.DeadlineExceeded, "the request's time was over before it could be passed on").WithNotRun(true)
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	suspicion := s.options.Quarantine.Suspicion(request.Message)
	if suspicion.RefuseFor > 0 {
		s.options.Quarantine.Refused()
		err := failure.New(failure.Quarantined, "replicas have ended by running this request").WithRetryAfter(suspicion.RefuseFor)
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	groups := s.replicaGroups(request.Route)
	criteria := s.selectionCriteria(request.Route)
	if err := s.checkServable(request.Route, groups, criteria); err != nil {
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	target := s.targets.Of(groups[0])
	ticket, err := target.Admit(row, row.Priority, started, deadline)
	if err != nil {
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	defer ticket.Release()
	current := s.newForwardRun(request, groups, criteria, deadline, target.Loaded(started), suspicion.Evidence)
	current.execute(ctx, deadline)
	current.reportOutcome()
	answer, err := current.buildResult()
	s.recordForward(current, ticket, s.options.Now().Sub(started), err)
	return answer, err
}

// Overloaded is true while this node has lately had to refuse requests for load.
func (s *Service) Overloaded() bool { return s.targets.Loaded(s.options.Now()) }

// Statistics returns what was measured of each policy and route for some time
// back.
func (s *Service) Statistics(window time.Duration) []statistics.PolicyStatistics {
	return s.options.Statistics.Snapshot(window)
}

// groupsOf returns the replica groups that a request goes to, one for each
// shard. The first one names them all: an index has its own.
func (s *Service) replicaGroups(route *routing.Route) []string {
	if route.Scattered() {
		return route.Shards
	}
	return []string{s.splitter.Pick(route)}
}

// termsOf returns what the replicas for a route's requests are chosen by.
func (s *Service) selectionCriteria(route *routing.Route) replica.Terms {
	return replica.Terms{
		Weights:   route.Policy.Replicas,
		Usual:     s.latencies.Of(route.Name),
		LateAfter: time.Duration(defaultLateFraction * float64(route.Objective)),
		Regions:   route.Regions,
	}
}

// checkServable refuses a request at once for which too few shards have a replica that
// it may go to: what is sent to the others would be work for nothing, and the refusal
// could no longer say that nothing ran.
func (s *Service) checkServable(route *routing.Route, groups []string, criteria replica.Terms) error {
	servable, needed := s.options.Pool.Servable(groups, &criteria), max(1, route.LeastShards)
	if servable >= needed {
		return nil
	}
	return failure.New(failure.NoReplica, fmt.Sprintf("%d of %d shards have a replica, %d are needed", servable, len(groups), needed))
}

func (s *Service) newForwardRun(
	request *ForwardRequest, groups []string, criteria replica.Terms, deadline time.Duration, overloaded bool,
	prior decision.Evidence,
) *forwardRun {
	route := request.Route
	plan := decision.Plan{
		Shards: s.shardPlans(route, groups, criteria.Usual), Policy: route.Policy, Deadline: deadline,
		LeastShards: route.LeastShards, RunsOnce: !route.Repeatable, NoHedges: overloaded,
		Ends: s.crashPlan(request, prior),
	}
	if !route.Scattered() {
		plan.OfferBy = time.Duration(dispatchByFraction * float64(route.Objective))
	} else {
		plan.AnswerBy = time.Duration(answerByFraction * float64(route.Objective))
	}
	forward := &forwardRun{request: request, criteria: criteria}
	forward.run = s.newRun(plan, forward)
	forward.linger = lingerTimeout
	forward.checkQuarantined, forward.checkContested, forward.onCrash = forward.isQuarantined, forward.isContested, forward.reportCrash
	return forward
}

func (s *Service) shardPlans(route *routing.Route, groups []string, latency *replica.Usual) []decision.ShardPlan {
	expected := latency.Least()
	shards := make([]decision.ShardPlan, len(groups))
	for i, group := range groups {
		shards[i] = decision.ShardPlan{
			Index: route.Name, Shard: i, Shards: len(groups), Group: group,
			Budget: s.options.Pool.BudgetOf(group, route.Policy), Expected: expected,
		}
	}
	return shards
}

func (r *forwardRun) acquire(shard *decision.ShardPlan, canary bool, tried []*replica.Handle) replica.Acquired {
	r.criteria.Canary = canary
	acquired := r.service.options.Pool.AcquireFor(shard.Group, &r.criteria, tried)
	if acquired.Handle != nil && r.plan.AnswerBy > 0 {
		remaining := r.plan.AnswerBy - r.elapsed()
		acquired.LateAfter = hedgeDelay(acquired.LateAfter, remaining, r.criteria.LateAtMost())
	}
	return acquired
}

// hedgeAfter is the wait before a hedge: until the answer is late, or as long as
// still leaves the hedge its own late time before the answer is due, but no
// longer than half of what is left, as little is known of where it will go.
func hedgeDelay(lateAfter, remaining, hedgeLateAfter time.Duration) time.Duration {
	return max(lateAfter, min(remaining-hedgeLateAfter, remaining/2))
}

func (r *forwardRun) exchange(ctx context.Context, handle *replica.Handle, _ *decision.ShardPlan, action decision.Action) replica.SearchResult {
	scattered := r.request.Route.Scattered()
	return r.service.options.Pool.Forward(ctx, handle, r.request.Message, action.Timeout, &r.criteria, scattered)
}

// otherSnapshot is false: the shards of a route are those of one version.
func (r *forwardRun) hasAlternateSnapshot() bool { return false }

// conclude turns the run into an answer or an error.
func (r *forwardRun) buildResult() (ForwardResult, error) {
	result := ForwardResult{Attempts: r.counts.dispatched, Hedges: r.counts.hedges}
	result.Late = r.inbox.Elapsed() > r.request.Route.Objective
	if result.Late || r.core.Answered() < len(r.shards) {
		result.Trace = r.shardTraces()
	}
	if r.reason == decision.CallerGaveUp {
		return result, failure.New(failure.Canceled, "the caller gave up")
	}
	if r.reason == decision.ReplicasEnded {
		return result, failure.New(failure.Quarantined, "replicas end by running this request").WithNotRun(false)
	}
	if !r.request.Route.Scattered() {
		return r.buildPlainResult(result)
	}
	answered := r.core.Answered()
	if answered == 0 || answered < r.plan.LeastShards {
		return result, r.noAnswerError(fmt.Sprintf("%d of %d shards answered, %d are needed",
			answered, len(r.shards), max(1, r.plan.LeastShards)))
	}
	parts := make([][]byte, 0, answered)
	for i := range r.shards {
		if r.core.Status(i).Answered {
			parts = append(parts, r.shards[i].forwardReply.Body)
			result.Signatures = append(result.Signatures, r.shards[i].forwardReply.Signature)
		}
	}
	result.MissingShards = len(r.shards) - answered
	result.Records = routing.MergeTop(parts, r.request.Route.TopRecords)
	return result, nil
}

// concludePlain hands on the replica's answer, also its own failure.
func (r *forwardRun) buildPlainResult(result ForwardResult) (ForwardResult, error) {
	shard := &r.shards[0]
	switch {
	case shard.forwardReply != nil:
		result.Reply = shard.forwardReply
	case shard.errorReply != nil && r.reason != decision.DeadlineReached:
		result.Reply = shard.errorReply
	default:
		return result, r.noAnswerError("no replica answered")
	}
	return result, nil
}

// refusal is the error of a request without an answer. It says that nothing
// ran only when each attempt was proved not to have run.
func (r *forwardRun) noAnswerError(message string) *failure.Error {
	notRun := r.counts.provenNotRun == r.counts.dispatched
	switch {
	case r.counts.dispatched == 0:
		return failure.New(failure.NoReplica, message)
	case notRun:
		return failure.New(failure.BackendRefused, message)
	case r.reason == decision.DeadlineReached:
		return failure.New(failure.DeadlineExceeded, message)
	default:
		return failure.New(failure.InsufficientCoverage, message)
	}
}

// trace describes the shards that have not answered at their first attempt, or too
// late.
func (r *forwardRun) shardTraces() []ShardTrace {
	var traces []ShardTrace
	for i := range r.shards {
		shard, status, diagnosis := &r.shards[i], r.core.Status(i), r.core.Diagnosis(i)
		onTime := r.plan.AnswerBy == 0 || diagnosis.AnsweredAt <= r.plan.AnswerBy
		if status.Answered && len(shard.attempts) == 1 && onTime {
			continue
		}
		trace := ShardTrace{
			Group: r.plan.Shards[i].Group, Reason: string(status.Reason),
			AnsweredMilliseconds: diagnosis.AnsweredAt.Milliseconds(), HedgeDenial: diagnosis.NoHedge,
		}
		if shard.err != nil {
			trace.Error = shard.err.Error()
		}
		for _, sent := range shard.attempts {
			trace.Attempts = append(trace.Attempts, sent.trace())
		}
		traces = append(traces, trace)
	}
	return traces
}

func (a *attempt) trace() AttemptTrace {
	trace := AttemptTrace{SentMilliseconds: a.sentAt.Milliseconds(), Outcome: a.outcome}
	if a.cause != decision.CauseFirst {
		trace.Cause = a.cause.String()
	}
	if a.handle != nil {
		trace.Replica = a.handle.Address()
	}
	return trace
}

func (s *Service) recordForward(current *forwardRun, ticket admission.Ticket, took time.Duration, err error) {
	route := current.request.Route
	s.options.Statistics.Record(route.Name, statistics.Sample{
		Group: route.Host, Latency: took, Failed: err != nil,
		Asked: len(current.shards), Answered: current.core.Answered(),
		Attempts: current.counts.dispatched, Hedges: current.counts.hedges, Cancelled: current.counts.cancelled,
	})
	s.metrics.observe(took, err)
	var failed *failure.Error
	if errors.As(err, &failed) && failed.Kind == failure.Canceled {
		return
	}
	ticket.Ended(s.options.Now(), current.forwardOutcome(took))
}

// endedWith is what admission learns. A request is strained when the faster
// half of its shards answered late, or too few were asked in time. A few shards
// that are slow or out of reach are no strain: the answer does without them.
func (r *forwardRun) forwardOutcome(took time.Duration) admission.Ended {
	outcome := r.admissionOutcome(took)
	objective := r.request.Route.Objective
	halfAnsweredAt := r.halfAnsweredAt
	if halfAnsweredAt == 0 {
		halfAnsweredAt = took
	}
	sentInTime := r.countSentBy(time.Duration(firstAttemptsFraction * float64(objective)))
	outcome.Objective = objective
	outcome.Strained = sentInTime < max(1, r.plan.LeastShards) || halfAnsweredAt > time.Duration(halfAnsweredFraction*float64(objective))
	return outcome
}

// sentBy counts the shards whose first attempt was sent by some time.
func (r *forwardRun) countSentBy(limit time.Duration) int {
	sent := 0
	for i := range r.shards {
		attempts := r.shards[i].attempts
		if len(attempts) > 0 && attempts[0].handle != nil && attempts[0].sentAt <= limit {
			sent++
		}
	}
	return sent
}
