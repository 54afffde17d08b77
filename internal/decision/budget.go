package decision

import (
	"math"
	"sync/atomic"
)

// Budget grants hedges and retries.
type Budget interface {
	// Deposit is called once for each first attempt.
	Deposit()
	// Withdraw asks for one more attempt.
	Withdraw() bool
}

// tokenScale is the number of budget units in one attempt.
const tokenScale = 1000

// TokenBudget is a token bucket fed by first attempts. It is safe for
// concurrent use.
type TokenBudget struct {
	units   atomic.Int64
	deposit atomic.Int64
	burst   atomic.Int64
}

// NewTokenBudget makes a full bucket: ratio tokens are earned by each first
// attempt, and at most burst are saved up.
func NewTokenBudget(ratio, burst float64) *TokenBudget {
	budget := &TokenBudget{}
	budget.Configure(ratio, burst)
	budget.units.Store(budget.burst.Load())
	return budget
}

// Configure changes the ratio and the burst; tokens saved up are kept as far
// as the new burst allows.
func (b *TokenBudget) Configure(ratio, burst float64) {
	b.deposit.Store(int64(math.Round(ratio * tokenScale)))
	b.burst.Store(int64(math.Round(burst * tokenScale)))
}

// Deposit adds what one first attempt earns.
func (b *TokenBudget) Deposit() {
	deposit, burst := b.deposit.Load(), b.burst.Load()
	for {
		units := b.units.Load()
		next := min(units+deposit, burst)
		if next == units || b.units.CompareAndSwap(units, next) {
			return
		}
	}
}

// Withdraw takes one token if there is one.
func (b *TokenBudget) Withdraw() bool {
	for {
		units := b.units.Load()
		if units < tokenScale {
			return false
		}
		if b.units.CompareAndSwap(units, units-tokenScale) {
			return true
		}
	}
}
