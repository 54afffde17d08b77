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
	answerShare = 0.88
	// unknownLateShare of the objective is how long an answer is waited for
	// before a hedge, while the usual times are not known.
	unknownLateShare = 0.25
	// offerShare of the objective is the time by which a plain request must have
	// been sent to a replica.
	offerShare = 0.25
	// delayShare of the objective is how long sending all first attempts may
	// take: beyond it, this node or the replicas have too much to do.
	delayShare = 0.125
	// strainShare of the objective is what the faster half of the shards takes at
	// most while the replicas have no more to do than they bear.
	strainShare = 0.5
	// lingerTime is for how long an attempt that is not needed any more may
	// still answer. Replicas must have stopped half a second after a caller
	// has left.
	lingerTime = 300 * time.Millisecond
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
func (f *ForwardRequest) deadline() time.Duration {
	deadline := time.Duration(f.Route.Policy.Wait.Timeout)
	if f.CallerTimeout > 0 {
		deadline = min(deadline, f.CallerTimeout)
	}
	return deadline - f.Elapsed
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
	forwarding *ForwardRequest
	terms      replica.SelectionCriteria
}

// Forward passes a request on to one replica of a service, or to one of each
// shard. Errors are *failure.Error; NotRun is true only when no replica ran
// any part of it.
func (s *Service) Forward(ctx context.Context, forwarding *ForwardRequest) (ForwardResult, error) {
	started := s.options.Now()
	if errors.Is(context.Cause(ctx), ErrShuttingDown) {
		err := failure.New(failure.Draining, "the node stops")
		s.metrics.observe(0, err)
		return ForwardResult{}, err
	}
	row, deadline := forwarding.Route.Policy, forwarding.deadline()
	if deadline <= 0 {
		err := failure.New(failure.DeadlineExceeded, "the request's time was over before it could be passed on").WithNotRun(true)
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	suspicion := s.options.Quarantine.Lookup(forwarding.Message)
	if suspicion.RefuseFor > 0 {
		s.options.Quarantine.CountRefused()
		err := failure.New(failure.Quarantined, "replicas have ended by running this request").WithRetryAfter(suspicion.RefuseFor)
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	groups := s.groupsOf(forwarding.Route)
	terms := s.termsOf(forwarding.Route)
	if err := s.checkServable(forwarding.Route, groups, terms); err != nil {
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	target := s.targets.ForTarget(groups[0])
	ticket, err := target.Admit(row, row.Priority, started, deadline)
	if err != nil {
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	defer ticket.Release()
	current := s.newForwardRun(forwarding, groups, terms, deadline, target.Overloaded(started), suspicion.Evidence)
	current.execute(ctx, deadline)
	current.concludeEnds()
	answer, err := current.conclude()
	s.recordForward(current, ticket, s.options.Now().Sub(started), err)
	return answer, err
}

// Overloaded is true while this node has lately had to refuse requests for load.
func (s *Service) Overloaded() bool { return s.targets.Overloaded(s.options.Now()) }

// Statistics returns what was measured of each policy and route for some time
// back.
func (s *Service) Statistics(last time.Duration) []statistics.PolicyStatistics {
	return s.options.Statistics.Snapshot(last)
}

// groupsOf returns the replica groups that a request goes to, one for each
// shard. The first one names them all: an index has its own.
func (s *Service) groupsOf(route *routing.Route) []string {
	if route.Scattered() {
		return route.Shards
	}
	return []string{s.splitter.Pick(route)}
}

// termsOf returns what the replicas for a route's requests are chosen by.
func (s *Service) termsOf(route *routing.Route) replica.SelectionCriteria {
	return replica.SelectionCriteria{
		Weights:   route.Policy.Replicas,
		Baseline:  s.usuals.Of(route.Name),
		LateAfter: time.Duration(unknownLateShare * float64(route.Objective)),
		Regions:   route.Regions,
	}
}

// checkServable refuses a request at once for which too few shards have a replica that
// it may go to: what is sent to the others would be work for nothing, and the refusal
// could no longer say that nothing ran.
func (s *Service) checkServable(route *routing.Route, groups []string, terms replica.SelectionCriteria) error {
	servable, needed := s.options.Pool.CountServableGroups(groups, &terms), max(1, route.MinShards)
	if servable >= needed {
		return nil
	}
	return failure.New(failure.NoReplica, fmt.Sprintf("%d of %d shards have a replica, %d are needed", servable, len(groups), needed))
}

func (s *Service) newForwardRun(
	forwarding *ForwardRequest, groups []string, terms replica.SelectionCriteria, deadline time.Duration, overloaded bool,
	known decision.CrashEvidence,
) *forwardRun {
	route := forwarding.Route
	plan := decision.Plan{
		Shards: s.forwardShards(route, groups, terms.Baseline), Policy: route.Policy, Deadline: deadline,
		MinShards: route.MinShards, AtMostOnce: !route.Idempotent, NoHedges: overloaded,
		CrashDetection: s.endsPlan(forwarding, known),
	}
	if !route.Scattered() {
		plan.DispatchDeadline = time.Duration(offerShare * float64(route.Objective))
	} else {
		plan.SoftDeadline = time.Duration(answerShare * float64(route.Objective))
	}
	forward := &forwardRun{forwarding: forwarding, terms: terms}
	forward.run = s.newRun(plan, forward)
	forward.linger = lingerTime
	forward.quarantined, forward.contested, forward.onEnded = forward.isQuarantined, forward.isContested, forward.noteEnded
	return forward
}

func (s *Service) forwardShards(route *routing.Route, groups []string, usual *replica.LatencyBaseline) []decision.ShardPlan {
	expected := usual.NearestMedian()
	shards := make([]decision.ShardPlan, len(groups))
	for i, group := range groups {
		shards[i] = decision.ShardPlan{
			Index: route.Name, Shard: i, ShardCount: len(groups), Group: group,
			Budget: s.options.Pool.GroupRetryBudget(group, route.Policy), ExpectedLatency: expected,
		}
	}
	return shards
}

func (r *forwardRun) acquire(shard *decision.ShardPlan, canary bool, tried []*replica.Handle) replica.AcquireResult {
	r.terms.Canary = canary
	acquired := r.service.options.Pool.AcquireForMessage(shard.Group, &r.terms, tried)
	if acquired.Handle != nil && r.plan.SoftDeadline > 0 {
		left := r.plan.SoftDeadline - r.elapsed()
		acquired.LateAfter = hedgeAfter(acquired.LateAfter, left, r.terms.MaxLateAfter())
	}
	return acquired
}

// hedgeAfter is the wait before a hedge: until the answer is late, or as long as
// still leaves the hedge its own late time before the answer is due, but no
// longer than half of what is left, as little is known of where it will go.
func hedgeAfter(late, left, lateElsewhere time.Duration) time.Duration {
	return max(late, min(left-lateElsewhere, left/2))
}

func (r *forwardRun) exchange(ctx context.Context, handle *replica.Handle, _ *decision.ShardPlan, action decision.Action) replica.SubrequestResult {
	scattered := r.forwarding.Route.Scattered()
	return r.service.options.Pool.Forward(ctx, handle, r.forwarding.Message, action.Timeout, &r.terms, scattered)
}

// otherSnapshot is false: the shards of a route are those of one version.
func (r *forwardRun) otherSnapshot() bool { return false }

// conclude turns the run into an answer or an error.
func (r *forwardRun) conclude() (ForwardResult, error) {
	answer := ForwardResult{Attempts: r.counts.dispatched, Hedges: r.counts.hedges}
	answer.Late = r.inbox.Elapsed() > r.forwarding.Route.Objective
	if answer.Late || r.core.Answered() < len(r.shards) {
		answer.Trace = r.trace()
	}
	if r.reason == decision.CallerCanceled {
		return answer, failure.New(failure.Canceled, "the caller gave up")
	}
	if r.reason == decision.ReplicasCrashed {
		return answer, failure.New(failure.Quarantined, "replicas end by running this request").WithNotRun(false)
	}
	if !r.forwarding.Route.Scattered() {
		return r.concludePlain(answer)
	}
	answered := r.core.Answered()
	if answered == 0 || answered < r.plan.MinShards {
		return answer, r.refusal(fmt.Sprintf("%d of %d shards answered, %d are needed",
			answered, len(r.shards), max(1, r.plan.MinShards)))
	}
	parts := make([][]byte, 0, answered)
	for i := range r.shards {
		if r.core.Status(i).Answered {
			parts = append(parts, r.shards[i].part.Body)
			answer.Signatures = append(answer.Signatures, r.shards[i].part.Signature)
		}
	}
	answer.MissingShards = len(r.shards) - answered
	answer.Records = routing.MergeTop(parts, r.forwarding.Route.TopRecords)
	return answer, nil
}

// concludePlain hands on the replica's answer, also its own failure.
func (r *forwardRun) concludePlain(answer ForwardResult) (ForwardResult, error) {
	shard := &r.shards[0]
	switch {
	case shard.part != nil:
		answer.Reply = shard.part
	case shard.refusal != nil && r.reason != decision.DeadlineReached:
		answer.Reply = shard.refusal
	default:
		return answer, r.refusal("no replica answered")
	}
	return answer, nil
}

// refusal is the error of a request without an answer. It says that nothing
// ran only when each attempt was proved not to have run.
func (r *forwardRun) refusal(what string) *failure.Error {
	notRun := r.counts.proven == r.counts.dispatched
	switch {
	case r.counts.dispatched == 0:
		return failure.New(failure.NoReplica, what)
	case notRun:
		return failure.New(failure.BackendRefused, what)
	case r.reason == decision.DeadlineReached:
		return failure.New(failure.DeadlineExceeded, what)
	default:
		return failure.New(failure.InsufficientCoverage, what)
	}
}

// trace describes the shards that have not answered at their first attempt, or too
// late.
func (r *forwardRun) trace() []ShardTrace {
	var traced []ShardTrace
	for i := range r.shards {
		shard, status, diagnosis := &r.shards[i], r.core.Status(i), r.core.Diagnosis(i)
		inTime := r.plan.SoftDeadline == 0 || diagnosis.AnsweredAt <= r.plan.SoftDeadline
		if status.Answered && len(shard.attempts) == 1 && inTime {
			continue
		}
		described := ShardTrace{
			Group: r.plan.Shards[i].Group, Reason: string(status.Reason),
			AnsweredMilliseconds: diagnosis.AnsweredAt.Milliseconds(), HedgeDenial: diagnosis.HedgeDenial,
		}
		if shard.err != nil {
			described.Error = shard.err.Error()
		}
		for _, tried := range shard.attempts {
			described.Attempts = append(described.Attempts, tried.describe())
		}
		traced = append(traced, described)
	}
	return traced
}

func (a *attempt) describe() AttemptTrace {
	described := AttemptTrace{SentMilliseconds: a.sent.Milliseconds(), Outcome: a.ended}
	if a.cause != decision.CauseFirst {
		described.Cause = a.cause.String()
	}
	if a.handle != nil {
		described.Replica = a.handle.Address()
	}
	return described
}

func (s *Service) recordForward(current *forwardRun, ticket admission.Ticket, took time.Duration, err error) {
	route := current.forwarding.Route
	s.options.Statistics.Record(route.Name, statistics.Sample{
		Group: route.Host, Latency: took, Failed: err != nil,
		Asked: len(current.shards), Answered: current.core.Answered(),
		Attempts: current.counts.dispatched, Hedges: current.counts.hedges, Cancelled: current.counts.cancelled,
	})
	s.metrics.observe(took, err)
	var known *failure.Error
	if errors.As(err, &known) && known.Kind == failure.Canceled {
		return
	}
	ticket.Observe(s.options.Now(), current.endedWith(took))
}

// endedWith is what admission learns. A request is strained when the faster
// half of its shards answered late, or too few were asked in time. A few shards
// that are slow or out of reach are no strain: the answer does without them.
func (r *forwardRun) endedWith(took time.Duration) admission.Outcome {
	ended := r.ended(took)
	objective := r.forwarding.Route.Objective
	half := r.halfAt
	if half == 0 {
		half = took
	}
	onTime := r.sentBy(time.Duration(delayShare * float64(objective)))
	ended.Objective = objective
	ended.Congested = onTime < max(1, r.plan.MinShards) || half > time.Duration(strainShare*float64(objective))
	return ended
}

// sentBy counts the shards whose first attempt was sent by some time.
func (r *forwardRun) sentBy(at time.Duration) int {
	sent := 0
	for i := range r.shards {
		attempts := r.shards[i].attempts
		if len(attempts) > 0 && attempts[0].handle != nil && attempts[0].sent <= at {
			sent++
		}
	}
	return sent
}
