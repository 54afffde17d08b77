package policytable

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// Edit is a change requested by an operator. It is applied atomically.
type Edit struct {
	// ID identifies the change; applying the same ID again has no effect. If it
	// is empty, a new ID is generated.
	ID string `json:"id" yaml:"id"`
	// Author is the name of the operator.
	Author string `json:"author" yaml:"author"`
	// ExpectedRevision is the table revision that the edit is based on. The rows
	// to be changed must not have changed since. 0 disables the check.
	ExpectedRevision  uint64              `json:"expected_revision" yaml:"expected_revision"`
	SetPolicies       []policy.Row        `json:"set_policies" yaml:"policies"`
	DeletePolicies    []string            `json:"delete_policies" yaml:"delete_policies"`
	SetAssignments    []policy.Assignment `json:"set_assignments" yaml:"assignments"`
	DeleteAssignments []string            `json:"delete_assignments" yaml:"delete_assignments"`
}

// The kinds of items in a table, as written in summaries.
const (
	itemPolicy     = "policy"
	itemAssignment = "assignment"
)

// changedItem is an item that an edit changes.
type changedItem struct {
	item, name string
	// revision is the table revision that last changed the item, or 0 if it is
	// new.
	revision uint64
}

// editResult is the result of applying an edit to a table.
type editResult struct {
	table   *policy.Table
	changed []changedItem
	summary []string
}

// apply returns the table that results from applying the edit to old. Unchanged rows
// keep their revision.
func (e *Edit) apply(old *policy.Table, revision uint64) (editResult, error) {
	result := editResult{table: &policy.Table{
		Revision:    revision,
		Policies:    slices.Clone(old.Policies),
		Assignments: slices.Clone(old.Assignments),
		LastChange:  old.LastChange,
	}}
	for _, row := range e.SetPolicies {
		result.setPolicy(row)
	}
	for _, assignment := range e.SetAssignments {
		result.setAssignment(assignment)
	}
	for _, group := range e.DeleteAssignments {
		if err := result.deleteAssignment(group); err != nil {
			return editResult{}, err
		}
	}
	for _, name := range e.DeletePolicies {
		if err := result.deletePolicy(name); err != nil {
			return editResult{}, err
		}
	}
	result.sort()
	return result, nil
}

func (a *editResult) addChange(item, name string, revision uint64, lines ...string) {
	a.changed = append(a.changed, changedItem{item: item, name: name, revision: revision})
	a.summary = append(a.summary, lines...)
}

func (a *editResult) setPolicy(row policy.Row) {
	at := slices.IndexFunc(a.table.Policies, func(old policy.Row) bool { return old.Name == row.Name })
	row.Revision = a.table.Revision
	if at < 0 {
		a.table.Policies = append(a.table.Policies, row)
		a.addChange(itemPolicy, row.Name, 0, createdLine(itemPolicy, row.Name))
		return
	}
	old := a.table.Policies[at]
	lines := diffRows(itemPolicy, row.Name, old, row)
	if len(lines) == 0 {
		return
	}
	a.table.Policies[at] = row
	a.addChange(itemPolicy, row.Name, old.Revision, lines...)
}

func (a *editResult) setAssignment(assignment policy.Assignment) {
	at := slices.IndexFunc(a.table.Assignments, func(old policy.Assignment) bool { return old.Group == assignment.Group })
	assignment.Revision = a.table.Revision
	if at < 0 {
		a.table.Assignments = append(a.table.Assignments, assignment)
		a.addChange(itemAssignment, assignment.Group, 0, createdLine(itemAssignment, assignment.Group)+": "+describeShares(assignment.Shares))
		return
	}
	old := a.table.Assignments[at]
	if slices.Equal(old.Shares, assignment.Shares) {
		return
	}
	a.table.Assignments[at] = assignment
	line := fmt.Sprintf("assignment %q: %s -> %s", assignment.Group, describeShares(old.Shares), describeShares(assignment.Shares))
	a.addChange(itemAssignment, assignment.Group, old.Revision, line)
}

func (a *editResult) deletePolicy(name string) error {
	at := slices.IndexFunc(a.table.Policies, func(old policy.Row) bool { return old.Name == name })
	if at < 0 {
		return failure.New(failure.NotFound, fmt.Sprintf("delete policy %q: policy does not exist", name))
	}
	for _, assignment := range a.table.Assignments {
		if slices.ContainsFunc(assignment.Shares, func(share policy.Share) bool { return share.Policy == name }) {
			return failure.New(failure.InvalidRequest,
				fmt.Sprintf("delete policy %q: in use by group %q", name, assignment.Group))
		}
	}
	a.addChange(itemPolicy, name, a.table.Policies[at].Revision, deletedLine(itemPolicy, name))
	a.table.Policies = slices.Delete(a.table.Policies, at, at+1)
	return nil
}

func (a *editResult) deleteAssignment(group string) error {
	at := slices.IndexFunc(a.table.Assignments, func(old policy.Assignment) bool { return old.Group == group })
	if at < 0 {
		return failure.New(failure.NotFound, fmt.Sprintf("delete assignment %q: assignment does not exist", group))
	}
	a.addChange(itemAssignment, group, a.table.Assignments[at].Revision, deletedLine(itemAssignment, group))
	a.table.Assignments = slices.Delete(a.table.Assignments, at, at+1)
	return nil
}

func (a *editResult) sort() {
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

// field is a leaf of the JSON encoding of a row.
type field struct {
	path, value string
}

// revisionPath is the field that is set by the editor and left out of summaries.
const revisionPath = "revision"

// diffRows returns one line for each field in which two rows differ.
func diffRows(item, name string, old, changed policy.Row) []string {
	before, after := rowFields(old), rowFields(changed)
	var lines []string
	for _, current := range after {
		previous := fieldValue(before, current.path)
		if previous != current.value {
			lines = append(lines, fmt.Sprintf("%s %q: %s %s -> %s", item, name, current.path, previous, current.value))
		}
	}
	for _, previous := range before {
		if !slices.ContainsFunc(after, func(current field) bool { return current.path == previous.path }) {
			lines = append(lines, fmt.Sprintf("%s %q: %s %s -> %s", item, name, previous.path, previous.value, noValue))
		}
	}
	return lines
}

const noValue = "(none)"

func fieldValue(fields []field, path string) string {
	for _, leaf := range fields {
		if leaf.path == path {
			return leaf.value
		}
	}
	return noValue
}

// rowFields returns the leaves of the JSON encoding of a row, sorted by path.
func rowFields(row policy.Row) []field {
	body, err := json.Marshal(row)
	if err != nil {
		return []field{{path: "json", value: err.Error()}} // NaN or infinity, rejected by policy.Validate
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
