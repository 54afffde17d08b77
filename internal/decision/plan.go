package decision

import (
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

// ShardPlan describes one shard to query.
type ShardPlan struct {
	Index string
	// Shard is the shard's number within its index, from 0 to ShardCount-1.
	Shard      int
	ShardCount int
	// Group names the group of replicas that hold the shard.
	Group string
	// HedgeDelay is the delay after which a second replica is queried; 0 disables
	// hedging.
	HedgeDelay time.Duration
	// ExpectedLatency is the expected time to a reply, 0 if unknown. Retries and
	// hedges that could not complete before the deadline are not sent.
	ExpectedLatency time.Duration
	// Budget grants hedges and retries for the shard; a nil Budget grants none.
	Budget Budget
}

// Plan is the input of a query's state machine. Its times count from the query's
// start.
type Plan struct {
	Shards   []ShardPlan
	Policy   *policy.Row
	Deadline time.Duration
	// SoftDeadline is the time from which the query finishes as soon as MinShards
	// have answered, trading completeness for latency. 0 disables it.
	SoftDeadline time.Duration
	// MinShards is the minimum number of shards in an answer. The query finishes
	// at once when it can no longer be reached. 0 means no minimum.
	MinShards int
	// DispatchDeadline is the time by which a query of one shard must have been
	// sent to a replica. If all replicas are busy until then, the query finishes
	// without having run, so that the caller can retry early. 0 disables it.
	DispatchDeadline time.Duration
	// AtMostOnce is true when no sub-request may run twice: hedging is disabled,
	// and an attempt is repeated only if it provably has not run.
	AtMostOnce bool
	// NoHedges disables hedging while the replicas are overloaded.
	NoHedges bool
	// CrashDetection configures the detection of queries that crash replicas.
	CrashDetection CrashDetection
}

// CrashDetection configures the detection of queries that crash the replicas
// that run them (see crashState).
type CrashDetection struct {
	// Enabled is false when crashes are handled like other failures.
	Enabled bool
	// Prior is the evidence from earlier runs of the query. If there is any, the
	// query starts with a canary.
	Prior CrashEvidence
	// Seed seeds the choice of the canaries' shards.
	Seed uint64
}

// ShardStatus is the result of one shard. Reason is empty if it answered.
type ShardStatus struct {
	Answered bool
	Reason   client.MissingReason
}

// ShardDiagnosis explains the latency of one shard.
type ShardDiagnosis struct {
	// AnsweredAt is the time since the query's start, 0 if the shard has not
	// answered.
	AnsweredAt time.Duration
	// HedgeDenial is why the latest hedge was not sent.
	HedgeDenial HedgeDenial
}

// HedgeDenial is the reason why a hedge was not sent.
type HedgeDenial string

// The reasons not to send a hedge.
const (
	// DeniedBudget means that the hedge budget was exhausted.
	DeniedBudget HedgeDenial = "budget"
	// DeniedOverload means that the replicas were overloaded.
	DeniedOverload HedgeDenial = "overload"
	// DeniedDeadline means that the hedge could not have completed in time.
	DeniedDeadline HedgeDenial = "time"
	// DeniedAttempts means that the policy's attempts were used up.
	DeniedAttempts HedgeDenial = "attempts"
	// DeniedCrashes means that replicas crashed while running the query.
	DeniedCrashes HedgeDenial = "ended"
	// DeniedNoReplica means that no other replica was available.
	DeniedNoReplica HedgeDenial = "replicas"
)
