package edge

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/inspect"
)

// maxListedBudgets bounds the list of budgets in a node's state: there may be thousands of
// groups, and operators' tools query thousands of nodes at once.
const maxListedBudgets = 10

// usage returns the used budgets of the groups that have replicas, ordered by denied, then by
// granted withdrawals, highest first.
func (b *budgets) usage() []inspect.Budget {
	used := []inspect.Budget{}
	b.each(func(group string, usage decision.BudgetUsage) {
		if b.hasReplicas(group) && usage.Granted()+usage.Denied() > 0 {
			used = append(used, inspect.Budget{Group: group, BudgetUsage: usage})
		}
	})
	slices.SortFunc(used, inspect.CompareBudgets)
	return used[:min(len(used), maxListedBudgets)]
}

// each calls do with the usage of each group's budget.
func (b *budgets) each(do func(group string, usage decision.BudgetUsage)) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	for group, budget := range b.groups {
		do(group, budget.Usage())
	}
}

// hasReplicas reports whether a group has replicas. Groups of removed shards have none.
func (b *budgets) hasReplicas(group string) bool {
	replicas := b.board.Replicas.Load()
	return replicas != nil && len(replicas.Groups[group]) > 0
}

// budgetCollector exports the budgets as metrics. It sums over all groups, as there may be
// thousands.
type budgetCollector struct {
	budgets     *budgets
	withdrawals *prometheus.Desc
	spent       *prometheus.Desc
}

func newBudgetCollector(budgets *budgets) *budgetCollector {
	return &budgetCollector{
		budgets: budgets,
		withdrawals: prometheus.NewDesc("doorpondd_retry_budget_withdrawals_total",
			"Retries and hedges asked of the groups' budgets, by whether they were granted.", []string{"by", "result"}, nil),
		spent: prometheus.NewDesc("doorpondd_retry_budget_spent_groups",
			"Replica groups whose budget would not grant a retry now.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *budgetCollector) Describe(to chan<- *prometheus.Desc) {
	to <- c.withdrawals
	to <- c.spent
}

// Collect implements prometheus.Collector.
func (c *budgetCollector) Collect(to chan<- prometheus.Metric) {
	var sum decision.BudgetUsage
	spent := 0
	c.budgets.each(func(group string, usage decision.BudgetUsage) {
		sum = sum.Add(usage)
		if usage.Exhausted() && c.budgets.hasReplicas(group) {
			spent++
		}
	})
	count := func(value int64, by, result string) {
		to <- prometheus.MustNewConstMetric(c.withdrawals, prometheus.CounterValue, float64(value), by, result)
	}
	count(sum.Retries, "retry", "granted")
	count(sum.Hedges, "hedge", "granted")
	count(sum.DeniedRetries, "retry", "denied")
	count(sum.DeniedHedges, "hedge", "denied")
	to <- prometheus.MustNewConstMetric(c.spent, prometheus.GaugeValue, float64(spent))
}
