package decision

import (
	"time"

	"github.com/doorpond/doorpond/client"
)

// A shard that has not settled is in one of three states:
//
//	in flight   an attempt runs; at nextAt a hedge joins it, if the budget allows
//	postponed   none runs; at nextAt the next one is sent
//	settled     it has answered, or no further attempt is allowed
//
// An attempt that fails leads from in flight to the next attempt at once (mayRetry),
// one that was not sent to postponed (retryLater), and so does one that found
// all replicas busy (postpone). What is due is sent by fire.

// dispatched sets the hedge by what is usual for the chosen replica.
func (q *Query) dispatched(now time.Duration, event Event) {
	state := &q.shards[event.Shard]
	latest := event.Attempt == state.sent-1
	if event.HedgeDelay <= 0 || !latest || state.settled {
		return
	}
	if !q.canHedge(state) {
		state.diagnosis.HedgeDenial = q.hedgeDenial(state)
		return
	}
	state.nextAt = now + event.HedgeDelay
	state.nextDelay = event.HedgeDelay
	q.advanceTimer(state.nextAt)
}

// canHedge is true while another attempt beside those in flight is allowed.
func (q *Query) canHedge(state *shardState) bool {
	return !q.plan.AtMostOnce && !q.plan.NoHedges && !state.hedgingDisabled && state.attempts < q.attemptLimit() && state.sent < maxAttempts
}

// hedgeDenial explains mayHedge.
func (q *Query) hedgeDenial(state *shardState) HedgeDenial {
	switch {
	case q.plan.NoHedges:
		return DeniedOverload
	case state.hedgingDisabled:
		return DeniedNoReplica
	default:
		return DeniedAttempts
	}
}

// The wait before a sub-request that found all replicas busy is tried again:
// a part of the usual time of a reply, within bounds.
const (
	busyDelayDivisor = 4
	minBusyDelay     = 2 * time.Millisecond
	maxBusyDelay     = 20 * time.Millisecond
)

// postpone takes an attempt back that was not sent, as all replicas were busy,
// and sets the time to try again. It returns false when there would be no time
// left then.
func (q *Query) postpone(now time.Duration, state *shardState, shard int) bool {
	state.sent--
	state.attempts--
	wait := min(max(q.plan.Shards[shard].ExpectedLatency/busyDelayDivisor, minBusyDelay), maxBusyDelay)
	if state.inFlight == 0 && !q.canAttempt(now+wait, shard) {
		return false
	}
	if q.plan.DispatchDeadline > 0 && len(q.shards) == 1 && state.attempts == 0 && now+wait > q.plan.DispatchDeadline {
		return false
	}
	state.nextAt = now + wait
	state.nextDelay = wait
	state.postponed = state.inFlight == 0
	q.advanceTimer(state.nextAt)
	return true
}

// The wait after an attempt that was not sent, before the next: it doubles with each, as
// a replica that is full needs time.
const (
	minUnsentDelay     = 20 * time.Millisecond
	maxUnsentDelay     = 200 * time.Millisecond
	maxUnsentDoublings = 4
)

// scheduleRetry sets the time for another attempt after one that was not sent. It returns
// false when there can be no other.
func (q *Query) scheduleRetry(now time.Duration, event Event) bool {
	state := &q.shards[event.Shard]
	wait := min(minUnsentDelay<<min(state.unsent, maxUnsentDoublings), maxUnsentDelay)
	if event.Outcome == ConnectFailed && state.unsent == 0 {
		wait = 0 // most likely that process has ended, and others have not
	}
	if !q.canAttempt(now+wait, event.Shard) {
		return false
	}
	state.unsent++
	state.status.Reason = mergeReason(state.status.Reason, event.Outcome)
	if wait == 0 && state.inFlight == 0 {
		q.send(now, event.Shard, event.Outcome.retryCause())
		return true
	}
	state.nextAt = now + wait
	state.nextDelay = max(wait, minUnsentDelay) // the budget that denies it then is no better off at once
	state.postponed = state.inFlight == 0
	state.cause = event.Outcome.retryCause()
	q.advanceTimer(state.nextAt)
	return true
}

func (q *Query) attemptLimit() int { return min(q.plan.Policy.Retry.Attempts, maxAttempts) }

// mergeReason keeps the reason of an attempt that reached a replica when a
// later one finds no replica left.
func mergeReason(earlier client.MissingReason, outcome Outcome) client.MissingReason {
	if outcome == NoReplica && earlier != "" {
		return earlier
	}
	return outcome.missingReason()
}

func (o Outcome) missingReason() client.MissingReason {
	switch o {
	case Shed, Draining, Misdirected:
		return client.MissingShed
	case SnapshotNotHeld:
		return client.MissingSnapshot
	case Invalid:
		return client.MissingInvalidReply
	case NoReplica:
		return client.MissingNoReplica
	case DeadlineExceeded:
		return client.MissingTimeout
	default:
		return client.MissingFailed
	}
}

func (q *Query) acquireRetry(now time.Duration, shard int, outcome Outcome) bool {
	if outcome == DeadlineExceeded || !q.canAttempt(now, shard) {
		return false
	}
	if q.plan.AtMostOnce && !outcome.provesNotRun() {
		return false
	}
	return q.withdraw(shard)
}

func (q *Query) canAttempt(now time.Duration, shard int) bool {
	if q.shards[shard].attempts >= q.attemptLimit() || q.shards[shard].sent >= maxAttempts {
		return false
	}
	return now+q.plan.Shards[shard].ExpectedLatency < min(q.plan.Deadline, q.graceEnd, q.softDeadline(now))
}

// softDeadline is when the query ends if no more shards answer.
func (q *Query) softDeadline(now time.Duration) time.Duration {
	if q.canAnswer() && now < q.plan.SoftDeadline {
		return q.plan.SoftDeadline
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

// sendDue sends the hedges that are due.
func (q *Query) sendDue(now time.Duration) {
	for i := range q.shards {
		state := &q.shards[i]
		if state.settled || state.nextAt > now {
			continue
		}
		if q.mustAwaitCanary(i) {
			q.deferForCanary(now, i)
			continue
		}
		state.nextAt = never
		if state.postponed {
			state.postponed = false
			q.send(now, i, state.cause)
			continue
		}
		switch {
		case !q.canAttempt(now, i):
			state.diagnosis.HedgeDenial = DeniedDeadline
		case q.withdrawHedge(i):
			q.send(now, i, CauseHedge)
		default:
			state.diagnosis.HedgeDenial = DeniedBudget
			state.nextAt = now + state.nextDelay // the budget may be better off then
		}
	}
}

// mustAwaitCanary tells whether what is due for a shard has to wait for a canary. A canary of its
// own that is late may have a hedge, as its replica may be silent for long.
func (q *Query) mustAwaitCanary(shard int) bool {
	return q.canaryMode && shard != q.canaryShard && (q.canaryInFlight() || !q.shards[shard].postponed)
}

// deferForCanary puts off what is due for a shard: a hedge is looked at again later, and a
// repeat is held back.
func (q *Query) deferForCanary(now time.Duration, shard int) {
	state := &q.shards[shard]
	if state.postponed {
		state.suspend()
		return
	}
	state.diagnosis.HedgeDenial = DeniedCrashes
	state.nextAt = now + max(state.nextDelay, maxBusyDelay)
}

func (q *Query) nextDue(shard int) time.Duration {
	if q.shards[shard].settled {
		return never
	}
	return q.shards[shard].nextAt
}
