package replica

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
)

// GroupHealth is what one daemon has seen of a replica group as a whole: the
// latency of its replies. Its zero value is ready, and it is safe for
// concurrent use.
type GroupHealth struct {
	latency latencyWindow
}

// RetryBudgets holds a daemon's retry budgets: one for each set of terms, shared by
// the queries of the policies on those terms and by all groups. A budget for
// each group would leave a group in trouble a share of the tokens only, while
// those of the healthy groups lie idle. Its zero value is ready, and it is
// safe for concurrent use.
type RetryBudgets struct {
	byKey sync.Map // budgetTerms -> *decision.TokenBudget
}

type retryBudgetKey struct{ ratio, burst float64 }

// Of returns the budget of some terms.
func (b *RetryBudgets) Of(retry policy.Retry) decision.Budget {
	terms := retryBudgetKey{retry.BudgetRatio, retry.BudgetBurst}
	if budget, known := b.byKey.Load(terms); known {
		return budget.(*decision.TokenBudget)
	}
	budget, _ := b.byKey.LoadOrStore(terms, decision.NewTokenBudget(retry.BudgetRatio, retry.BudgetBurst))
	return budget.(*decision.TokenBudget)
}

// lateQuantile of a group's latency is what a request has to exceed to be late.
const lateQuantile = 0.95

// Observe takes in how a request to one of the group's replicas ended; true
// means that the replica is ejected now.
func (g *GroupHealth) Observe(health *Health, now time.Time, ended Observation) (ejected bool) {
	if usual := g.LatencyQuantile(lateQuantile); usual > 0 {
		ended.Late = ended.Elapsed >= usual
	}
	if ended.Outcome == decision.Success {
		g.latency.Record(ended.Elapsed)
	}
	return health.Observe(now, ended)
}

// LatencyQuantile returns a quantile of the recent latencies, 0 while too few
// are known.
func (g *GroupHealth) LatencyQuantile(quantile float64) time.Duration {
	return g.latency.Quantile(quantile)
}

// expectedQuantile of a group's latency is the least that an attempt is taken
// to need.
const expectedQuantile = 0.5

// PlanShard fills in how long a shard of this group is waited for.
func (g *GroupHealth) PlanShard(shard *decision.ShardPlan, row *policy.Row) {
	if row.Wait.HedgeQuantile > 0 {
		if usual := g.LatencyQuantile(row.Wait.HedgeQuantile); usual > 0 {
			shard.HedgeDelay = max(usual, time.Duration(row.Wait.HedgeFloor))
		}
	}
	shard.Expected = g.LatencyQuantile(expectedQuantile)
}

// AllEjected is true when no replica of a group is left that is not ejected, of those
// that the request may go to.
func AllEjected(candidates []decision.Candidate) bool {
	for i := range candidates {
		if !candidates[i].Ejected && !candidates[i].Barred {
			return false
		}
	}
	return true
}
