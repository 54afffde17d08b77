package query

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/upstream"
)

// Parameters of forwarded requests. Fractions are of the route's objective.
const (
	// answerByFraction is the time available to this node; the rest is for the
	// network between the caller and the node.
	answerByFraction = 0.88
	// defaultLateFraction is the time after which an attempt is late as long as no
	// latency has been measured.
	defaultLateFraction = 0.25
	// dispatchByFraction is the time within which a plain request must be sent to a
	// replica.
	dispatchByFraction = 0.25
	// firstAttemptsFraction is the time within which all first attempts should be
	// sent; longer indicates that this node or the replicas are overloaded.
	firstAttemptsFraction = 0.125
	// halfAnsweredFraction is the time within which half of the shards should
	// answer; longer indicates that the replicas are overloaded.
	halfAnsweredFraction = 0.5
	// lingerTimeout is how long an attempt that is no longer needed may still
	// answer. Replicas must stop within half a second after a caller disconnects.
	lingerTimeout = 300 * time.Millisecond
)

// ForwardRequest is a request that is forwarded unchanged.
type ForwardRequest struct {
	Message *upstream.Request
	// Route is pinned for the whole request.
	Route *routing.Route
	// Tenant is the tenant that the request belongs to; nil if there is none.
	Tenant *routing.Tenant
	// Confirm, if not nil, is called after admission and before the first sub-request is sent.
	// If the routing table has changed since, it sets Tenant and the tenant of Message anew; it
	// returns an error, which guarantees that nothing ran, if the request may not be sent.
	Confirm func(ctx context.Context) error
	// CallerTimeout is how long the caller waits, from the request's arrival; 0 means
	// unspecified.
	CallerTimeout time.Duration
	// Elapsed is the time already spent since the request's arrival.
	Elapsed time.Duration
}

// timeLeft returns the time left until the earlier of the caller's and the route's
// timeout.
func (f *ForwardRequest) timeLeft() time.Duration {
	timeout := time.Duration(f.Route.Policy.Wait.Timeout)
	if f.CallerTimeout > 0 {
		timeout = min(timeout, f.CallerTimeout)
	}
	return timeout - f.Elapsed
}

// ForwardResult is the result of a ForwardRequest.
type ForwardResult struct {
	// Reply is a replica's response; nil for a scattered request.
	Reply *upstream.Response
	// Records holds the merged records of a scattered request, Signatures those of the
	// parts included, and MissingShards the number of shards left out.
	Records       []byte
	Signatures    []string
	MissingShards int
	// Attempts counts the sub-requests sent, including the Hedges.
	Attempts, Hedges int
	// Late is true if the answer took longer than the route's objective.
	Late bool
	// Trace describes, for a late, partial or failed answer, the attempts at each shard
	// that did not answer its first attempt in time.
	Trace []ShardTrace
}

// ShardTrace describes a shard in logs. Reason is empty if it answered.
type ShardTrace struct {
	Group    string         `json:"group"`
	Reason   string         `json:"reason,omitempty"`
	Attempts []AttemptTrace `json:"attempts"`
	// AnsweredMilliseconds is relative to the request's start, 0 if unanswered.
	AnsweredMilliseconds int64 `json:"answered_ms,omitempty"`
	// HedgeDenial is why a due hedge was not sent.
	HedgeDenial decision.HedgeDenial `json:"no_hedge,omitempty"`
	Error       string               `json:"error,omitempty"`
}

// AttemptTrace describes one sub-request in logs.
type AttemptTrace struct {
	Replica string `json:"replica,omitempty"`
	// SentMilliseconds is relative to the request's start.
	SentMilliseconds int64 `json:"sent_ms"`
	// Cause is why it was sent, empty for the first attempt at its shard.
	Cause   string `json:"cause,omitempty"`
	Outcome string `json:"outcome"`
}

// forwardRun executes a forwarded request.
type forwardRun struct {
	*run
	request  *ForwardRequest
	criteria replica.SelectionCriteria
	// waited is the time between the request's arrival here and the start of the run.
	waited time.Duration
	// pausedAtStart is the process's total paused time when the request arrived here.
	pausedAtStart time.Duration
}

// Forward sends a request to one replica of a service, or to one replica of each shard.
// Errors are *failure.Error; NotRun is true only if no replica executed any part of the
// request.
func (s *Service) Forward(ctx context.Context, request *ForwardRequest) (ForwardResult, error) {
	paused := s.pausedTime()
	started := s.options.Now()
	if errors.Is(context.Cause(ctx), ErrShuttingDown) {
		err := failure.New(failure.Draining, "node is shutting down")
		s.metrics.observe(0, err)
		return ForwardResult{}, err
	}
	row, deadline := request.Route.Policy, request.timeLeft()
	if deadline <= 0 {
		err := failure.New(failure.DeadlineExceeded, "deadline exceeded before the request could be forwarded").WithNotRun(true)
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	suspicion := s.options.Quarantine.Lookup(request.Message)
	if suspicion.RefuseFor > 0 {
		s.options.Quarantine.CountRefused()
		err := failure.New(failure.Quarantined, "request is quarantined for crashing replicas").WithRetryAfter(suspicion.RefuseFor)
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	groups := s.replicaGroups(request.Route)
	criteria := s.selectionCriteria(request.Route)
	if err := s.restrictToTenant(request, groups, &criteria); err != nil {
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	controller := s.controllers.ForTarget(groups[0])
	ticket, err := controller.AdmitTenant(row, row.Priority, admissionTenant(request.Tenant), started, deadline)
	if err != nil {
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	defer func() { ticket.Release(s.options.Now()) }()
	var target *gate
	if request.Route.Scattered() {
		if target, err = s.admitWhole(ctx, request, groups, &criteria, controller); err != nil {
			s.metrics.observe(s.options.Now().Sub(started), err)
			return ForwardResult{}, err
		}
	}
	if err := s.confirmTenant(ctx, request, groups, &criteria); err != nil {
		if target != nil {
			target.started()
		}
		s.metrics.observe(s.options.Now().Sub(started), err)
		return ForwardResult{}, err
	}
	waited := s.options.Now().Sub(started)
	deadline -= waited
	current := s.newForwardRun(request, groups, criteria, deadline, waited, controller.Overloaded(started), suspicion.Evidence)
	current.pausedAtStart = paused
	if target != nil {
		current.onStarted, current.onResult = sync.OnceFunc(target.started), target.wake
		defer current.onStarted()
	}
	current.execute(ctx, deadline)
	current.reportOutcome()
	answer, err := current.buildResult()
	s.recordForward(current, ticket, s.options.Now().Sub(started), err)
	return answer, err
}

// admissionTenant returns a tenant as admission control identifies it.
func admissionTenant(tenant *routing.Tenant) admission.Tenant {
	if tenant == nil {
		return admission.NoTenant
	}
	return admission.Tenant{Name: tenant.Name, Rank: tenant.Rank}
}

// Overloaded reports whether this node has recently rejected requests because of load.
func (s *Service) Overloaded() bool { return s.controllers.Overloaded(s.options.Now()) }

// Statistics returns the statistics of each policy and route over the last window.
func (s *Service) Statistics(window time.Duration) []statistics.PolicyStatistics {
	return s.options.Statistics.Snapshot(window)
}

// replicaGroups returns the replica groups that a request goes to, one for each shard.
// The first one identifies them all, as no two indexes share a group.
func (s *Service) replicaGroups(route *routing.Route) []string {
	if route.Scattered() {
		return route.Shards
	}
	return []string{s.splitter.Pick(route)}
}

// selectionCriteria returns the criteria for choosing replicas for a route's requests.
func (s *Service) selectionCriteria(route *routing.Route) replica.SelectionCriteria {
	return replica.SelectionCriteria{
		Weights:   route.Policy.Replicas,
		Baseline:  s.baselines.Of(route.Name),
		LateAfter: time.Duration(defaultLateFraction * float64(route.Objective)),
		Regions:   route.Regions,
	}
}

// restrictToTenant restricts criteria to the regions that the request's route and tenant allow. It
// returns an error if too few shards have a replica there.
func (s *Service) restrictToTenant(request *ForwardRequest, groups []string, criteria *replica.SelectionCriteria) error {
	regions, ok := request.Route.RegionsFor(request.Tenant)
	if !ok {
		return failure.New(failure.NoReplica, "the regions of the route and of the tenant have none in common")
	}
	criteria.Regions = regions
	return s.checkServable(request.Route, groups, *criteria)
}

// confirmTenant confirms the tenant of a request that has been admitted, and restricts criteria
// anew if it has changed.
func (s *Service) confirmTenant(ctx context.Context, request *ForwardRequest, groups []string, criteria *replica.SelectionCriteria) error {
	if request.Confirm == nil {
		return nil
	}
	tenant := request.Tenant
	if err := request.Confirm(ctx); err != nil || request.Tenant == tenant {
		return err
	}
	return s.restrictToTenant(request, groups, criteria)
}

// checkServable rejects a request for which too few shards have an eligible replica.
// Sending it to the others would waste their work, and the rejection could no longer
// state that nothing was executed.
func (s *Service) checkServable(route *routing.Route, groups []string, criteria replica.SelectionCriteria) error {
	servable, needed := s.options.Pool.CountServableGroups(groups, &criteria), max(1, route.MinShards)
	if servable >= needed {
		return nil
	}
	return failure.New(failure.NoReplica, fmt.Sprintf("%d of %d shards have an eligible replica, %d are needed", servable, len(groups), needed))
}

func (s *Service) newForwardRun(
	request *ForwardRequest, groups []string, criteria replica.SelectionCriteria, deadline, waited time.Duration, overloaded bool,
	prior decision.CrashEvidence,
) *forwardRun {
	route := request.Route
	plan := decision.Plan{
		Shards: s.shardPlans(route, groups, criteria.Baseline), Policy: route.Policy, Deadline: deadline,
		MinShards: route.MinShards, AtMostOnce: !route.Idempotent, NoHedges: overloaded,
		CrashDetection: s.crashPlan(request, prior),
	}
	if !route.Scattered() {
		plan.DispatchDeadline = time.Duration(dispatchByFraction * float64(route.Objective))
	} else {
		plan.SoftDeadline = max(time.Millisecond, time.Duration(answerByFraction*float64(route.Objective))-waited)
	}
	forward := &forwardRun{request: request, criteria: criteria, waited: waited}
	forward.run = s.newRun(plan, forward)
	forward.linger = lingerTimeout
	forward.checkQuarantined, forward.checkDisputed, forward.onCrash = forward.isQuarantined, forward.isDisputed, forward.reportCrash
	return forward
}

func (s *Service) shardPlans(route *routing.Route, groups []string, baseline *replica.LatencyBaseline) []decision.ShardPlan {
	expected := baseline.NearestMedian()
	shards := make([]decision.ShardPlan, len(groups))
	for i, group := range groups {
		shards[i] = decision.ShardPlan{
			Index: route.Name, Shard: i, ShardCount: len(groups), Group: group,
			Budget: s.options.Pool.GroupRetryBudget(group, route.Policy), ExpectedLatency: expected,
		}
	}
	return shards
}

func (r *forwardRun) acquire(shard *decision.ShardPlan, action decision.Action, tried []*replica.Handle) replica.AcquireResult {
	r.criteria.Canary, r.criteria.Idle = action.Canary, action.Idle
	acquired := r.service.options.Pool.AcquireForMessage(shard.Group, &r.criteria, tried)
	if acquired.Handle != nil && r.plan.SoftDeadline > 0 {
		remaining := r.plan.SoftDeadline - r.elapsed()
		acquired.LateAfter = hedgeDelay(acquired.LateAfter, remaining, r.criteria.MaxLateAfter())
	}
	return acquired
}

// hedgeDelay returns the delay before a hedge. A hedge is sent once the first attempt is
// late, or later if that still leaves hedgeLateAfter for the hedge to answer. It is not
// postponed past half of the remaining time, as its replica is not known yet.
func hedgeDelay(lateAfter, remaining, hedgeLateAfter time.Duration) time.Duration {
	return max(lateAfter, min(remaining-hedgeLateAfter, remaining/2))
}

func (r *forwardRun) exchange(ctx context.Context, handle *replica.Handle, _ *decision.ShardPlan, action decision.Action) replica.SubrequestResult {
	if action.Canary {
		defer handle.EndCanary()
	}
	scattered := r.request.Route.Scattered()
	return r.service.options.Pool.Forward(ctx, handle, r.request.Message, action.Timeout, &r.criteria, scattered)
}

// hasAlternateSnapshot is always false: the shards of a route have one version.
func (r *forwardRun) hasAlternateSnapshot() bool { return false }

// buildResult turns the run into a result or an error.
func (r *forwardRun) buildResult() (ForwardResult, error) {
	result := ForwardResult{Attempts: r.counts.dispatched, Hedges: r.counts.hedges}
	result.Late = r.waited+r.inbox.Elapsed() > r.request.Route.Objective
	if result.Late || r.core.Answered() < len(r.shards) {
		result.Trace = r.shardTraces()
	}
	if r.reason == decision.CallerCanceled {
		return result, failure.New(failure.Canceled, "request canceled by the caller")
	}
	if r.reason == decision.ReplicasCrashed {
		return result, failure.New(failure.Quarantined, "request crashes the replicas executing it").WithNotRun(false)
	}
	if !r.request.Route.Scattered() {
		return r.buildPlainResult(result)
	}
	answered := r.core.Answered()
	if answered == 0 || answered < r.plan.MinShards {
		return result, r.noAnswerError(fmt.Sprintf("%d of %d shards answered, %d are needed",
			answered, len(r.shards), max(1, r.plan.MinShards)))
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

// buildPlainResult returns the replica's response, including an error response.
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

// noAnswerError returns the error of an unanswered request. It states that nothing was
// executed only if that is proven for each attempt.
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

// shardTraces describes the shards that did not answer their first attempt in time.
func (r *forwardRun) shardTraces() []ShardTrace {
	var traces []ShardTrace
	for i := range r.shards {
		shard, status, diagnosis := &r.shards[i], r.core.Status(i), r.core.Diagnosis(i)
		onTime := r.plan.SoftDeadline == 0 || diagnosis.AnsweredAt <= r.plan.SoftDeadline
		if status.Answered && len(shard.attempts) == 1 && onTime {
			continue
		}
		trace := ShardTrace{
			Group: r.plan.Shards[i].Group, Reason: string(status.Reason),
			AnsweredMilliseconds: diagnosis.AnsweredAt.Milliseconds(), HedgeDenial: diagnosis.HedgeDenial,
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
		Attempts: current.counts.dispatched, Hedges: current.counts.hedges, Cancelled: current.counts.canceled,
	})
	s.metrics.observe(took, err)
	var failed *failure.Error
	if errors.As(err, &failed) && failed.Kind == failure.Canceled {
		return
	}
	outcome := current.forwardOutcome(took)
	outcome.Paused = s.pausedTime() - current.pausedAtStart
	ticket.Observe(s.options.Now(), outcome)
}

// forwardOutcome returns what the run reports to admission control. A request is congested
// if half of its shards answered late, or too few first attempts were sent in time. A few
// slow or unreachable shards are no sign of overload, as the answer does without them.
func (r *forwardRun) forwardOutcome(took time.Duration) admission.Outcome {
	outcome := r.admissionOutcome(took)
	objective := r.request.Route.Objective
	halfAnsweredAt := r.halfAnsweredAt
	if halfAnsweredAt == 0 {
		halfAnsweredAt = took
	}
	sentInTime := r.countSentBy(time.Duration(firstAttemptsFraction * float64(objective)))
	outcome.Objective = objective
	outcome.Congested = sentInTime < max(1, r.plan.MinShards) || halfAnsweredAt > time.Duration(halfAnsweredFraction*float64(objective))
	return outcome
}

// countSentBy counts the shards whose first attempt was sent within limit of the start.
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
