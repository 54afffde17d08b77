package decision

import (
	"math"
	"sync/atomic"
)

// Budget grants hedges and retries.
type Budget interface {
	// Deposit is called once for each first attempt.
	Deposit()
	// Withdraw asks for a retry.
	Withdraw() bool
	// WithdrawHedge asks for a hedge.
	WithdrawHedge() bool
}

// leastBurst is the least number of tokens that may be saved up.
const leastBurst = 1

// tokenScale is the number of budget units in one attempt.
const tokenScale = 1000

// TokenBudget is a token bucket fed by first attempts. It is safe for
// concurrent use.
type TokenBudget struct {
	units   atomic.Int64
	deposit atomic.Int64
	burst   atomic.Int64
	// reserve is the share of the burst that hedges leave to retries.
	reserve float64
}

// NewTokenBudget makes a full bucket: ratio tokens are earned by each first
// attempt, and at most burst are saved up.
func NewTokenBudget(ratio, burst float64) *TokenBudget {
	return NewReservingBudget(ratio, burst, hedgeReserve)
}

// NewReservingBudget is NewTokenBudget with the share of the burst that hedges
// leave to retries.
func NewReservingBudget(ratio, burst, reserve float64) *TokenBudget {
	return NewFilledBudget(ratio, burst, burst, reserve)
}

// NewFilledBudget is NewReservingBudget with only so many tokens saved up at first.
func NewFilledBudget(ratio, burst, saved, reserve float64) *TokenBudget {
	budget := &TokenBudget{reserve: reserve}
	budget.Configure(ratio, burst)
	budget.units.Store(int64(math.Round(saved * tokenScale)))
	return budget
}

// Configure changes the ratio and the burst; tokens saved up are kept as far
// as the new burst allows. A burst under one token leaves room for one that was
// earned, as otherwise nothing could ever be granted.
func (b *TokenBudget) Configure(ratio, burst float64) {
	b.deposit.Store(int64(math.Round(ratio * tokenScale)))
	b.burst.Store(int64(math.Round(max(burst, leastBurst) * tokenScale)))
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

// hedgeReserve is the part of the burst that is left to retries: a retry saves
// a shard's answer, a hedge only its time.
const hedgeReserve = 0.5

// Withdraw takes one token if there is one.
func (b *TokenBudget) Withdraw() bool { return b.withdraw(0) }

// WithdrawHedge takes one token if there are more than retries may need.
func (b *TokenBudget) WithdrawHedge() bool {
	return b.withdraw(int64(b.reserve * float64(b.burst.Load())))
}

func (b *TokenBudget) withdraw(reserve int64) bool {
	for {
		units := b.units.Load()
		if units < min(tokenScale+reserve, b.burst.Load()) {
			return false
		}
		if b.units.CompareAndSwap(units, units-tokenScale) {
			return true
		}
	}
}
