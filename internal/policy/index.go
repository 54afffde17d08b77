package policy

import "github.com/cespare/xxhash/v2"

// Index is a Table indexed for fast lookups. It is immutable.
type Index struct {
	Table       *Table
	rows        map[string]*Row
	assignments map[string]*assignment
}

type assignment struct {
	rows    []*Row
	weights []uint64
	total   uint64
}

// NewIndex returns an index of a valid table.
func NewIndex(table *Table) *Index {
	index := &Index{
		Table:       table,
		rows:        make(map[string]*Row, len(table.Policies)),
		assignments: make(map[string]*assignment, len(table.Assignments)),
	}
	for i := range table.Policies {
		index.rows[table.Policies[i].Name] = &table.Policies[i]
	}
	for i := range table.Assignments {
		index.addAssignment(&table.Assignments[i])
	}
	return index
}

func (x *Index) addAssignment(source *Assignment) {
	indexed := &assignment{}
	for _, share := range source.Shares {
		row := x.rows[share.Policy]
		if row == nil {
			continue
		}
		indexed.rows = append(indexed.rows, row)
		indexed.weights = append(indexed.weights, uint64(share.Weight))
		indexed.total += uint64(share.Weight)
	}
	if indexed.total > 0 {
		x.assignments[source.Group] = indexed
	}
}

// Row returns the policy with a name, or nil.
func (x *Index) Row(name string) *Row { return x.rows[name] }

// Resolve returns the policy for a caller of a group. It uses the group's
// assignment, or else the default group's, and returns nil if there is neither.
// It does not allocate. A caller gets the same policy from every daemon with the
// same table revision.
func (x *Index) Resolve(group, caller string) *Row {
	assigned := x.assignments[group]
	if assigned == nil {
		assigned = x.assignments[DefaultGroup]
	}
	if assigned == nil {
		return nil
	}
	if len(assigned.rows) == 1 {
		return assigned.rows[0]
	}
	return assigned.pick(xxhash.Sum64String(caller))
}

// pick chooses a row by weight.
func (a *assignment) pick(hash uint64) *Row {
	offset := hash % a.total
	for i, weight := range a.weights {
		if offset < weight {
			return a.rows[i]
		}
		offset -= weight
	}
	return a.rows[len(a.rows)-1]
}
