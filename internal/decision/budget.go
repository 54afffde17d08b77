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

// minBurst is the least number of tokens that may be saved up.
const minBurst = 1

// unitsPerToken is the number of budget units in one attempt.
const unitsPerToken = 1000

// TokenBudget is a token bucket fed by first attempts. It is safe for
// concurrent use.
type TokenBudget struct {
	units   atomic.Int64
	deposit atomic.Int64
	burst   atomic.Int64
	// reserve is the share of the burst that hedges leave to retries.
	reserve float64

	// What has been asked of the budget since it was made.
	firstAttempts, retries, hedges, deniedRetries, deniedHedges atomic.Int64
}

// BudgetUsage is what a budget has left, and what has been asked of it since it was made.
type BudgetUsage struct {
	// Tokens are saved up, of Burst at most; one is a retry or a hedge.
	Tokens float64 `json:"tokens"`
	Burst  float64 `json:"burst"`
	// FirstAttempts have earned the budget, Retries and Hedges were granted.
	FirstAttempts int64 `json:"first_attempts"`
	Retries       int64 `json:"retries"`
	Hedges        int64 `json:"hedges"`
	// DeniedRetries and DeniedHedges found too few tokens. A hedge that is denied asks
	// again, so that one may be counted several times.
	DeniedRetries int64 `json:"denied_retries"`
	DeniedHedges  int64 `json:"denied_hedges"`
}

// Add adds up what two budgets say.
func (u BudgetUsage) Add(other BudgetUsage) BudgetUsage {
	return BudgetUsage{
		Tokens: u.Tokens + other.Tokens, Burst: u.Burst + other.Burst,
		FirstAttempts: u.FirstAttempts + other.FirstAttempts,
		Retries:       u.Retries + other.Retries, Hedges: u.Hedges + other.Hedges,
		DeniedRetries: u.DeniedRetries + other.DeniedRetries, DeniedHedges: u.DeniedHedges + other.DeniedHedges,
	}
}

// Granted counts the retries and hedges that were granted.
func (u BudgetUsage) Granted() int64 { return u.Retries + u.Hedges }

// Denied counts the demands that were denied.
func (u BudgetUsage) Denied() int64 { return u.DeniedRetries + u.DeniedHedges }

// Exhausted tells whether not even a retry would be granted now.
func (u BudgetUsage) Exhausted() bool { return u.Tokens < 1 }

// NewTokenBudget makes a full bucket: ratio tokens are earned by each first
// attempt, and at most burst are saved up.
func NewTokenBudget(ratio, burst float64) *TokenBudget {
	return NewTokenBudgetWithReserve(ratio, burst, defaultReserve)
}

// NewTokenBudgetWithReserve is NewTokenBudget with the share of the burst that hedges
// leave to retries.
func NewTokenBudgetWithReserve(ratio, burst, reserve float64) *TokenBudget {
	return NewTokenBudgetWithBalance(ratio, burst, burst, reserve)
}

// NewTokenBudgetWithBalance is NewReservingBudget with only so many tokens saved up at first.
func NewTokenBudgetWithBalance(ratio, burst, saved, reserve float64) *TokenBudget {
	budget := &TokenBudget{reserve: reserve}
	budget.Configure(ratio, burst)
	budget.units.Store(int64(math.Round(saved * unitsPerToken)))
	return budget
}

// Configure changes the ratio and the burst; tokens saved up are kept as far
// as the new burst allows. A burst under one token leaves room for one that was
// earned, as otherwise nothing could ever be granted.
func (b *TokenBudget) Configure(ratio, burst float64) {
	b.deposit.Store(int64(math.Round(ratio * unitsPerToken)))
	b.burst.Store(int64(math.Round(max(burst, minBurst) * unitsPerToken)))
}

// Usage returns what is left and what has been asked so far.
func (b *TokenBudget) Usage() BudgetUsage {
	return BudgetUsage{
		Tokens: float64(b.units.Load()) / unitsPerToken, Burst: float64(b.burst.Load()) / unitsPerToken,
		FirstAttempts: b.firstAttempts.Load(),
		Retries:       b.retries.Load(), Hedges: b.hedges.Load(),
		DeniedRetries: b.deniedRetries.Load(), DeniedHedges: b.deniedHedges.Load(),
	}
}

// Deposit adds what one first attempt earns.
func (b *TokenBudget) Deposit() {
	b.firstAttempts.Add(1)
	deposit, burst := b.deposit.Load(), b.burst.Load()
	for {
		units := b.units.Load()
		next := min(units+deposit, burst)
		if next == units || b.units.CompareAndSwap(units, next) {
			return
		}
	}
}

// defaultReserve is the part of the burst that is left to retries: a retry saves
// a shard's answer, a hedge only its time.
const defaultReserve = 0.5

// Withdraw takes one token if there is one.
func (b *TokenBudget) Withdraw() bool {
	return countWithdrawal(b.withdraw(0), &b.retries, &b.deniedRetries)
}

// WithdrawHedge takes one token if there are more than retries may need.
func (b *TokenBudget) WithdrawHedge() bool {
	granted := b.withdraw(int64(b.reserve * float64(b.burst.Load())))
	return countWithdrawal(granted, &b.hedges, &b.deniedHedges)
}

// countWithdrawal counts a demand and returns whether it was granted.
func countWithdrawal(granted bool, grants, denials *atomic.Int64) bool {
	if granted {
		grants.Add(1)
	} else {
		denials.Add(1)
	}
	return granted
}

func (b *TokenBudget) withdraw(reserve int64) bool {
	for {
		units := b.units.Load()
		if units < min(unitsPerToken+reserve, b.burst.Load()) {
			return false
		}
		if b.units.CompareAndSwap(units, units-unitsPerToken) {
			return true
		}
	}
}
