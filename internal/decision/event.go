package decision

import "time"

// Outcome is the result of one sub-request.
type Outcome uint8

// The outcomes of a sub-request.
const (
	// Success is a complete and valid reply.
	Success Outcome = iota
	// Failed is a broken connection, a timeout or a server error.
	Failed
	// Shed means that the replica rejected the request because of its load,
	// without running it.
	Shed
	// Draining means that the replica is shutting down and did not run the request.
	Draining
	// SnapshotNotHeld means that the replica does not hold the pinned snapshot.
	SnapshotNotHeld
	// Invalid means that the reply failed validation.
	Invalid
	// NoReplica means that no usable replica was left; nothing was sent.
	NoReplica
	// DeadlineExceeded means that the replica rejected the request because its
	// deadline had passed.
	DeadlineExceeded
	// ConnectFailed means that no connection was established; nothing was sent.
	ConnectFailed
	// Misdirected means that another process answers at the address; it did not
	// run the request.
	Misdirected
	// ResetAfterWrite means that a new connection was reset after the request was
	// written and before any reply. The replica may have run the request.
	ResetAfterWrite
	// ResetBeforeWrite means that the replica reset a new connection before
	// anything was sent, as it does when it exceeds its connection limit.
	ResetBeforeWrite
	// Crashed means that the replica's process ended while it ran the
	// sub-request: the connection broke, and no new one is accepted.
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

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// NumOutcomes is the number of outcomes.
const NumOutcomes = len(outcomeNames)

// provesNotRun reports whether the replica provably has not run the sub-request
// and never will.
func (o Outcome) provesNotRun() bool {
	switch o {
	case Shed, Draining, SnapshotNotHeld, NoReplica, DeadlineExceeded, ConnectFailed, Misdirected, ResetBeforeWrite:
		return true
	default:
		return false
	}
}

// NotSent reports whether no byte of the sub-request reached any process. Only
// then is its retry exempt from the attempt limit and the retry budget: a request
// that may have arrived counts as load on the replica. When resets after the request
// was written were exempt as well, 2,039 retries were sent in 10 s where the budget
// allows 404.
func (o Outcome) NotSent() bool { return o == ConnectFailed || o == ResetBeforeWrite }

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of event.
const (
	// Started starts the query.
	Started EventKind = iota
	// AttemptCompleted reports the outcome of one sub-request.
	AttemptCompleted
	// TimerFired reports that the time of the latest SetTimer has been reached.
	TimerFired
	// Canceled reports that the caller no longer waits for the answer.
	Canceled
	// Interrupted reports that the query must finish before its deadline.
	Interrupted
	// Dispatched reports the hedge delay of the replica to which a Send went.
	Dispatched
	// EvidenceDisputed reports that another query may have caused the crashes
	// attributed to this one.
	EvidenceDisputed
)

// Event is an input of Query.Step. Shard is an index into Plan.Shards. Shard and
// Attempt are set for AttemptCompleted and Dispatched, HedgeDelay for Dispatched,
// ResultsReady for all kinds, and the other fields for AttemptCompleted.
type Event struct {
	Kind    EventKind
	Shard   int
	Attempt int
	Outcome Outcome
	// ResultsReady is true when further results are ready. They are processed before
	// the query finishes with a partial answer.
	ResultsReady bool
	// OtherSnapshot is true when the query could be restarted on another
	// snapshot; it then finishes as soon as a shard's replicas lack this one.
	OtherSnapshot bool
	// Busy is true for NoReplica and ConnectFailed when a replica could accept the
	// sub-request once it has fewer in flight.
	Busy bool
	// HedgeDelay is the delay from now after which the replica's reply is
	// considered late; 0 keeps the plan's.
	HedgeDelay time.Duration
	// RetryAfter is the delay that the replica requested before the next request,
	// 0 if none. Another replica may be queried at once.
	RetryAfter time.Duration
	// Survived is true when the replica ran the sub-request and replied, even with
	// an error.
	Survived bool
	// Attribution is the fraction of a crash that is attributed to this query: 1
	// if the replica is not known to have been running any other that can be the
	// cause.
	Attribution float64
	// Quarantined is true for Crashed when another node has quarantined the query.
	Quarantined bool
}

// Cause is the reason why a sub-request is sent. Sub-requests with a cause other
// than CauseFirst and CauseNotSent are extra load on the replica group.
type Cause uint8

// The causes of a sub-request.
const (
	// CauseFirst is the first attempt for a shard.
	CauseFirst Cause = iota
	// CauseHedge is an attempt in addition to one that is late.
	CauseHedge
	// CauseFailure follows an attempt that failed or whose reply was invalid.
	CauseFailure
	// CauseRejection follows an attempt that a process rejected without running it.
	CauseRejection
	// CauseReset follows ResetAfterWrite.
	CauseReset
	// CauseNotSent follows an attempt that was not sent.
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

// String returns the cause's name in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// NumCauses is the number of causes.
const NumCauses = len(causeNames)

// retryCause returns the cause of a retry after an outcome.
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

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of action.
const (
	// Send sends a sub-request.
	Send ActionKind = iota
	// Cancel cancels a sub-request in flight.
	Cancel
	// SetTimer requests TimerFired at Action.At and replaces the previous timer.
	SetTimer
	// Finish ends the query; no action follows it.
	Finish
)

// Action is an output of Query.Step.
type Action struct {
	Kind    ActionKind
	Shard   int
	Attempt int
	// Cause is set for Send. Canary is true for a Send that may crash its replica,
	// Idle for a canary that is sent only to a replica without other requests of
	// this node; if there is none, it completes with NoReplica and Busy.
	Cause  Cause
	Canary bool
	Idle   bool
	// Timeout is the time left for a Send.
	Timeout time.Duration
	// At is the time of a SetTimer since the query's start.
	At time.Duration
	// Reason is set for Finish.
	Reason FinishReason
}

// FinishReason is the reason why a query finished.
type FinishReason uint8

// The reasons to finish.
const (
	// AllSettled means that each shard has answered or can no longer answer, or
	// that Plan.MinShards can no longer be reached.
	AllSettled FinishReason = iota
	// CompleteEnough means that enough shards have answered and that the grace
	// period or the soft deadline is over, or the others are unreachable.
	CompleteEnough
	// DeadlineReached means that the deadline has passed, or that the query was
	// interrupted.
	DeadlineReached
	// CallerCanceled means that the caller no longer waits for the answer.
	CallerCanceled
	// SnapshotLost means that a shard's replicas no longer hold the pinned
	// snapshot.
	SnapshotLost
	// ReplicasCrashed means that the query is considered the cause of crashes of
	// the replicas that ran it.
	ReplicasCrashed
)
