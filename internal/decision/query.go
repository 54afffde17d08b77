// Package decision is the pure core of a query: which shards to ask, which
// replica, when to hedge or retry, and when the answer is complete enough. It
// has no I/O, clock, goroutine or global randomness; a shell feeds events and
// carries out actions.
package decision

import (
	"math"
	"math/bits"
	"time"

	"github.com/doorpond/doorpond/client"
)

// maxAttempts is the greatest number of attempts to one shard that the
// in-flight bits can hold.
const maxAttempts = 16

type shardState struct {
	// sent numbers the attempts; attempts counts those that may have come to a
	// replica, which the policy bounds.
	sent     int
	attempts int
	inFlight uint16
	hedgeAt  time.Duration
	// hedgeDelay is the wait before the next look at the hedge.
	hedgeDelay time.Duration
	// postponed is true while no attempt is in flight and the next one is due at
	// hedgeAt.
	postponed bool
	// refusals counts the attempts that came to no replica.
	refusals  int
	settled   bool
	hedgeOff  bool
	status    ShardStatus
	diagnosis ShardDiagnosis
}

// Query decides one query. It is not safe for concurrent use.
type Query struct {
	plan     Plan
	shards   []shardState
	actions  []Action
	answered int
	settled  int
	target   int
	graceAt  time.Duration
	timerAt  time.Duration
	// snapshotLost is set once a shard has settled for want of the snapshot.
	snapshotLost bool
	// otherSnapshot is true while the query could start anew on another one.
	otherSnapshot bool
	finished      bool
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// New makes the core of a query.
func New(plan Plan) *Query {
	count := len(plan.Shards)
	return &Query{
		plan:    plan,
		shards:  make([]shardState, count),
		actions: make([]Action, 0, count+2),
		target:  int(math.Ceil(plan.Policy.Completeness.Target * float64(count))),
		graceAt: never,
		timerAt: never,
	}
}

// Step takes one event at a time since the query's start. The actions belong
// to the caller only until the next Step.
func (q *Query) Step(now time.Duration, event Event) []Action {
	q.actions = q.actions[:0]
	if q.finished {
		return nil
	}
	switch event.Kind {
	case Started:
		q.start(now)
	case Replied:
		q.replied(now, event)
	case TimerFired:
		q.timerAt = never
		if !q.isOver(now) {
			q.fire(now)
		}
	case GaveUp:
		q.finish(CallerGaveUp, client.MissingTimeout)
	case Dispatched:
		q.dispatched(now, event)
	}
	q.settle(now)
	return q.actions
}

// Status returns what became of a shard of the plan.
func (q *Query) Status(shard int) ShardStatus { return q.shards[shard].status }

// Diagnosis explains the latency of a shard of the plan.
func (q *Query) Diagnosis(shard int) ShardDiagnosis { return q.shards[shard].diagnosis }

// Answered returns the number of shards that have answered.
func (q *Query) Answered() int { return q.answered }

func (q *Query) start(now time.Duration) {
	for i := range q.plan.Shards {
		if budget := q.plan.Shards[i].Budget; budget != nil {
			budget.Deposit()
		}
		q.send(now, i, false)
	}
}

func (q *Query) send(now time.Duration, shard int, hedge bool) {
	state, plan := &q.shards[shard], &q.plan.Shards[shard]
	attempt := state.sent
	state.sent++
	state.attempts++
	state.inFlight |= 1 << attempt
	state.hedgeAt = never
	if plan.HedgeDelay > 0 && q.mayHedge(state) {
		state.hedgeAt = now + plan.HedgeDelay
		state.hedgeDelay = plan.HedgeDelay
	}
	q.actions = append(q.actions, Action{
		Kind: Send, Shard: shard, Attempt: attempt, Hedge: hedge, Timeout: q.plan.Deadline - now,
	})
}

// dispatched sets the hedge by what is usual for the chosen replica.
func (q *Query) dispatched(now time.Duration, event Event) {
	state := &q.shards[event.Shard]
	latest := event.Attempt == state.sent-1
	if event.HedgeDelay <= 0 || !latest || state.settled {
		return
	}
	if !q.mayHedge(state) {
		state.diagnosis.NoHedge = q.whyNoHedge(state)
		return
	}
	state.hedgeAt = now + event.HedgeDelay
	state.hedgeDelay = event.HedgeDelay
	q.wakeBy(state.hedgeAt)
}

// mayHedge is true while another attempt beside those in flight is allowed.
func (q *Query) mayHedge(state *shardState) bool {
	return !q.plan.RunsOnce && !q.plan.NoHedges && !state.hedgeOff && state.attempts < q.attemptLimit() && state.sent < maxAttempts
}

// whyNoHedge explains mayHedge.
func (q *Query) whyNoHedge(state *shardState) HedgeDenial {
	switch {
	case q.plan.NoHedges:
		return DeniedOverload
	case state.hedgeOff:
		return DeniedReplicas
	default:
		return DeniedAttempts
	}
}

// The wait before a sub-request that found all replicas busy is tried again:
// a part of the usual time of a reply, within bounds.
const (
	busyShare   = 4
	busyAtLeast = 2 * time.Millisecond
	busyAtMost  = 20 * time.Millisecond
)

// postpone takes an attempt back that was not sent, as all replicas were busy,
// and sets the time to try again. It returns false when there would be no time
// left then.
func (q *Query) postpone(now time.Duration, state *shardState, shard int) bool {
	state.sent--
	state.attempts--
	wait := min(max(q.plan.Shards[shard].Expected/busyShare, busyAtLeast), busyAtMost)
	if state.inFlight == 0 && !q.mayAttempt(now+wait, shard) {
		return false
	}
	if q.plan.OfferBy > 0 && len(q.shards) == 1 && state.attempts == 0 && now+wait > q.plan.OfferBy {
		return false
	}
	state.hedgeAt = now + wait
	state.hedgeDelay = wait
	state.postponed = state.inFlight == 0
	q.wakeBy(state.hedgeAt)
	return true
}

// The wait after an attempt that came to no replica, before the next: it doubles
// with each, as a replica that is full needs time.
const (
	refusedWait        = 20 * time.Millisecond
	refusedWaitAtMost  = 200 * time.Millisecond
	refusedWaitDoubles = 4
)

// retryLater sets the time for another attempt after one that came to no replica.
// Such attempts neither use the policy's attempts up nor draw on the budget, which
// is for what arrives. It returns false when there can be no other.
func (q *Query) retryLater(now time.Duration, event Event) bool {
	state := &q.shards[event.Shard]
	if q.plan.RunsOnce && !event.Outcome.provesNotRun() {
		return false
	}
	wait := min(refusedWait<<min(state.refusals, refusedWaitDoubles), refusedWaitAtMost)
	if event.Outcome == Unreached && state.refusals == 0 {
		wait = 0 // most likely that process has ended, and others have not
	}
	if !q.mayAttempt(now+wait, event.Shard) {
		return false
	}
	state.refusals++
	state.status.Reason = reasonAfter(state.status.Reason, event.Outcome)
	if wait == 0 && state.inFlight == 0 {
		q.send(now, event.Shard, false)
		return true
	}
	state.hedgeAt = now + wait
	state.hedgeDelay = wait
	state.postponed = state.inFlight == 0
	q.wakeBy(state.hedgeAt)
	return true
}

func (q *Query) attemptLimit() int { return min(q.plan.Policy.Retry.Attempts, maxAttempts) }

func (q *Query) replied(now time.Duration, event Event) {
	state := &q.shards[event.Shard]
	bit := uint16(1) << event.Attempt
	if state.settled || state.inFlight&bit == 0 {
		return
	}
	state.inFlight &^= bit
	if event.Outcome == NoReplica && event.Busy && q.postpone(now, state, event.Shard) {
		return
	}
	if event.Outcome == Success {
		q.succeed(now, event.Shard)
		return
	}
	if event.Outcome.likelyRefused() {
		state.attempts--
		if q.retryLater(now, event) {
			return
		}
	}
	q.otherSnapshot = q.otherSnapshot || event.OtherSnapshot
	state.status.Reason = reasonAfter(state.status.Reason, event.Outcome)
	if event.Outcome == NoReplica {
		state.diagnosis.NoHedge = DeniedReplicas
		state.hedgeOff = true
		state.hedgeAt = never
	}
	if state.inFlight != 0 {
		return
	}
	if event.Outcome != NoReplica && q.mayRetry(now, event.Shard, event.Outcome) {
		q.send(now, event.Shard, false)
		return
	}
	q.settleShard(event.Shard)
}

// reasonAfter keeps the reason of an attempt that reached a replica when a
// later one finds no replica left.
func reasonAfter(earlier client.MissingReason, outcome Outcome) client.MissingReason {
	if outcome == NoReplica && earlier != "" {
		return earlier
	}
	return outcome.missing()
}

func (o Outcome) missing() client.MissingReason {
	switch o {
	case Shed, Draining, Elsewhere:
		return client.MissingShed
	case SnapshotNotHeld:
		return client.MissingSnapshot
	case Invalid:
		return client.MissingInvalidReply
	case NoReplica:
		return client.MissingNoReplica
	case DeadlinePassed:
		return client.MissingTimeout
	default:
		return client.MissingFailed
	}
}

func (q *Query) mayRetry(now time.Duration, shard int, outcome Outcome) bool {
	if outcome == DeadlinePassed || !q.mayAttempt(now, shard) {
		return false
	}
	if q.plan.RunsOnce && !outcome.provesNotRun() {
		return false
	}
	switch outcome {
	case Draining, SnapshotNotHeld:
		return true // no work came to the replicas; the attempt limit bounds these
	}
	return q.withdraw(shard)
}

func (q *Query) mayAttempt(now time.Duration, shard int) bool {
	if q.shards[shard].attempts >= q.attemptLimit() || q.shards[shard].sent >= maxAttempts {
		return false
	}
	return now+q.plan.Shards[shard].Expected < min(q.plan.Deadline, q.graceAt, q.answerBy(now))
}

// answerBy is when the query ends if no more shards answer.
func (q *Query) answerBy(now time.Duration) time.Duration {
	if q.mayAnswer() && now < q.plan.AnswerBy {
		return q.plan.AnswerBy
	}
	return never
}

func (q *Query) withdraw(shard int) bool {
	budget := q.plan.Shards[shard].Budget
	return budget != nil && budget.Withdraw()
}

func (q *Query) withdrawHedge(shard int) bool {
	budget := q.plan.Shards[shard].Budget
	return budget != nil && budget.WithdrawHedge()
}

func (q *Query) succeed(now time.Duration, shard int) {
	state := &q.shards[shard]
	state.status = ShardStatus{Answered: true}
	state.diagnosis.AnsweredAt = now
	q.answered++
	q.settleShard(shard)
	if q.answered >= q.target && q.graceAt == never {
		q.graceAt = now + time.Duration(q.plan.Policy.Completeness.Grace)
	}
}

// settleShard closes a shard for good and gives up what it has in flight.
func (q *Query) settleShard(shard int) {
	state := &q.shards[shard]
	state.settled = true
	state.hedgeAt = never
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

// fire sends the hedges that are due.
func (q *Query) fire(now time.Duration) {
	for i := range q.shards {
		state := &q.shards[i]
		if state.settled || state.hedgeAt > now {
			continue
		}
		state.hedgeAt = never
		if state.postponed {
			state.postponed = false
			q.send(now, i, false)
			continue
		}
		switch {
		case !q.mayAttempt(now, i):
			state.diagnosis.NoHedge = DeniedTime
		case q.withdrawHedge(i):
			q.send(now, i, true)
		default:
			state.diagnosis.NoHedge = DeniedBudget
			state.hedgeAt = now + state.hedgeDelay // the budget may be better off then
		}
	}
}

// settle ends the query if it is over, else sets the timer.
func (q *Query) settle(now time.Duration) {
	switch {
	case q.finished:
	case q.settled == len(q.shards):
		q.finish(q.settledReason(), client.MissingFailed)
	case q.otherSnapshot && q.snapshotLost:
		q.finish(SnapshotLost, client.MissingSnapshot)
	case now >= q.plan.Deadline:
		q.finish(DeadlineReached, client.MissingTimeout)
	case q.outOfReach():
		q.finish(AllSettled, client.MissingFailed)
	case q.isOver(now):
		q.finish(CompleteEnough, client.MissingComplete)
	default:
		q.setTimer()
	}
}

// isOver is true when the time has come to end, whatever has answered: nothing
// is sent any more then.
func (q *Query) isOver(now time.Duration) bool {
	answerNow := q.mayAnswer() && now >= q.plan.AnswerBy
	return now >= q.plan.Deadline || now >= q.graceAt || answerNow
}

// outOfReach is true when too few shards can still answer.
func (q *Query) outOfReach() bool {
	lost := q.settled - q.answered
	return q.plan.LeastShards > 0 && len(q.shards)-lost < q.plan.LeastShards
}

// mayAnswer is true when the plan names a time to answer and enough shards
// have answered.
func (q *Query) mayAnswer() bool {
	return q.plan.AnswerBy > 0 && q.answered > 0 && q.answered >= q.plan.LeastShards
}

func (q *Query) settledReason() FinishReason {
	if q.otherSnapshot && q.snapshotLost {
		return SnapshotLost
	}
	return AllSettled
}

// setTimer asks for the earliest moment at which something is due. Only sends
// and the grace bring it forward, so it looks at the shards of this step's
// sends; all of them are looked at after the timer has fired.
func (q *Query) setTimer() {
	next := min(q.plan.Deadline, q.graceAt)
	if q.mayAnswer() {
		next = min(next, q.plan.AnswerBy)
	}
	if q.timerAt == never {
		for i := range q.shards {
			next = min(next, q.hedgeTime(i))
		}
	} else {
		for _, action := range q.actions {
			if action.Kind == Send {
				next = min(next, q.hedgeTime(action.Shard))
			}
		}
	}
	q.wakeBy(next)
}

// wakeBy brings the timer forward.
func (q *Query) wakeBy(at time.Duration) {
	if at < q.timerAt {
		q.timerAt = at
		q.actions = append(q.actions, Action{Kind: SetTimer, At: at})
	}
}

func (q *Query) hedgeTime(shard int) time.Duration {
	if q.shards[shard].settled {
		return never
	}
	return q.shards[shard].hedgeAt
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
