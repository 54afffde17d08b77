package decision

import "testing"

// A burst of less than one token grants nothing at first, but must not keep
// deposits from adding up to a token.
func TestTokenBudgetFractionalBurst(t *testing.T) {
	budget := NewTokenBudgetWithReserve(0.2, 0.4, 0.2)
	if budget.Withdraw() {
		t.Fatal("retry granted with less than one token")
	}
	for range 3 {
		budget.Deposit()
	}
	if !budget.WithdrawHedge() {
		t.Error("hedge denied after one token was deposited")
	}
	for range 100 {
		budget.Deposit()
	}
	if !budget.Withdraw() || budget.Withdraw() {
		t.Error("balance is not exactly one token")
	}
}

func TestTokenBudgetUsage(t *testing.T) {
	budget := NewTokenBudgetWithBalance(0.5, 10, 4, 0.2)
	budget.Deposit()
	budget.Deposit() // 5 tokens, of which 2 are reserved for retries
	for budget.WithdrawHedge() {
	}
	for budget.Withdraw() {
	}
	got := budget.Usage()
	want := BudgetUsage{Tokens: 0, Burst: 10, FirstAttempts: 2, Retries: 2, Hedges: 3, DeniedRetries: 1, DeniedHedges: 1}
	if got != want {
		t.Errorf("usage %+v, want %+v", got, want)
	}
	if !got.Exhausted() || got.Granted() != 5 || got.Denied() != 2 {
		t.Errorf("exhausted %t, %d granted, %d denied", got.Exhausted(), got.Granted(), got.Denied())
	}
	doubled := BudgetUsage{Tokens: 0, Burst: 20, FirstAttempts: 4, Retries: 4, Hedges: 6, DeniedRetries: 2, DeniedHedges: 2}
	if sum := got.Add(got); sum != doubled {
		t.Errorf("sum %+v, want %+v", sum, doubled)
	}
}
