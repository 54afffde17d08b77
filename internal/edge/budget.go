package edge

import (
	"sync"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// budgetShare is the part of the budget that is earned and saved up; the rest is what
// nodes that start begin with.
const budgetShare = 0.9

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
	mutex  sync.RWMutex
	groups map[string]*decision.TokenBudget
	// nodes and terms are what the budgets were worked out for.
	nodes *topology.Nodes
	terms budgetTerms
}

type budgetTerms struct{ ratio, slack float64 }

func newBudgets(board *blackboard.Board, bounds func() BoundsSettings) *budgets {
	return &budgets{board: board, bounds: bounds, groups: make(map[string]*decision.TokenBudget)}
}

// of returns the budget of a group.
func (b *budgets) of(group string) decision.Budget {
	nodes := b.board.Nodes.Load()
	bounds := b.bounds()
	terms := budgetTerms{bounds.RetryRatio, bounds.RetrySlack}
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
			known.Configure(budgetShare*terms.ratio, b.burst())
		}
	}
	if b.groups[group] == nil {
		b.groups[group] = decision.NewFilledBudget(budgetShare*terms.ratio, b.burst(), b.saved(), retryReserve)
	}
	return b.groups[group]
}

// saved is what a new budget begins with: a part of the slack that no budget saves up. An
// earlier life of this node may have spent its own part in the same window: with full
// budgets three starts of six nodes granted 450 repeats for 1,800 requests, of 412 allowed.
func (b *budgets) saved() float64 { return b.part((1 - budgetShare) * b.terms.slack) }

// burst is this node's part of the slack.
func (b *budgets) burst() float64 { return b.part(budgetShare * b.terms.slack) }

// part is this node's part of what all nodes have. While no other node is known there may
// be many, and it has none.
func (b *budgets) part(slack float64) float64 {
	if b.nodes == nil {
		return 0
	}
	standby := len(b.nodes.Nodes) - len(b.nodes.Entries)
	switch {
	case standby <= 0:
		return slack / float64(b.nodes.Shared)
	case b.nodes.SelfIsEntry():
		return (1 - standbyShare) * slack / float64(b.nodes.Shared)
	default:
		return standbyShare * slack / float64(standby)
	}
}
