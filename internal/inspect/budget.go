package inspect

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/decision"
)

// Budget is the retry budget of one replica group, on one node or on several.
type Budget struct {
	Group string `json:"group"`
	decision.BudgetUsage
}

// CompareBudgets orders budgets: those first of which most was denied, then those of which
// most was granted.
func CompareBudgets(a, b Budget) int {
	return cmp.Or(cmp.Compare(b.Denied(), a.Denied()), cmp.Compare(b.Granted(), a.Granted()), cmp.Compare(a.Group, b.Group))
}

// addBudgets adds up the budgets that the nodes list.
func addBudgets(nodes []Node) []Budget {
	sums := make(map[string]decision.BudgetUsage)
	for _, node := range nodes {
		for _, one := range node.Budgets {
			sums[one.Group] = sums[one.Group].Add(one.BudgetUsage)
		}
	}
	added := make([]Budget, 0, len(sums))
	for group, usage := range sums {
		added = append(added, Budget{Group: group, BudgetUsage: usage})
	}
	slices.SortFunc(added, CompareBudgets)
	return added
}
