package decision

import (
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

// ShardPlan is one shard to ask.
type ShardPlan struct {
	Index string
	// Shard counts from 0 to Shards-1 inside its index.
	Shard      int
	ShardCount int
	// Group names the replicas that hold the shard.
	Group string
	// HedgeDelay is the wait after which a second replica is asked; 0 means
	// that no hedge is sent.
	HedgeDelay time.Duration
	// ExpectedLatency is the usual time of a reply, 0 if unknown. An attempt that
	// could not answer before the deadline is not sent.
	ExpectedLatency time.Duration
	// Budget grants hedges and retries to this shard's replicas; nil grants
	// none.
	Budget Budget
}

// Plan is what a query is decided by.
type Plan struct {
	Shards []ShardPlan
	Policy *policy.Row
	// Deadline is counted from the query's start.
	Deadline time.Duration
	// SoftDeadline, counted from the query's start, is the time from which on the
	// query ends as soon as LeastShards have answered: by then waiting for the
	// rest costs more than they add. 0 means that it always waits for the rest.
	SoftDeadline time.Duration
	// MinShards is the number of shards without which there is no answer; the
	// query ends at once when it can no longer be reached. 0 means that any
	// number is an answer.
	MinShards int
	// DispatchDeadline, counted from the query's start, is the time by which a query of
	// one shard must have been sent to a replica, or ends without having run: a
	// caller that is told soon can come back in time. 0 means that it waits.
	DispatchDeadline time.Duration
	// AtMostOnce is true when no sub-request may run twice: there are no hedges,
	// and another attempt is made only after proof that none has run.
	AtMostOnce bool
	// NoHedges is true while the replicas have more to do than they bear: hedges
	// would add to that.
	NoHedges bool
	// CrashDetection says how replicas that end under the query speak against it.
	CrashDetection CrashDetection
}

// CrashDetection is what is decided by when replicas end while they run a query (see caution).
type CrashDetection struct {
	// Enabled is false when ends of replicas are failures like others.
	Enabled bool
	// Prior is what spoke against the query before; with any, it begins with a canary.
	Prior CrashEvidence
	// Seed draws the shards of the canaries.
	Seed uint64
}

// ShardStatus is what became of one shard. Reason is empty when it answered.
type ShardStatus struct {
	Answered bool
	Reason   client.MissingReason
}

// ShardDiagnosis explains a shard's latency.
type ShardDiagnosis struct {
	// AnsweredAt counts from the query's start; 0 means that it has not answered.
	AnsweredAt time.Duration
	// HedgeDenial is why a hedge that was due was not sent, the last time.
	HedgeDenial HedgeDenial
}

// HedgeDenial is why a hedge was not sent.
type HedgeDenial string

// The reasons not to send a hedge.
const (
	// DeniedBudget: the budget for hedges was spent.
	DeniedBudget HedgeDenial = "budget"
	// DeniedOverload: the replicas had more to do than they bear.
	DeniedOverload HedgeDenial = "overload"
	// DeniedDeadline: it could not have answered in time.
	DeniedDeadline HedgeDenial = "time"
	// DeniedAttempts: the policy's attempts were used up.
	DeniedAttempts HedgeDenial = "attempts"
	// DeniedCrashes: replicas ended while they ran the query.
	DeniedCrashes HedgeDenial = "ended"
	// DeniedNoReplica: no other replica was fit to be asked.
	DeniedNoReplica HedgeDenial = "replicas"
)
