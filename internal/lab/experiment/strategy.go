package experiment

import (
	"slices"
	"strconv"
	"time"

	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/replica"
)

// The strategies that a file can name.
const (
	// StrategyDoorpond is the product under its default policy.
	StrategyDoorpond = "doorpond"
	// StrategyRandomOnce makes one attempt to a random replica.
	StrategyRandomOnce = "random_once"
	// StrategyFixedHedge asks a second random replica after a fixed delay,
	// without a budget.
	StrategyFixedHedge = "fixed_hedge"
	// StrategyRoundRobin goes round the replicas, with three retries.
	StrategyRoundRobin = "round_robin_retry"
)

// router is how one daemon routes its queries.
type router interface {
	// admit lets a query in, and gets it back with its conclusion.
	admit(row *policy.Row) (release func(conclusion), admitted bool)
	// plan fills in waits and budget of a shard.
	plan(group int, shard *decision.ShardPlan, row *policy.Row)
	// choose returns nil when no replica is left.
	choose(group int, tried []*link, row *policy.Row) *link
	// observe takes in how a request ended.
	observe(asked *link, ended replica.Observation)
	// attemptTimeout bounds one attempt; 0 means that only the query's
	// deadline does.
	attemptTimeout() time.Duration
}

// strategy is a way of routing with the policy row that it needs.
type strategy struct {
	name      string
	row       policy.Row
	newRouter func(*daemon) router
}

func knownStrategy(name string) bool {
	return name == StrategyDoorpond || isBaseline(name)
}

// strategies returns all strategies of a file.
func (f *File) strategies(deployment *Deployment) []strategy {
	var all []strategy
	left := f.notRun()
	for _, name := range f.Strategies {
		if f.hasPolicy(name) || slices.Contains(left, name) {
			continue
		}
		if isBaseline(name) {
			all = append(all, baseline(name, deployment))
			continue
		}
		all = append(all, doorpond(policy.DefaultRow(name)))
	}
	for _, extra := range f.Policies {
		all = append(all, doorpond(extra.Row))
	}
	return all
}

// hasPolicy is true when a row of the file stands in for a named strategy.
func (f *File) hasPolicy(name string) bool {
	return slices.ContainsFunc(f.Policies, func(extra Policy) bool { return extra.Row.Name == name })
}

func doorpond(row policy.Row) strategy {
	return strategy{name: row.Name, row: row, newRouter: newDoorpondRouter}
}

// doorpondRouter drives the daemon's own cores.
type doorpondRouter struct {
	daemon     *daemon
	groups     []replica.GroupHealth
	budgets    replica.RetryBudgets
	admissions *admission.Controller
}

func newDoorpondRouter(d *daemon) router {
	return &doorpondRouter{
		daemon:     d,
		groups:     make([]replica.GroupHealth, d.run.deployment.Groups),
		admissions: admission.New(admission.Options{}),
	}
}

func (r *doorpondRouter) admit(row *policy.Row) (func(conclusion), bool) {
	ticket, err := r.admissions.Admit(row, row.Priority, r.daemon.run.now(), time.Duration(row.Wait.Timeout))
	if err != nil {
		return nil, false
	}
	return func(ended conclusion) {
		ticket.Observe(r.daemon.run.now(), admission.Outcome{
			Duration: ended.took, Queried: ended.asked, Answered: ended.answered,
			Refused: ended.refused, RefusedShard: strconv.Itoa(ended.refusedShard),
		})
		ticket.Release(r.daemon.run.now())
	}, true
}

func (r *doorpondRouter) plan(group int, shard *decision.ShardPlan, row *policy.Row) {
	shard.Budget = r.budgets.Of(row.Retry)
	r.groups[group].PlanShard(shard, row)
}

func (r *doorpondRouter) choose(group int, tried []*link, row *policy.Row) *link {
	links := r.daemon.groups[group]
	candidates := make([]decision.Candidate, 0, len(links))
	now := r.daemon.run.now()
	for _, known := range links {
		candidate := known.health.Candidate(now)
		candidate.Tried = slices.Contains(tried, known)
		candidates = append(candidates, candidate)
	}
	if replica.AllEjected(candidates) {
		for _, known := range links {
			known.health.ShortenEjection(now)
		}
	}
	pick := decision.ChooseReplica
	if len(tried) > 0 {
		pick = decision.ChooseAlternate
	}
	chosen := pick(candidates, row.Replicas, r.daemon.run.engine.Random().Uint64())
	if chosen == decision.NoCandidate {
		return nil
	}
	return links[chosen]
}

func (r *doorpondRouter) observe(asked *link, ended replica.Observation) {
	r.groups[asked.backend.group].Observe(asked.health, r.daemon.run.now(), ended)
}

func (r *doorpondRouter) attemptTimeout() time.Duration { return 0 }
