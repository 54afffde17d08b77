package decision

import (
	"time"

	"github.com/doorpond/doorpond/client"
)

// A shard is in one of these states:
//
//	in flight   an attempt is in flight; at nextAt a hedge is sent, if the budget allows
//	postponed   no attempt is in flight; at nextAt the next one is sent
//	suspended   nothing is sent until a canary has completed (see crashState)
//	settled     it has answered, or no further attempt is allowed
//
// A failed attempt is retried at once (acquireRetry). One that was not sent
// (scheduleRetry), or that found all replicas busy (postpone), is retried after a
// delay. sendDue sends what is due.

// dispatched replaces the hedge delay by that of the chosen replica.
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

// canHedge reports whether the plan and the attempt limit allow a hedge.
func (q *Query) canHedge(state *shardState) bool {
	return !q.plan.AtMostOnce && !q.plan.NoHedges && !state.hedgingDisabled && state.attempts < q.attemptLimit() && state.sent < maxAttempts
}

// hedgeDenial returns the reason why canHedge is false.
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

// The delay before retrying a sub-request that found all replicas busy: a
// fraction of the expected latency, within bounds.
const (
	busyDelayDivisor = 4
	minBusyDelay     = 2 * time.Millisecond
	maxBusyDelay     = 20 * time.Millisecond
)

// postpone takes back an attempt that was not sent because all replicas were
// busy, and schedules the next one. It returns false if that would be too late.
func (q *Query) postpone(now time.Duration, state *shardState, shard int) bool {
	state.sent--
	state.attempts--
	delay := q.busyDelay(shard)
	if state.inFlight == 0 && q.tooLate(now+delay, shard) {
		return false
	}
	state.nextAt = now + delay
	state.nextDelay = delay
	state.postponed = state.inFlight == 0
	q.advanceTimer(state.nextAt)
	return true
}

func (q *Query) busyDelay(shard int) time.Duration {
	return min(max(q.plan.Shards[shard].ExpectedLatency/busyDelayDivisor, minBusyDelay), maxBusyDelay)
}

// tooLate reports whether it is too late at a time to send a shard's next attempt.
func (q *Query) tooLate(at time.Duration, shard int) bool {
	unsent := q.shards[shard].attempts == 0
	if len(q.shards) == 1 && unsent && q.plan.DispatchDeadline > 0 && at > q.plan.DispatchDeadline {
		return true
	}
	return !q.canAttempt(at, shard)
}

// The exponential backoff after attempts that were not sent, which gives a
// replica at its connection limit time to recover.
const (
	minUnsentDelay     = 20 * time.Millisecond
	maxUnsentDelay     = 200 * time.Millisecond
	maxUnsentDoublings = 4
)

// scheduleRetry schedules another attempt after one that was not sent. It returns
// false if no further attempt is allowed.
func (q *Query) scheduleRetry(now time.Duration, event Event) bool {
	state := &q.shards[event.Shard]
	delay := min(minUnsentDelay<<min(state.unsent, maxUnsentDoublings), maxUnsentDelay)
	if event.Outcome == ConnectFailed && state.unsent == 0 {
		delay = 0 // the other replicas are most likely reachable
	}
	if q.expired(now) || !q.canAttempt(now+delay, event.Shard) {
		return false
	}
	state.unsent++
	state.status.Reason = mergeReason(state.status.Reason, event.Outcome)
	if delay == 0 && state.inFlight == 0 {
		q.send(now, event.Shard, event.Outcome.retryCause())
		return true
	}
	state.nextAt = now + delay
	state.nextDelay = max(delay, minUnsentDelay) // a budget that denies it needs time to refill
	state.postponed = state.inFlight == 0
	state.cause = event.Outcome.retryCause()
	q.advanceTimer(state.nextAt)
	return true
}

func (q *Query) attemptLimit() int { return min(q.plan.Policy.Retry.Attempts, maxAttempts) }

// mergeReason returns the missing reason after an outcome. An earlier reason is
// kept if no replica was left for the latest attempt.
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

// acquireRetry reports whether a retry after an outcome is allowed, and withdraws
// it from the budget.
func (q *Query) acquireRetry(now time.Duration, shard int, outcome Outcome) bool {
	if outcome == DeadlineExceeded || q.expired(now) || !q.canAttempt(now, shard) {
		return false
	}
	if q.plan.AtMostOnce && !outcome.provesNotRun() {
		return false
	}
	return q.withdraw(shard)
}

// canAttempt reports whether the attempt limit and the time left allow an attempt
// that is sent at now.
func (q *Query) canAttempt(now time.Duration, shard int) bool {
	if q.shards[shard].attempts >= q.attemptLimit() || q.shards[shard].sent >= maxAttempts {
		return false
	}
	return now+q.plan.Shards[shard].ExpectedLatency < min(q.plan.Deadline, q.graceEnd, q.softDeadline(now))
}

// softDeadline returns when the query finishes if no more shards answer, never if
// too few have answered.
func (q *Query) softDeadline(now time.Duration) time.Duration {
	if q.canAnswer() && now < q.softEnd {
		return q.softEnd
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

// sendDue sends the hedges and postponed attempts that are due.
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
			state.nextAt = now + state.nextDelay // the budget may have refilled by then
		}
	}
}

// mustAwaitCanary reports whether what is due for a shard has to wait for a
// canary or for the abort of the query. A late canary may itself be hedged, as
// its replica may be unresponsive.
func (q *Query) mustAwaitCanary(shard int) bool {
	if !q.canaryMode {
		return false
	}
	return q.AbortPending() || shard != q.canaryShard && (q.canaryInFlight() || !q.shards[shard].postponed)
}

// deferForCanary delays a hedge that is due, or suspends a shard whose postponed
// attempt is due.
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
