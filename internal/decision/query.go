// Package decision implements the scheduling logic of a query as a pure state
// machine: which shards and replicas to query, when to hedge or retry, and when
// the answer is complete enough. It performs no I/O, reads no clock, starts no
// goroutines and uses no global randomness; the caller feeds it events and
// carries out the actions that it returns.
package decision

import (
	"math"
	"math/bits"
	"time"

	"github.com/doorpond/doorpond/client"
)

// maxAttempts is the maximum number of attempts per shard, limited by the size
// of the in-flight bit set.
const maxAttempts = 16

type shardState struct {
	// sent numbers the attempts. attempts counts those that may have reached a
	// replica; the policy limits it.
	sent     int
	attempts int
	// inFlight has a bit set for each attempt in flight.
	inFlight uint16
	// nextAt is when the next hedge or retry is due. nextDelay is the delay until
	// it is due again if the budget denies it then.
	nextAt    time.Duration
	nextDelay time.Duration
	// postponed is true while no attempt is in flight and the next one is due at
	// nextAt.
	postponed bool
	// cause is the cause of the latest attempt, or of the next one while postponed.
	cause Cause
	// unsent counts the attempts that reached no replica, connectFailures the
	// latest consecutive ones that could not connect.
	unsent          int
	connectFailures int
	// suspended is true while the shard waits for the outcome of a canary.
	// canaries has a bit set for each attempt sent in canary mode.
	suspended bool
	canaries  uint16
	// canaryDeclined is true if no replica could take a canary in this round.
	canaryDeclined  bool
	settled         bool
	hedgingDisabled bool
	status          ShardStatus
	diagnosis       ShardDiagnosis
}

// Query is the state machine of one query. It is not safe for concurrent use.
type Query struct {
	plan     Plan
	shards   []shardState
	actions  []Action
	answered int
	settled  int
	target   int
	graceEnd time.Duration
	// softEnd is Plan.SoftDeadline, postponed after pauses.
	softEnd time.Duration
	timerAt time.Duration
	// resultsReady is true while further results are ready.
	resultsReady bool
	// snapshotLost is true once a shard has settled because its replicas do not
	// hold the pinned snapshot.
	snapshotLost bool
	// otherSnapshot is true when the query could be restarted on another snapshot.
	otherSnapshot bool
	finished      bool
	crashState
}

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// New returns the state machine for a plan.
func New(plan Plan) *Query {
	count := len(plan.Shards)
	return &Query{
		plan:       plan,
		shards:     make([]shardState, count),
		actions:    make([]Action, 0, count+2),
		target:     int(math.Ceil(plan.Policy.Completeness.Target * float64(count))),
		graceEnd:   never,
		softEnd:    plan.SoftDeadline,
		timerAt:    never,
		crashState: crashState{canaryShard: noCanary, canaryRetryAt: never, idleWaitEnd: never, abortAt: never},
	}
}

// Step processes one event and returns the actions to carry out. now is the
// time since the query's start. The returned slice is valid until the next call.
func (q *Query) Step(now time.Duration, event Event) []Action {
	q.actions = q.actions[:0]
	q.resultsReady = event.ResultsReady
	if q.finished {
		return nil
	}
	switch event.Kind {
	case Started:
		q.start(now)
	case AttemptCompleted:
		q.attemptCompleted(now, event)
	case TimerFired:
		q.timerAt = never
		if !q.expired(now) {
			q.sendDue(now)
		}
	case Canceled:
		q.finish(CallerCanceled, client.MissingTimeout)
	case Interrupted:
		q.finish(DeadlineReached, client.MissingTimeout)
	case Dispatched:
		q.dispatched(now, event)
	case EvidenceDisputed:
		q.evidenceDisputed()
	}
	if !q.expired(now) {
		q.sendNextCanary(now)
	}
	q.finishOrSetTimer(now)
	return q.actions
}

// Resume postpones the soft deadline if it has passed while the process was paused. Replies
// that arrived during the pause are about to be read, and sub-requests may have been sent late.
// now is the end of the pause; wait is the time left to them.
func (q *Query) Resume(now, pause, wait time.Duration) {
	if q.plan.SoftDeadline > 0 && now >= q.softEnd && now-pause < q.softEnd {
		q.softEnd = now + wait
	}
}

// Status returns the status of the shard at an index of Plan.Shards.
func (q *Query) Status(shard int) ShardStatus { return q.shards[shard].status }

// Diagnosis returns the latency diagnosis of the shard at an index of
// Plan.Shards.
func (q *Query) Diagnosis(shard int) ShardDiagnosis { return q.shards[shard].diagnosis }

// Answered returns the number of shards that have answered.
func (q *Query) Answered() int { return q.answered }

func (q *Query) start(now time.Duration) {
	for i := range q.plan.Shards {
		if budget := q.plan.Shards[i].Budget; budget != nil {
			budget.Deposit()
		}
	}
	if q.plan.CrashDetection.Enabled && q.plan.CrashDetection.Prior.Suspicious() {
		q.startWithCanary(now)
		return
	}
	for i := range q.plan.Shards {
		q.send(now, i, CauseFirst)
	}
}

func (q *Query) send(now time.Duration, shard int, cause Cause) {
	state, plan := &q.shards[shard], &q.plan.Shards[shard]
	attempt := state.sent
	state.sent++
	state.attempts++
	state.cause = cause
	state.inFlight |= 1 << attempt
	state.nextAt = never
	if q.canaryMode {
		state.canaries |= 1 << attempt
		q.canaryShard = shard
	}
	if plan.HedgeDelay > 0 && q.canHedge(state) {
		state.nextAt = now + plan.HedgeDelay
		state.nextDelay = plan.HedgeDelay
	}
	q.actions = append(q.actions, Action{
		Kind: Send, Shard: shard, Attempt: attempt, Cause: cause,
		Canary: q.canaryMode, Idle: q.canaryMode && q.canaryRound == idleReplicas, Timeout: q.plan.Deadline - now,
	})
}

func (q *Query) attemptCompleted(now time.Duration, event Event) {
	state := &q.shards[event.Shard]
	bit := uint16(1) << event.Attempt
	if state.settled || state.inFlight&bit == 0 {
		return
	}
	state.inFlight &^= bit
	state.countConnectFailure(event)
	if event.Outcome == NoReplica && event.Busy && q.canaryMode && state.inFlight == 0 {
		q.declineCanary(state, event.Shard)
		return
	}
	if event.Outcome == NoReplica && event.Busy && q.postpone(now, state, event.Shard) {
		return
	}
	if q.canaryMode && state.canaries&bit != 0 {
		q.startCanaryRound(idleReplicas)
		q.idleWaitEnd = never
	}
	if event.Outcome == Crashed && q.detectsCrashes() {
		q.replicaCrashed(now, event)
		return
	}
	if event.Outcome == Success || event.Survived {
		q.replicaSurvived(now)
	}
	if event.Outcome == Success {
		q.succeed(now, event.Shard)
		return
	}
	if event.Outcome.NotSent() {
		state.attempts--
	}
	if event.Outcome != NoReplica && q.canaryMode && (q.canaryInFlight() || q.AbortPending()) {
		state.status.Reason = mergeReason(state.status.Reason, event.Outcome)
		state.suspend() // retried once the canary has completed or the abort is off
		return
	}
	if event.Outcome.NotSent() {
		if q.scheduleRetry(now, event) {
			return
		}
	}
	q.otherSnapshot = q.otherSnapshot || event.OtherSnapshot
	state.status.Reason = mergeReason(state.status.Reason, event.Outcome)
	if event.Outcome == NoReplica {
		state.diagnosis.HedgeDenial = DeniedNoReplica
		state.hedgingDisabled = true
		state.nextAt = never
	}
	if state.inFlight != 0 {
		return
	}
	if event.Outcome != NoReplica && q.acquireRetry(now, event.Shard, event.Outcome) {
		q.send(now, event.Shard, event.Outcome.retryCause())
		return
	}
	q.settleShard(event.Shard)
}

func (q *Query) succeed(now time.Duration, shard int) {
	state := &q.shards[shard]
	state.status = ShardStatus{Answered: true}
	state.diagnosis.AnsweredAt = now
	q.answered++
	q.settleShard(shard)
	if q.answered >= q.target && q.graceEnd == never {
		q.graceEnd = now + time.Duration(q.plan.Policy.Completeness.Grace)
	}
}

// settleShard marks a shard as settled and cancels its attempts in flight.
func (q *Query) settleShard(shard int) {
	state := &q.shards[shard]
	state.settled = true
	state.suspended = false
	state.nextAt = never
	q.settled++
	q.snapshotLost = q.snapshotLost || state.status.Reason == client.MissingSnapshot
	q.cancelAttempts(shard)
}

func (q *Query) cancelAttempts(shard int) {
	state := &q.shards[shard]
	for state.inFlight != 0 {
		attempt := bits.TrailingZeros16(state.inFlight)
		state.inFlight &^= 1 << attempt
		q.actions = append(q.actions, Action{Kind: Cancel, Shard: shard, Attempt: attempt})
	}
}

// finishOrSetTimer finishes the query if a condition to finish holds, and
// otherwise sets the timer.
func (q *Query) finishOrSetTimer(now time.Duration) {
	switch {
	case q.finished:
	case now >= q.abortAt:
		q.finish(ReplicasCrashed, client.MissingFailed)
	case q.AbortPending() && now < q.plan.Deadline: // even when all shards have settled
		q.setTimer()
	case q.settled == len(q.shards):
		q.finish(q.settledReason(), client.MissingFailed)
	case q.otherSnapshot && q.snapshotLost:
		q.finish(SnapshotLost, client.MissingSnapshot)
	case now >= q.plan.Deadline:
		q.finish(DeadlineReached, client.MissingTimeout)
	case q.tooFewShardsLeft():
		q.finish(AllSettled, client.MissingFailed)
	case q.expired(now) && !q.resultsReady:
		q.finish(CompleteEnough, client.MissingComplete)
	case q.canAnswer() && q.remainingUnreachable():
		q.finish(CompleteEnough, client.MissingFailed)
	default:
		q.setTimer()
	}
}

// expired reports whether the deadline, the grace period or the soft deadline
// ends the query at now. Nothing is sent from then on.
func (q *Query) expired(now time.Duration) bool {
	answerNow := q.canAnswer() && now >= q.softEnd
	return now >= q.plan.Deadline || now >= q.graceEnd || answerNow
}

// connectFailureLimit is the number of consecutive connect failures after which
// a shard is assumed to have no reachable replica.
const connectFailureLimit = 2

// countConnectFailure updates the number of consecutive connect failures.
func (s *shardState) countConnectFailure(event Event) {
	switch {
	case event.Outcome == NoReplica: // no connection was attempted
	case event.Outcome == ConnectFailed && !event.Busy:
		s.connectFailures++
	default:
		s.connectFailures = 0
	}
}

// remainingUnreachable reports whether no shard that has not settled has a
// reachable replica. Waiting for them would most likely only delay the answer.
func (q *Query) remainingUnreachable() bool {
	for i := range q.shards {
		state := &q.shards[i]
		if !state.settled && (!state.postponed || state.connectFailures < connectFailureLimit) {
			return false
		}
	}
	return true
}

// tooFewShardsLeft reports whether Plan.MinShards can no longer be reached.
func (q *Query) tooFewShardsLeft() bool {
	lost := q.settled - q.answered
	return q.plan.MinShards > 0 && len(q.shards)-lost < q.plan.MinShards
}

// canAnswer reports whether the plan has a soft deadline and enough shards have
// answered for a partial answer.
func (q *Query) canAnswer() bool {
	return q.plan.SoftDeadline > 0 && q.answered > 0 && q.answered >= q.plan.MinShards
}

func (q *Query) settledReason() FinishReason {
	if q.otherSnapshot && q.snapshotLost {
		return SnapshotLost
	}
	return AllSettled
}

// setTimer sets the timer to the earliest time at which something is due. While
// a timer is set, only the sends of this step and the grace period can make it
// earlier, so only the shards sent to are checked; after the timer has fired,
// all shards are.
func (q *Query) setTimer() {
	next := min(q.plan.Deadline, q.graceEnd, q.abortAt, q.canaryRetryAt)
	if q.canAnswer() {
		next = min(next, q.softEnd)
	}
	if q.timerAt == never {
		for i := range q.shards {
			next = min(next, q.nextDue(i))
		}
	} else {
		for _, action := range q.actions {
			if action.Kind == Send {
				next = min(next, q.nextDue(action.Shard))
			}
		}
	}
	q.advanceTimer(next)
}

// advanceTimer sets the timer to at if that is earlier than its current time.
func (q *Query) advanceTimer(at time.Duration) {
	if at < q.timerAt {
		q.timerAt = at
		q.actions = append(q.actions, Action{Kind: SetTimer, At: at})
	}
}

func (q *Query) finish(reason FinishReason, missing client.MissingReason) {
	q.finished = true
	for i := range q.shards {
		state := &q.shards[i]
		if state.settled {
			continue
		}
		state.status = ShardStatus{Reason: missing}
		q.cancelAttempts(i)
	}
	q.actions = append(q.actions, Action{Kind: Finish, Reason: reason})
}
