package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// usedBudgets returns the exhausted budgets of a single node, for a number of groups with
// replicas and one without. Each has denied one retry.
func usedBudgets(groups int) *budgets {
	board := (&testBoard{}).withNodes(1)
	replicas := make(map[string][]topology.Replica)
	for i := range groups {
		replicas[fmt.Sprint("g", i)] = []topology.Replica{{}}
	}
	board.Replicas.Publish(&topology.Replicas{Groups: replicas})
	bounds := BoundsSettings{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second}
	budgets := newBudgets(board, func() BoundsSettings { return bounds }, time.Now)
	for group := range replicas {
		for budgets.forGroup(group).Withdraw() {
		}
	}
	for budgets.forGroup("removed shard").Withdraw() {
	}
	return budgets
}

func TestBudgetUsage(t *testing.T) {
	budgets := usedBudgets(3)
	budgets.forGroup("g1").Withdraw() // one denial more than g2
	budgets.forGroup("g0").WithdrawHedge()
	budgets.forGroup("g0").WithdrawHedge()
	var order []string
	for _, one := range budgets.usage() {
		order = append(order, one.Group)
	}
	if got := strings.Join(order, " "); got != "g0 g1 g2" {
		t.Errorf("order %q, want \"g0 g1 g2\"", got)
	}
	if got := len(usedBudgets(50).usage()); got != maxListedBudgets {
		t.Errorf("%d budgets listed", got)
	}
	if got := newBudgets(&blackboard.Board{}, func() BoundsSettings { return BoundsSettings{} }, time.Now).usage(); got == nil || len(got) != 0 {
		t.Errorf("usage %v without budgets, want an empty list", got)
	}
}

func TestBudgetCollector(t *testing.T) {
	budgets := usedBudgets(3)
	budgets.forGroup("unused")
	registry := prometheus.NewRegistry()
	registry.MustRegister(newBudgetCollector(budgets))
	response := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/", nil))
	for _, want := range []string{
		"doorpondd_retry_budget_spent_groups 3",
		`doorpondd_retry_budget_withdrawals_total{by="hedge",result="denied"} 0`,
		`doorpondd_retry_budget_withdrawals_total{by="hedge",result="granted"} 0`,
		`doorpondd_retry_budget_withdrawals_total{by="retry",result="denied"} 4`,
		`doorpondd_retry_budget_withdrawals_total{by="retry",result="granted"} 8`,
	} {
		if !slices.Contains(strings.Split(response.Body.String(), "\n"), want) {
			t.Errorf("missing line %s in\n%s", want, response.Body)
		}
	}
}
