package decision

import "testing"

// TestAPartUnderOneTokenIsEarned: a node whose part of a slack is under one
// token has none at its start, and saves up one from its own requests.
func TestAPartUnderOneTokenIsEarned(t *testing.T) {
	budget := NewReservingBudget(0.2, 0.4, 0.2)
	if budget.Withdraw() {
		t.Fatal("a retry from less than one token")
	}
	for range 3 {
		budget.Deposit()
	}
	if !budget.WithdrawHedge() {
		t.Error("no hedge after one token was earned")
	}
	for range 100 {
		budget.Deposit()
	}
	if !budget.Withdraw() || budget.Withdraw() {
		t.Error("not just one token was saved up")
	}
}
