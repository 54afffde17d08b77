package experiment

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/replica"
)

// The constants of the baselines.
const (
	// fixedHedgeServices is the fixed delay of a hedge as a multiple of the
	// mean service time.
	fixedHedgeServices = 2.5
	// roundRobinAttempts is one attempt and three retries.
	roundRobinAttempts = 4
)

func isBaseline(name string) bool {
	return name == StrategyRandomOnce || name == StrategyFixedHedge || name == StrategyRoundRobin
}

// baseline returns one of the strategies that doorpond is compared with. They
// know the machine list and nothing else, and admit every query.
func baseline(name string, deployment *Deployment) strategy {
	row := policy.DefaultRow(name)
	row.Wait.HedgeQuantile = 0
	made := strategy{name: name}
	switch name {
	case StrategyFixedHedge:
		row.Retry.Attempts = 2
		delay := time.Duration(fixedHedgeServices * float64(deployment.ServiceMean))
		made.newRouter = func(d *daemon) router {
			return &baselineRouter{daemon: d, budget: unlimited{}, hedgeDelay: delay}
		}
	case StrategyRoundRobin:
		row.Retry.Attempts = roundRobinAttempts
		patience := time.Duration(row.Wait.Timeout) / roundRobinAttempts
		made.newRouter = func(d *daemon) router {
			return &baselineRouter{daemon: d, budget: unlimited{}, patience: patience, turns: firstTurns(d)}
		}
	default:
		row.Retry.Attempts = 1
		made.newRouter = func(d *daemon) router { return &baselineRouter{daemon: d} }
	}
	made.row = row
	return made
}

// firstTurns starts each daemon's rounds at another replica.
func firstTurns(d *daemon) []int {
	turns := make([]int, len(d.groups))
	for i := range turns {
		turns[i] = d.run.engine.Random().IntN(d.run.deployment.ReplicasPerGroup)
	}
	return turns
}

// unlimited grants every hedge and retry.
type unlimited struct{}

func (unlimited) Deposit()            {}
func (unlimited) Withdraw() bool      { return true }
func (unlimited) WithdrawHedge() bool { return true }
func (unlimited) Refund()             {}

// baselineRouter routes without any knowledge of load or health.
type baselineRouter struct {
	daemon     *daemon
	budget     decision.Budget
	hedgeDelay time.Duration
	patience   time.Duration
	// turns is the next replica of each group; nil means a random one.
	turns []int
}

func (r *baselineRouter) admit(*policy.Row) (func(conclusion), bool) {
	return func(conclusion) {}, true
}

func (r *baselineRouter) plan(_ int, shard *decision.ShardPlan, _ *policy.Row) {
	shard.Budget = r.budget
	shard.HedgeDelay = r.hedgeDelay
}

func (r *baselineRouter) choose(group int, tried []*link, _ *policy.Row) *link {
	links := r.daemon.groups[group]
	if len(links) == 0 {
		return nil
	}
	start := r.start(group, len(links))
	for i := range links {
		if candidate := links[(start+i)%len(links)]; !slices.Contains(tried, candidate) {
			return candidate
		}
	}
	return nil
}

func (r *baselineRouter) start(group, count int) int {
	if r.turns == nil {
		return r.daemon.run.engine.Random().IntN(count)
	}
	r.turns[group]++
	return r.turns[group] % count
}

func (r *baselineRouter) observe(*link, replica.Observation) {}

func (r *baselineRouter) attemptTimeout() time.Duration { return r.patience }
