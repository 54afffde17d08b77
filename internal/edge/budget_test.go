package edge

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// TestRestartsAddNothingToTheBudget: what all nodes grant for a group in one window stays
// within the ratio of its requests and the slack, though each of them starts anew with a
// budget of its own, and though they know no other node at first.
func TestRestartsAddNothingToTheBudget(t *testing.T) {
	const nodes, requestsEach = 6, 100
	bounds := BoundsSettings{RetryRatio: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second}
	knowing := (&testBoard{}).of(nodes)
	cases := []struct {
		name   string
		starts int
		board  *blackboard.Board
	}{
		{"no restart", 1, knowing},
		{"all restart twice", 3, knowing},
		{"all know no other node", 1, &blackboard.Board{}},
		{"all restart twice and know no other node", 3, &blackboard.Board{}},
		{"all stand by", 1, standbyBoard(nodes)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			granted, requests := 0, 0
			for range test.starts * nodes {
				budget := newBudgets(test.board, func() BoundsSettings { return bounds }, time.Now).of("g")
				for range requestsEach {
					budget.Deposit()
					requests++
					for budget.Withdraw() {
						granted++
					}
				}
			}
			if most := bounds.RetryRatio*float64(requests) + bounds.RetrySlack; float64(granted) > most {
				t.Errorf("%d repeats granted for %d requests, %.0f allowed", granted, requests, most)
			}
			if granted == 0 {
				t.Error("no repeat was granted")
			}
		})
	}
}

// TestABudgetIsFullAWindowAfterTheStart: what an earlier life of the node has spent is out
// of the window by then.
func TestABudgetIsFullAWindowAfterTheStart(t *testing.T) {
	const window = 10 * time.Second
	for _, test := range []struct {
		name   string
		age    time.Duration
		window time.Duration
		want   int
	}{
		{"just started", 0, window, 10},
		{"nearly a window ago", window - time.Second, window, 10},
		{"a window ago", window, window, 40},
		{"no window is stated", time.Hour, 0, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			bounds := BoundsSettings{RetryRatio: 0.2, RetrySlack: 50, RetryWindow: test.window}
			divided := newBudgets((&testBoard{}).of(1), func() BoundsSettings { return bounds }, func() time.Time { return now })
			now = now.Add(test.age)
			granted := 0
			for divided.of("g").Withdraw() {
				granted++
			}
			if granted != test.want {
				t.Errorf("%d granted, want %d", granted, test.want)
			}
		})
	}
}

// standbyBoard is that of a node to which no callers are led, with as many entry nodes.
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
