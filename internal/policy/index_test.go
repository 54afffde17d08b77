package policy

import (
	"fmt"
	"testing"
)

func splitTable() *Table {
	return &Table{
		Policies: []Row{{Name: "a"}, {Name: "b"}, {Name: "fallback"}},
		Assignments: []Assignment{
			{Group: "gate", Shares: []Share{{"a", 3}, {"b", 1}}},
			{Group: DefaultGroup, Shares: []Share{{"fallback", 1}}},
		},
	}
}

func TestResolve(t *testing.T) {
	index := NewIndex(splitTable())
	cases := []struct{ name, group, caller, want string }{
		{"group without an assignment", "clerk", "1", "fallback"},
		{"same caller", "gate", "console-1", index.Resolve("gate", "console-1").Name},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := index.Resolve(test.group, test.caller).Name; got != test.want {
				t.Errorf("policy %s, want %s", got, test.want)
			}
		})
	}
	if row := NewIndex(&Table{}).Resolve("gate", "1"); row != nil {
		t.Errorf("empty table resolved to %v, want nil", row)
	}
}

func TestResolveSplitsByWeight(t *testing.T) {
	first, second := NewIndex(splitTable()), NewIndex(splitTable())
	const callers = 10_000
	got := 0
	for i := range callers {
		caller := fmt.Sprintf("console-%d", i)
		row := first.Resolve("gate", caller)
		if row.Name != second.Resolve("gate", caller).Name {
			t.Fatalf("two indexes of the same table resolve %s to different policies", caller)
		}
		if row.Name == "a" {
			got++
		}
	}
	const want, tolerance = callers * 3 / 4, callers / 50
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("%d of %d callers got the policy with 3/4 of the weight, want %d within %d", got, callers, want, tolerance)
	}
}
