package edge

import (
	"sync"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// budgetShare is the part of the budget that is used; the rest is for nodes
// that start anew with a budget of their own.
const budgetShare = 0.9

// retryReserve is the share of the slack that hedges leave to retries.
const retryReserve = 0.2

// budgets holds this node's part of the retry budget of each replica group.
// All nodes together may retry a share of the group's requests and a slack
// besides: each earns the share on its own requests, and has an equal part of
// the slack.
type budgets struct {
	board  *blackboard.Board
	ratio  float64
	slack  float64
	mutex  sync.RWMutex
	groups map[string]*decision.TokenBudget
	nodes  *topology.Nodes
}

func newBudgets(board *blackboard.Board, bounds BoundsSettings) *budgets {
	return &budgets{
		board: board, ratio: bounds.RetryRatio, slack: bounds.RetrySlack,
		groups: make(map[string]*decision.TokenBudget),
	}
}

// of returns the budget of a group.
func (b *budgets) of(group string) decision.Budget {
	nodes := b.board.Nodes.Load()
	b.mutex.RLock()
	budget, current := b.groups[group], b.nodes == nodes
	b.mutex.RUnlock()
	if budget != nil && current {
		return budget
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.nodes != nodes {
		b.nodes = nodes
		for _, known := range b.groups {
			known.Configure(budgetShare*b.ratio, b.burst())
		}
	}
	if b.groups[group] == nil {
		b.groups[group] = decision.NewReservingBudget(budgetShare*b.ratio, b.burst(), retryReserve)
	}
	return b.groups[group]
}

// burst is this node's part of the slack.
func (b *budgets) burst() float64 {
	shared := 1
	if b.nodes != nil {
		shared = b.nodes.Shared
	}
	return budgetShare * b.slack / float64(shared)
}
