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

// usedBudgets are a lone node's, of groups with replicas and of one that has none left.
// Each is asked for retries until one is denied.
func usedBudgets(groups int) *budgets {
	board := (&testBoard{}).of(1)
	replicas := make(map[string][]topology.Replica)
	for i := range groups {
		replicas[fmt.Sprint("g", i)] = []topology.Replica{{}}
	}
	board.Replicas.Publish(&topology.Replicas{Groups: replicas})
	bounds := BoundsSettings{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second}
	made := newBudgets(board, func() BoundsSettings { return bounds }, time.Now)
	for group := range replicas {
		for made.of(group).Withdraw() {
		}
	}
	for made.of("of an earlier shard").Withdraw() {
	}
	return made
}

func TestUsedBudgetsAreListed(t *testing.T) {
	made := usedBudgets(3)
	made.of("g1").Withdraw() // denied once more than the others
	made.of("g0").WithdrawHedge()
	made.of("g0").WithdrawHedge()
	var order []string
	for _, one := range made.usage() {
		order = append(order, one.Group)
	}
	if got := strings.Join(order, " "); got != "g0 g1 g2" {
		t.Errorf("listed %s", got)
	}
	if got := len(usedBudgets(50).usage()); got != mostListedBudgets {
		t.Errorf("%d budgets are listed", got)
	}
	if got := newBudgets(&blackboard.Board{}, func() BoundsSettings { return BoundsSettings{} }, time.Now).usage(); got == nil || len(got) != 0 {
		t.Errorf("unused budgets: %v", got)
	}
}

func TestMetricsOfBudgets(t *testing.T) {
	made := usedBudgets(3)
	made.of("unused")
	registry := prometheus.NewRegistry()
	registry.MustRegister(newBudgetCollector(made))
	answer := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
	for _, want := range []string{
		"doorpondd_retry_budget_spent_groups 3",
		`doorpondd_retry_budget_withdrawals_total{by="hedge",result="denied"} 0`,
		`doorpondd_retry_budget_withdrawals_total{by="hedge",result="granted"} 0`,
		`doorpondd_retry_budget_withdrawals_total{by="retry",result="denied"} 4`,
		`doorpondd_retry_budget_withdrawals_total{by="retry",result="granted"} 8`,
	} {
		if !slices.Contains(strings.Split(answer.Body.String(), "\n"), want) {
			t.Errorf("no line %s in\n%s", want, answer.Body)
		}
	}
}
