package edge

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// The parts of the budget. What all nodes grant in a window is what they earn in it, what
// they had saved up, and what those begin with that start in it. While each node starts
// once that is within the bound, whatever the number of requests; the part of the ratio
// that is not earned makes up for further starts.
const (
	// earnedShare of the ratio is earned by each request.
	earnedShare = 0.9
	// savedShare of the slack is saved up at most.
	savedShare = 0.8
	// startShare of the slack is what a node begins with that has run for less than a
	// window: an earlier life of it may have spent its part of the slack in the same one.
	// (With full budgets three starts of six nodes granted 450 repeats for 1,800 requests,
	// of 412 allowed.) With less, its first tens of requests have no hedge. After a window a
	// new budget is full: of the requests of the first 10 s of a traffic that begins 10 s
	// after 70 nodes do, 0.08 were late in place of 0.12.
	startShare = 1 - savedShare
)

// retryReserve is the share of the slack that hedges leave to retries. Without it,
// replicas that spoil answers while many are slow cost whole requests, as hedges have
// spent what a retry needs (docs/ROUNDS.md).
const retryReserve = 0.2

// standbyShare is the part of the slack that is left to the nodes to which
// callers are not led: some come to them all the same.
const standbyShare = 0.2

// budgets holds this node's part of the retry budget of each replica group.
// All nodes together may retry a share of the group's requests and a slack
// besides: each earns the share on its own requests, and has a part of the
// slack, equal among the entry nodes.
type budgets struct {
	board  *blackboard.Board
	bounds func() BoundsSettings
	// started is when the node did; now is the clock.
	started time.Time
	now     func() time.Time
	mutex   sync.RWMutex
	groups  map[string]*decision.TokenBudget
	// nodes and terms are what the budgets were worked out for.
	nodes *topology.Nodes
	terms budgetTerms
}

type budgetTerms struct {
	ratio, slack float64
	window       time.Duration
}

// newBudgets makes the budgets of a node that starts now.
func newBudgets(board *blackboard.Board, bounds func() BoundsSettings, now func() time.Time) *budgets {
	return &budgets{board: board, bounds: bounds, started: now(), now: now, groups: make(map[string]*decision.TokenBudget)}
}

// of returns the budget of a group.
func (b *budgets) of(group string) decision.Budget {
	nodes := b.board.Nodes.Load()
	bounds := b.bounds()
	terms := budgetTerms{bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow}
	b.mutex.RLock()
	budget, current := b.groups[group], b.nodes == nodes && b.terms == terms
	b.mutex.RUnlock()
	if budget != nil && current {
		return budget
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.nodes != nodes || b.terms != terms {
		b.nodes, b.terms = nodes, terms
		for _, known := range b.groups {
			known.Configure(earnedShare*terms.ratio, b.burst())
		}
	}
	if b.groups[group] == nil {
		b.groups[group] = decision.NewTokenBudgetWithBalance(earnedShare*terms.ratio, b.burst(), b.start(), retryReserve)
	}
	return b.groups[group]
}

// start is what a new budget begins with.
func (b *budgets) start() float64 {
	if b.terms.window > 0 && b.now().Sub(b.started) >= b.terms.window {
		return b.burst()
	}
	return b.part(startShare * b.terms.slack)
}

// burst is the most that this node saves up.
func (b *budgets) burst() float64 { return b.part(savedShare * b.terms.slack) }

// part is this node's part of what all nodes have. While no other node is known there may
// be many, and it has none.
func (b *budgets) part(slack float64) float64 {
	if b.nodes == nil {
		return 0
	}
	standby := len(b.nodes.Nodes) - len(b.nodes.EntryNodes)
	switch {
	case standby <= 0:
		return slack / float64(b.nodes.BudgetShares)
	case b.nodes.SelfIsEntry():
		return (1 - standbyShare) * slack / float64(b.nodes.BudgetShares)
	default:
		return standbyShare * slack / float64(standby)
	}
}
