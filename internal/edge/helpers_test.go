package edge

import (
	"io"
	"log/slog"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

func textLogger(out io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(out, nil)) }

// testBoard builds a blackboard with a number of nodes.
type testBoard struct{ board blackboard.Board }

func (b *testBoard) withNodes(nodes int) *blackboard.Board {
	b.board.Nodes.Publish(&topology.Nodes{BudgetShares: nodes})
	return &b.board
}
