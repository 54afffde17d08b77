package decision

import "time"

// Outcome is how one sub-request ended.
type Outcome uint8

// The outcomes of a sub-request.
const (
	// Success: a whole, checked reply.
	Success Outcome = iota
	// Failed: a broken connection, a timeout or a server's error.
	Failed
	// Shed: the replica refused for load, without running the request.
	Shed
	// Draining: the replica is leaving and did not run the request.
	Draining
	// SnapshotNotHeld: the replica does not hold the pinned snapshot.
	SnapshotNotHeld
	// Invalid: the reply did not pass its checks.
	Invalid
	// NoReplica: no usable replica was left to send to; nothing was sent.
	NoReplica
	// DeadlineExceeded: the replica refused because the time was over.
	DeadlineExceeded
	// ConnectFailed: no byte was sent, as no connection came up.
	ConnectFailed
	// Misdirected: another process answers at the address; it did not run it.
	Misdirected
	// ResetAfterWrite: a new connection was reset after the request was written, before any
	// answer. The replica may have read and run it.
	ResetAfterWrite
	// ResetBeforeWrite: the replica reset a new connection before a byte was sent, as it does
	// with connections over its limit.
	ResetBeforeWrite
	// Crashed: the replica's process ended while it ran the sub-request: its connection
	// broke, and it accepts no other.
	Crashed
)

// outcomeNames are the names of the outcomes in logs and metrics.
var outcomeNames = [...]string{
	Success:          "success",
	Failed:           "failed",
	Shed:             "shed",
	Draining:         "draining",
	SnapshotNotHeld:  "snapshot_not_held",
	Invalid:          "invalid",
	NoReplica:        "no_replica",
	DeadlineExceeded: "deadline_passed",
	ConnectFailed:    "unreached",
	Misdirected:      "elsewhere",
	ResetAfterWrite:  "reset",
	ResetBeforeWrite: "unaccepted",
	Crashed:          "ended",
}

// String returns the name of an outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// NumOutcomes is the number of outcomes.
const NumOutcomes = len(outcomeNames)

// provesNotRun is true for the outcomes after which the replica certainly has
// not run the sub-request and never will.
func (o Outcome) provesNotRun() bool {
	switch o {
	case Shed, Draining, SnapshotNotHeld, NoReplica, DeadlineExceeded, ConnectFailed, Misdirected, ResetBeforeWrite:
		return true
	default:
		return false
	}
}

// NotSent is true for the outcomes after which no byte of the sub-request has come to
// any process. Its repeat draws neither on the attempts nor on the budget; that after any
// other outcome draws on both, as what may have arrived counts as arrived. (Resets of
// new connections were taken for not sent: 2,039 repeats in 10 s where the budget allows
// 404, with replicas that reset 0.6 of what they have read.)
func (o Outcome) NotSent() bool { return o == ConnectFailed || o == ResetBeforeWrite }

// EventKind tells the events apart.
type EventKind uint8

// The kinds of event.
const (
	// Started begins the query.
	Started EventKind = iota
	// AttemptCompleted reports the outcome of one sub-request.
	AttemptCompleted
	// TimerFired reports that the time of the last SetTimer has come.
	TimerFired
	// Canceled reports that the caller no longer waits.
	Canceled
	// Interrupted reports that the query must end now, though its deadline has not come.
	Interrupted
	// Dispatched reports to which replica a Send went, by its HedgeDelay.
	Dispatched
	// EvidenceDisputed reports that what convicts the query may have been another's doing.
	EvidenceDisputed
)

// Event is one input of Query.Step. Shard, Attempt and Outcome belong to
// Replied; Shard, Attempt and HedgeDelay to Dispatched. Shard is an index into
// Plan.Shards.
type Event struct {
	Kind    EventKind
	Shard   int
	Attempt int
	Outcome Outcome
	// OtherSnapshot is true when the query could start anew on another
	// snapshot; it ends as soon as a shard's replicas do not hold this one.
	OtherSnapshot bool
	// Busy is true for NoReplica and Unreached when a replica could take the sub-request
	// later, once it holds fewer.
	Busy bool
	// HedgeDelay is the wait, from now on, after which the chosen replica is
	// late; 0 leaves the plan's.
	HedgeDelay time.Duration
	// RetryAfter is when the replica wants the next request, 0 if it did not
	// say. Another replica may be asked at once.
	RetryAfter time.Duration
	// Survived is true when the replica has run the sub-request and answered, if only with
	// a failure.
	Survived bool
	// Attribution belongs to Ended: the share of it that falls on this query, 1 when the replica
	// was running no other that is known.
	Attribution float64
	// Quarantined belongs to Ended: another node has found the query to end replicas.
	Quarantined bool
}

// Cause is why a sub-request is sent. Those but CauseFirst and CauseUnreached are
// arrivals at the group beyond the first of their query.
type Cause uint8

// The causes of a sub-request.
const (
	// CauseFirst: the first one to a shard.
	CauseFirst Cause = iota
	// CauseHedge: beside one that is late.
	CauseHedge
	// CauseFailure: the one before failed, or its reply was spoilt.
	CauseFailure
	// CauseRejection: a process rejected the one before without running it.
	CauseRejection
	// CauseReset: the new connection of the one before was reset after it was written.
	CauseReset
	// CauseNotSent: the one before was not sent.
	CauseNotSent
)

// causeNames are the names of the causes in logs and metrics.
var causeNames = [...]string{
	CauseFirst:     "first",
	CauseHedge:     "hedge",
	CauseFailure:   "failure",
	CauseRejection: "rejection",
	CauseReset:     "reset",
	CauseNotSent:   "unreached",
}

// String returns the name of a cause.
func (c Cause) String() string { return causeNames[c] }

// NumCauses is the number of causes.
const NumCauses = len(causeNames)

// retryCause is the cause of the sub-request that follows an outcome.
func (o Outcome) retryCause() Cause {
	switch o {
	case Shed, Draining, SnapshotNotHeld, Misdirected:
		return CauseRejection
	case ResetAfterWrite:
		return CauseReset
	case ConnectFailed, ResetBeforeWrite:
		return CauseNotSent
	default:
		return CauseFailure
	}
}

// ActionKind tells the actions apart.
type ActionKind uint8

// The kinds of action.
const (
	// Send sends a sub-request.
	Send ActionKind = iota
	// Cancel gives up on a sub-request in flight.
	Cancel
	// SetTimer asks for TimerFired at Action.At; it replaces the last one.
	SetTimer
	// Finish ends the query; no action follows it.
	Finish
)

// Action is one output of Query.Step.
type Action struct {
	Kind    ActionKind
	Shard   int
	Attempt int
	// Cause is why a Send is sent; Canary is true when its replica may end by it.
	Cause  Cause
	Canary bool
	// Timeout is the time left for a Send.
	Timeout time.Duration
	// At is the moment of a SetTimer, from the query's start.
	At time.Duration
	// Reason belongs to Finish.
	Reason FinishReason
}

// FinishReason says why a query ended.
type FinishReason uint8

// The reasons to end.
const (
	// AllSettled: each shard has answered or cannot answer any more.
	AllSettled FinishReason = iota
	// CompleteEnough: the policy's target was reached and its grace is over.
	CompleteEnough
	// DeadlineReached: the time is over.
	DeadlineReached
	// CallerCanceled: nobody waits for the answer.
	CallerCanceled
	// SnapshotLost: a shard's replicas no longer hold the pinned snapshot.
	SnapshotLost
	// ReplicasCrashed: the query is taken to be what ends the replicas that run it.
	ReplicasCrashed
)
