package replica

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
)

// GroupHealth tracks the latency of a replica group as seen by one daemon. The
// zero value is ready to use. It is safe for concurrent use.
type GroupHealth struct {
	latency latencyWindow
}

// RetryBudgets holds a daemon's retry budgets, one per combination of ratio and
// burst. A budget is shared by all groups and all policies with these
// parameters: with one budget per group, a failing group could use only a
// fraction of the tokens while those of healthy groups are unused. The zero
// value is ready to use. It is safe for concurrent use.
type RetryBudgets struct {
	byKey sync.Map // retryBudgetKey -> *decision.TokenBudget
}

type retryBudgetKey struct{ ratio, burst float64 }

// Of returns the budget for the parameters of a retry policy.
func (b *RetryBudgets) Of(retry policy.Retry) decision.Budget {
	key := retryBudgetKey{retry.BudgetRatio, retry.BudgetBurst}
	if budget, known := b.byKey.Load(key); known {
		return budget.(*decision.TokenBudget)
	}
	budget, _ := b.byKey.LoadOrStore(key, decision.NewTokenBudget(retry.BudgetRatio, retry.BudgetBurst))
	return budget.(*decision.TokenBudget)
}

// lateQuantile is the quantile of a group's latency above which a request is
// late.
const lateQuantile = 0.95

// Observe records the result of a request to one of the group's replicas. It
// reports whether the replica has been ejected by it.
func (g *GroupHealth) Observe(health *Health, now time.Time, observation Observation) (ejected bool) {
	if latency := g.LatencyQuantile(lateQuantile); latency > 0 {
		observation.Late = observation.Elapsed >= latency
	}
	if observation.Outcome == decision.Success {
		g.latency.Record(observation.Elapsed)
	}
	return health.Observe(now, observation)
}

// LatencyQuantile returns a quantile of the recent latencies, or 0 if there are
// too few samples.
func (g *GroupHealth) LatencyQuantile(quantile float64) time.Duration {
	return g.latency.Quantile(quantile)
}

// expectedQuantile is the quantile of a group's latency that an attempt is
// assumed to need at least.
const expectedQuantile = 0.5

// PlanShard sets the hedge delay and the expected latency of a shard of this
// group.
func (g *GroupHealth) PlanShard(shard *decision.ShardPlan, row *policy.Row) {
	if row.Wait.HedgeQuantile > 0 {
		if latency := g.LatencyQuantile(row.Wait.HedgeQuantile); latency > 0 {
			shard.HedgeDelay = max(latency, time.Duration(row.Wait.HedgeFloor))
		}
	}
	shard.ExpectedLatency = g.LatencyQuantile(expectedQuantile)
}

// AllEjected reports whether every candidate that the request may be sent to is
// ejected.
func AllEjected(candidates []decision.Candidate) bool {
	for i := range candidates {
		if !candidates[i].Ejected && !candidates[i].Excluded {
			return false
		}
	}
	return true
}
