package inspect

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/decision"
)

// Budget is the usage of one replica group's retry budget, on one node or summed
// over several.
type Budget struct {
	Group string `json:"group"`
	decision.BudgetUsage
}

// CompareBudgets orders budgets by descending denied attempts, then by descending
// granted attempts, then by group.
func CompareBudgets(a, b Budget) int {
	return cmp.Or(cmp.Compare(b.Denied(), a.Denied()), cmp.Compare(b.Granted(), a.Granted()), cmp.Compare(a.Group, b.Group))
}

// mergeBudgets sums the budgets that the nodes report, by group.
func mergeBudgets(nodes []Node) []Budget {
	totals := make(map[string]decision.BudgetUsage)
	for _, node := range nodes {
		for _, budget := range node.Budgets {
			totals[budget.Group] = totals[budget.Group].Add(budget.BudgetUsage)
		}
	}
	merged := make([]Budget, 0, len(totals))
	for group, usage := range totals {
		merged = append(merged, Budget{Group: group, BudgetUsage: usage})
	}
	slices.SortFunc(merged, CompareBudgets)
	return merged
}
