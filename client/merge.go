package client

import (
	"cmp"
	"slices"
)

// SortHits sorts hits into the order of answers: the highest rank first, or
// the earliest time first. Ties go by index and then by ID, so that the order
// is the same whichever shard answered first.
func SortHits(hits []Hit, order Order) {
	slices.SortFunc(hits, func(a, b Hit) int { return CompareHits(&a, &b, order) })
}

// CompareHits returns a negative number when a comes before b in an order, a
// positive one when it comes after, and 0 for the same hit.
func CompareHits(a, b *Hit, order Order) int {
	if first := compareMainKey(a, b, order); first != 0 {
		return first
	}
	if byIndex := cmp.Compare(a.Index, b.Index); byIndex != 0 {
		return byIndex
	}
	return cmp.Compare(a.ID, b.ID)
}

func compareMainKey(a, b *Hit, order Order) int {
	if order == OrderTime {
		return cmp.Compare(a.TimeMilliseconds, b.TimeMilliseconds)
	}
	return cmp.Compare(b.Rank, a.Rank)
}
