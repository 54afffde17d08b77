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
	Shard  int
	Shards int
	// Group names the replicas that hold the shard.
	Group string
	// HedgeDelay is the wait after which a second replica is asked; 0 means
	// that no hedge is sent.
	HedgeDelay time.Duration
	// Expected is the usual time of a reply, 0 if unknown. An attempt that
	// could not answer before the deadline is not sent.
	Expected time.Duration
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
}

// ShardStatus is what became of one shard. Reason is empty when it answered.
type ShardStatus struct {
	Answered bool
	Reason   client.MissingReason
}
