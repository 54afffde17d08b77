package decision

import (
	"math"
	"sync/atomic"
)

// Budget limits hedges and retries.
type Budget interface {
	// Deposit is called once for each first attempt.
	Deposit()
	// Withdraw reports whether a retry is granted.
	Withdraw() bool
	// WithdrawHedge reports whether a hedge is granted.
	WithdrawHedge() bool
	// Refund returns a granted retry that was not sent.
	Refund()
}

// minBurst is the minimum capacity of a bucket, in tokens.
const minBurst = 1

// unitsPerToken is the resolution of the bucket.
const unitsPerToken = 1000

// TokenBudget is a token bucket that is refilled by first attempts. It is safe
// for concurrent use.
type TokenBudget struct {
	units   atomic.Int64
	deposit atomic.Int64
	burst   atomic.Int64
	// reserve is the fraction of the burst that hedges leave for retries.
	reserve float64

	// Totals since the budget was created.
	firstAttempts, retries, hedges, deniedRetries, deniedHedges atomic.Int64
}

// BudgetUsage is a budget's balance and its totals since it was created.
type BudgetUsage struct {
	// Tokens is the balance; each retry or hedge costs one. Burst is its maximum.
	Tokens float64 `json:"tokens"`
	Burst  float64 `json:"burst"`
	// FirstAttempts counts the deposits, Retries and Hedges the granted
	// withdrawals.
	FirstAttempts int64 `json:"first_attempts"`
	Retries       int64 `json:"retries"`
	Hedges        int64 `json:"hedges"`
	// DeniedRetries and DeniedHedges count the denied withdrawals. A denied hedge
	// is requested again, so it may be counted several times.
	DeniedRetries int64 `json:"denied_retries"`
	DeniedHedges  int64 `json:"denied_hedges"`
}

// Add returns the sum of two usages.
func (u BudgetUsage) Add(other BudgetUsage) BudgetUsage {
	return BudgetUsage{
		Tokens: u.Tokens + other.Tokens, Burst: u.Burst + other.Burst,
		FirstAttempts: u.FirstAttempts + other.FirstAttempts,
		Retries:       u.Retries + other.Retries, Hedges: u.Hedges + other.Hedges,
		DeniedRetries: u.DeniedRetries + other.DeniedRetries, DeniedHedges: u.DeniedHedges + other.DeniedHedges,
	}
}

// Granted returns the number of retries and hedges that were granted.
func (u BudgetUsage) Granted() int64 { return u.Retries + u.Hedges }

// Denied returns the number of retries and hedges that were denied.
func (u BudgetUsage) Denied() int64 { return u.DeniedRetries + u.DeniedHedges }

// Exhausted reports whether a retry would be denied now.
func (u BudgetUsage) Exhausted() bool { return u.Tokens < 1 }

// NewTokenBudget returns a full bucket. Each first attempt adds ratio tokens, up
// to burst.
func NewTokenBudget(ratio, burst float64) *TokenBudget {
	return NewTokenBudgetWithReserve(ratio, burst, defaultReserve)
}

// NewTokenBudgetWithReserve is NewTokenBudget with the fraction of the burst that
// hedges leave for retries.
func NewTokenBudgetWithReserve(ratio, burst, reserve float64) *TokenBudget {
	return NewTokenBudgetWithBalance(ratio, burst, burst, reserve)
}

// NewTokenBudgetWithBalance is NewTokenBudgetWithReserve with an initial balance.
func NewTokenBudgetWithBalance(ratio, burst, balance, reserve float64) *TokenBudget {
	budget := &TokenBudget{reserve: reserve}
	budget.Configure(ratio, burst)
	budget.units.Store(int64(math.Round(balance * unitsPerToken)))
	return budget
}

// Configure changes the ratio and the burst. The balance is kept; deposits cap it
// at the new burst. A burst of less than one token is raised to one, as nothing
// could be granted otherwise.
func (b *TokenBudget) Configure(ratio, burst float64) {
	b.deposit.Store(int64(math.Round(ratio * unitsPerToken)))
	b.burst.Store(int64(math.Round(max(burst, minBurst) * unitsPerToken)))
}

// Usage returns the balance and the totals.
func (b *TokenBudget) Usage() BudgetUsage {
	return BudgetUsage{
		Tokens: float64(b.units.Load()) / unitsPerToken, Burst: float64(b.burst.Load()) / unitsPerToken,
		FirstAttempts: b.firstAttempts.Load(),
		Retries:       b.retries.Load(), Hedges: b.hedges.Load(),
		DeniedRetries: b.deniedRetries.Load(), DeniedHedges: b.deniedHedges.Load(),
	}
}

// Deposit implements Budget.
func (b *TokenBudget) Deposit() {
	b.firstAttempts.Add(1)
	b.add(b.deposit.Load())
}

// Refund implements Budget.
func (b *TokenBudget) Refund() {
	b.retries.Add(-1)
	b.add(unitsPerToken)
}

// add increases the balance up to the burst.
func (b *TokenBudget) add(added int64) {
	burst := b.burst.Load()
	for {
		units := b.units.Load()
		next := min(units+added, burst)
		if next == units || b.units.CompareAndSwap(units, next) {
			return
		}
	}
}

// defaultReserve is the default fraction of the burst that is reserved for
// retries: a retry recovers a shard's answer, a hedge only reduces its latency.
const defaultReserve = 0.5

// Withdraw implements Budget.
func (b *TokenBudget) Withdraw() bool {
	return countWithdrawal(b.withdraw(0), &b.retries, &b.deniedRetries)
}

// WithdrawHedge implements Budget. It leaves the reserve for retries.
func (b *TokenBudget) WithdrawHedge() bool {
	granted := b.withdraw(int64(b.reserve * float64(b.burst.Load())))
	return countWithdrawal(granted, &b.hedges, &b.deniedHedges)
}

// countWithdrawal adds a withdrawal to its total and returns granted.
func countWithdrawal(granted bool, grants, denials *atomic.Int64) bool {
	if granted {
		grants.Add(1)
	} else {
		denials.Add(1)
	}
	return granted
}

// withdraw takes one token if the balance covers it and the reserve, or if the
// bucket is full.
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
