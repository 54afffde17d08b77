package query_test

import (
	"testing"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/policy"
)

// BenchmarkResolve reads the policy table as a query does.
func BenchmarkResolve(b *testing.B) {
	table := &policy.Table{
		Policies: []policy.Row{{Name: "a"}, {Name: "b"}},
		Assignments: []policy.Assignment{{Group: "gate", Shares: []policy.Share{
			{Policy: "a", Weight: 1}, {Policy: "b", Weight: 1},
		}}},
	}
	board := &blackboard.Board{}
	board.PolicyTable.Publish(policy.NewIndex(table))
	b.ReportAllocs()
	for b.Loop() {
		if board.PolicyTable.Load().Resolve("gate", "console-17") == nil {
			b.Fatal("no policy")
		}
	}
}
