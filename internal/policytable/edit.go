package policytable

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// Edit is one change wanted by an operator; all of it is applied, or nothing.
type Edit struct {
	// ID identifies the change: applying the same ID again has no further
	// effect. Empty means a new one.
	ID string `json:"id" yaml:"id"`
	// Author is who wants the change.
	Author string `json:"author" yaml:"author"`
	// ExpectedRevision, unless 0, is the table's revision that the author
	// saw: the rows touched must not have changed since.
	ExpectedRevision  uint64              `json:"expected_revision" yaml:"expected_revision"`
	SetPolicies       []policy.Row        `json:"set_policies" yaml:"policies"`
	DeletePolicies    []string            `json:"delete_policies" yaml:"delete_policies"`
	SetAssignments    []policy.Assignment `json:"set_assignments" yaml:"assignments"`
	DeleteAssignments []string            `json:"delete_assignments" yaml:"delete_assignments"`
}

// The kinds of items in a table, as they are named in summaries.
const (
	itemPolicy     = "policy"
	itemAssignment = "assignment"
)

// touched is one item that an edit changes.
type touched struct {
	item, name string
	// revision is the table's revision that last changed the item; 0 for a
	// new one.
	revision uint64
}

// applied is the result of an edit to a table.
type applied struct {
	table   *policy.Table
	touched []touched
	summary []string
}

// apply makes a new table from an old one. Rows that the edit does not change
// keep their revision.
func (e *Edit) apply(old *policy.Table, revision uint64) (applied, error) {
	result := applied{table: &policy.Table{
		Revision:    revision,
		Policies:    slices.Clone(old.Policies),
		Assignments: slices.Clone(old.Assignments),
		LastChange:  old.LastChange,
	}}
	for _, row := range e.SetPolicies {
		result.setPolicy(row)
	}
	for _, assigned := range e.SetAssignments {
		result.setAssignment(assigned)
	}
	for _, group := range e.DeleteAssignments {
		if err := result.deleteAssignment(group); err != nil {
			return applied{}, err
		}
	}
	for _, name := range e.DeletePolicies {
		if err := result.deletePolicy(name); err != nil {
			return applied{}, err
		}
	}
	result.sort()
	return result, nil
}

func (a *applied) touch(item, name string, revision uint64, lines ...string) {
	a.touched = append(a.touched, touched{item: item, name: name, revision: revision})
	a.summary = append(a.summary, lines...)
}

func (a *applied) setPolicy(row policy.Row) {
	at := slices.IndexFunc(a.table.Policies, func(old policy.Row) bool { return old.Name == row.Name })
	row.Revision = a.table.Revision
	if at < 0 {
		a.table.Policies = append(a.table.Policies, row)
		a.touch(itemPolicy, row.Name, 0, createdLine(itemPolicy, row.Name))
		return
	}
	old := a.table.Policies[at]
	lines := differences(itemPolicy, row.Name, old, row)
	if len(lines) == 0 {
		return
	}
	a.table.Policies[at] = row
	a.touch(itemPolicy, row.Name, old.Revision, lines...)
}

func (a *applied) setAssignment(assigned policy.Assignment) {
	at := slices.IndexFunc(a.table.Assignments, func(old policy.Assignment) bool { return old.Group == assigned.Group })
	assigned.Revision = a.table.Revision
	if at < 0 {
		a.table.Assignments = append(a.table.Assignments, assigned)
		a.touch(itemAssignment, assigned.Group, 0, createdLine(itemAssignment, assigned.Group)+": "+describeShares(assigned.Shares))
		return
	}
	old := a.table.Assignments[at]
	if slices.Equal(old.Shares, assigned.Shares) {
		return
	}
	a.table.Assignments[at] = assigned
	line := fmt.Sprintf("assignment %q: %s -> %s", assigned.Group, describeShares(old.Shares), describeShares(assigned.Shares))
	a.touch(itemAssignment, assigned.Group, old.Revision, line)
}

func (a *applied) deletePolicy(name string) error {
	at := slices.IndexFunc(a.table.Policies, func(old policy.Row) bool { return old.Name == name })
	if at < 0 {
		return failure.New(failure.NotFound, fmt.Sprintf("delete policy %q: there is no such policy", name))
	}
	for _, assigned := range a.table.Assignments {
		if slices.ContainsFunc(assigned.Shares, func(share policy.Share) bool { return share.Policy == name }) {
			return failure.New(failure.InvalidRequest,
				fmt.Sprintf("delete policy %q: group %q is assigned to it", name, assigned.Group))
		}
	}
	a.touch(itemPolicy, name, a.table.Policies[at].Revision, deletedLine(itemPolicy, name))
	a.table.Policies = slices.Delete(a.table.Policies, at, at+1)
	return nil
}

func (a *applied) deleteAssignment(group string) error {
	at := slices.IndexFunc(a.table.Assignments, func(old policy.Assignment) bool { return old.Group == group })
	if at < 0 {
		return failure.New(failure.NotFound, fmt.Sprintf("delete assignment %q: there is no such assignment", group))
	}
	a.touch(itemAssignment, group, a.table.Assignments[at].Revision, deletedLine(itemAssignment, group))
	a.table.Assignments = slices.Delete(a.table.Assignments, at, at+1)
	return nil
}

func (a *applied) sort() {
	slices.SortFunc(a.table.Policies, func(x, y policy.Row) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(a.table.Assignments, func(x, y policy.Assignment) int { return strings.Compare(x.Group, y.Group) })
}

func createdLine(item, name string) string { return fmt.Sprintf("%s %q created", item, name) }
func deletedLine(item, name string) string { return fmt.Sprintf("%s %q deleted", item, name) }

func describeShares(shares []policy.Share) string {
	parts := make([]string, 0, len(shares))
	for _, share := range shares {
		parts = append(parts, fmt.Sprintf("%s:%d", share.Policy, share.Weight))
	}
	return strings.Join(parts, " ")
}

// field is one leaf of a row's JSON.
type field struct {
	path, value string
}

// revisionPath is the field that is not the operators' to change.
const revisionPath = "revision"

// differences compares two rows field by field, one line a field.
func differences(item, name string, old, changed policy.Row) []string {
	before, after := fields(old), fields(changed)
	var lines []string
	for _, now := range after {
		was := valueOf(before, now.path)
		if was != now.value {
			lines = append(lines, fmt.Sprintf("%s %q: %s %s -> %s", item, name, now.path, was, now.value))
		}
	}
	for _, was := range before {
		if !slices.ContainsFunc(after, func(now field) bool { return now.path == was.path }) {
			lines = append(lines, fmt.Sprintf("%s %q: %s %s -> %s", item, name, was.path, was.value, noValue))
		}
	}
	return lines
}

const noValue = "(none)"

func valueOf(all []field, path string) string {
	for _, one := range all {
		if one.path == path {
			return one.value
		}
	}
	return noValue
}

// fields lists the leaves of a row's JSON, sorted by path.
func fields(row policy.Row) []field {
	body, err := json.Marshal(row)
	if err != nil {
		return []field{{path: "json", value: err.Error()}} // a number that JSON has not, refused by Validate
	}
	leaves := flatten(nil, "", body)
	leaves = slices.DeleteFunc(leaves, func(leaf field) bool { return leaf.path == revisionPath })
	slices.SortFunc(leaves, func(x, y field) int { return strings.Compare(x.path, y.path) })
	return leaves
}

func flatten(leaves []field, path string, body json.RawMessage) []field {
	var members map[string]json.RawMessage
	if json.Unmarshal(body, &members) != nil || members == nil {
		return append(leaves, field{path: path, value: strings.Trim(string(body), `"`)})
	}
	for name, member := range members {
		inner := name
		if path != "" {
			inner = path + "." + name
		}
		leaves = flatten(leaves, inner, member)
	}
	return leaves
}
