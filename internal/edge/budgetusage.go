package edge

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/inspect"
)

// mostListedBudgets bounds what a node tells operators: there may be thousands of groups,
// and thousands of nodes that are asked at once.
const mostListedBudgets = 10

// usage returns the budgets of the groups that have replicas, those first of which most
// was denied, then those of which most was granted.
func (b *budgets) usage() []inspect.Budget {
	used := []inspect.Budget{}
	b.each(func(group string, usage decision.BudgetUsage) {
		if b.isCurrent(group) && usage.Granted()+usage.Denied() > 0 {
			used = append(used, inspect.Budget{Group: group, BudgetUsage: usage})
		}
	})
	slices.SortFunc(used, inspect.CompareBudgets)
	return used[:min(len(used), mostListedBudgets)]
}

// each calls do with each group's budget.
func (b *budgets) each(do func(group string, usage decision.BudgetUsage)) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	for group, budget := range b.groups {
		do(group, budget.Usage())
	}
}

// isCurrent tells whether a group has replicas: those of earlier shards have none.
func (b *budgets) isCurrent(group string) bool {
	replicas := b.board.Replicas.Load()
	return replicas != nil && len(replicas.Groups[group]) > 0
}

// budgetCollector measures a node's budgets when its metrics are read. All groups are
// added up, as there may be thousands.
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
		if usage.Exhausted() && c.budgets.isCurrent(group) {
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
