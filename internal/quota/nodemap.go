package quota

import (
	"iter"
	"slices"
)

// nodeMap maps IDs of nodes to values. It is iterated in a fixed order, so that sums of floating
// point numbers and decisions that depend on the order are the same in each run with a seed.
type nodeMap[T any] struct {
	ids    []uint64
	values []T
}

// get returns the zero value if there is none.
func (m *nodeMap[T]) get(id uint64) (value T) {
	if i, found := slices.BinarySearch(m.ids, id); found {
		return m.values[i]
	}
	return value
}

func (m *nodeMap[T]) set(id uint64, value T) {
	i, found := slices.BinarySearch(m.ids, id)
	if found {
		m.values[i] = value
		return
	}
	m.ids, m.values = slices.Insert(m.ids, i, id), slices.Insert(m.values, i, value)
}

func (m *nodeMap[T]) remove(id uint64) {
	if i, found := slices.BinarySearch(m.ids, id); found {
		m.ids, m.values = slices.Delete(m.ids, i, i+1), slices.Delete(m.values, i, i+1)
	}
}

func (m *nodeMap[T]) len() int { return len(m.ids) }

// all iterates by descending ID. The present entry may be removed meanwhile.
func (m *nodeMap[T]) all() iter.Seq2[uint64, T] {
	return func(yield func(uint64, T) bool) {
		for i := len(m.ids) - 1; i >= 0; i-- {
			if !yield(m.ids[i], m.values[i]) {
				return
			}
		}
	}
}
