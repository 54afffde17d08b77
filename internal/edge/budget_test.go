package edge

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// Nodes that restart, or that know no other node yet, must not grant more retries in a window
// than the bound allows for all of them.
func TestBudgetWithinBoundAcrossRestarts(t *testing.T) {
	const nodes, requestsEach = 6, 100
	bounds := BoundsSettings{RetryRatio: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second}
	populated := (&testBoard{}).withNodes(nodes)
	cases := []struct {
		name   string
		starts int
		board  *blackboard.Board
	}{
		{"no restart", 1, populated},
		{"two restarts", 3, populated},
		{"nodes unknown", 1, &blackboard.Board{}},
		{"two restarts, nodes unknown", 3, &blackboard.Board{}},
		{"standby", 1, standbyBoard(nodes)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			granted, requests := 0, 0
			for range test.starts * nodes {
				budget := newBudgets(test.board, func() BoundsSettings { return bounds }, time.Now).forGroup("g")
				for range requestsEach {
					budget.Deposit()
					requests++
					for budget.Withdraw() {
						granted++
					}
				}
			}
			if most := bounds.RetryRatio*float64(requests) + bounds.RetrySlack; float64(granted) > most {
				t.Errorf("granted %d retries for %d requests, want at most %.0f", granted, requests, most)
			}
			if granted == 0 {
				t.Error("granted no retry")
			}
		})
	}
}

// A node's first budgets are reduced, as its previous process may have spent tokens in the same
// window.
func TestInitialTokensByAge(t *testing.T) {
	const window = 10 * time.Second
	for _, test := range []struct {
		name   string
		age    time.Duration
		window time.Duration
		want   int
	}{
		{"just started", 0, window, 10},
		{"shortly before the end of the window", window - time.Second, window, 10},
		{"after a window", window, window, 40},
		{"window unspecified", time.Hour, 0, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			bounds := BoundsSettings{RetryRatio: 0.2, RetrySlack: 50, RetryWindow: test.window}
			budgets := newBudgets((&testBoard{}).withNodes(1), func() BoundsSettings { return bounds }, func() time.Time { return now })
			now = now.Add(test.age)
			granted := 0
			for budgets.forGroup("g").Withdraw() {
				granted++
			}
			if granted != test.want {
				t.Errorf("granted %d retries, want %d", granted, test.want)
			}
		})
	}
}

// standbyBoard returns the board of a standby node beside a number of entry nodes.
func standbyBoard(entries int) *blackboard.Board {
	nodes := &topology.Nodes{Nodes: make([]topology.Node, entries+1), BudgetShares: entries}
	for i := range nodes.Nodes {
		nodes.Nodes[i].ID = string(rune('a' + i))
	}
	nodes.EntryNodes = nodes.Nodes[:entries]
	nodes.Self = nodes.Nodes[entries]
	board := &blackboard.Board{}
	board.Nodes.Publish(nodes)
	return board
}
