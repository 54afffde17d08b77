package edge

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// The split of the retry budget. What all nodes grant in a window is the sum of what they earn
// in it, what they had accumulated before, and the initial tokens of the nodes that start in it.
// These shares keep that sum within the bound while each node starts once per window; the part
// of the ratio that is not earned allows for further starts.
const (
	// earnedShare is the share of the ratio that each request earns.
	earnedShare = 0.9
	// burstShare is the share of the slack that can be accumulated.
	burstShare = 0.8
	// initialShare is the share of the slack that a node starts with in its first window,
	// as its previous process may have spent its part of the slack in the same window: with
	// full budgets, three starts of six nodes granted 450 retries where 412 are allowed. Later
	// budgets start full, as the first requests of a node that starts long before its callers
	// come need hedges too.
	initialShare = 1 - burstShare
)

// retryReserve is the share of the slack that hedges leave to retries. Without it, hedges can
// use up the budget while many replicas are slow, and requests fail as no retry is left
// (docs/ROUNDS.md).
const retryReserve = 0.2

// standbyShare is the share of the slack for nodes that callers are not directed to; some
// callers use them nevertheless.
const standbyShare = 0.2

// budgets holds this node's part of the retry budget of each replica group. All nodes together
// may retry a ratio of the group's requests plus a slack: each node earns the ratio on its own
// requests, and the slack is divided equally among the entry nodes.
type budgets struct {
	board     *blackboard.Board
	bounds    func() BoundsSettings
	startedAt time.Time
	now       func() time.Time
	mutex     sync.RWMutex
	groups    map[string]*decision.TokenBudget
	// nodes and params are the inputs that the groups' budgets were computed from.
	nodes  *topology.Nodes
	params budgetParams
}

type budgetParams struct {
	ratio, slack float64
	window       time.Duration
}

// newBudgets returns the budgets of a node that starts now.
func newBudgets(board *blackboard.Board, bounds func() BoundsSettings, now func() time.Time) *budgets {
	return &budgets{board: board, bounds: bounds, startedAt: now(), now: now, groups: make(map[string]*decision.TokenBudget)}
}

// forGroup returns the budget of a group, reconfigured if the nodes or the bounds have changed.
func (b *budgets) forGroup(group string) decision.Budget {
	nodes := b.board.Nodes.Load()
	bounds := b.bounds()
	params := budgetParams{bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow}
	b.mutex.RLock()
	budget, current := b.groups[group], b.nodes == nodes && b.params == params
	b.mutex.RUnlock()
	if budget != nil && current {
		return budget
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.nodes != nodes || b.params != params {
		b.nodes, b.params = nodes, params
		for _, known := range b.groups {
			known.Configure(earnedShare*params.ratio, b.burst())
		}
	}
	if b.groups[group] == nil {
		b.groups[group] = decision.NewTokenBudgetWithBalance(earnedShare*params.ratio, b.burst(), b.initialTokens(), retryReserve)
	}
	return b.groups[group]
}

func (b *budgets) initialTokens() float64 {
	if b.params.window > 0 && b.now().Sub(b.startedAt) >= b.params.window {
		return b.burst()
	}
	return b.nodeShare(initialShare * b.params.slack)
}

func (b *budgets) burst() float64 { return b.nodeShare(burstShare * b.params.slack) }

// nodeShare returns this node's share of a slack that is divided among all nodes. It is 0 while
// the nodes are unknown, as there may be many.
func (b *budgets) nodeShare(slack float64) float64 {
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
