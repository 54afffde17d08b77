package client

import (
	"cmp"
	"slices"
)

// SortHits sorts hits by descending rank or by ascending time. Ties are broken by
// index and then by ID, so that the order does not depend on which shard answered
// first.
func SortHits(hits []Hit, order Order) {
	slices.SortFunc(hits, func(a, b Hit) int { return CompareHits(&a, &b, order) })
}

// CompareHits returns a negative number if a sorts before b, a positive number if
// it sorts after b, and 0 if both are the same hit.
func CompareHits(a, b *Hit, order Order) int {
	if byPrimaryKey := comparePrimaryKey(a, b, order); byPrimaryKey != 0 {
		return byPrimaryKey
	}
	if byIndex := cmp.Compare(a.Index, b.Index); byIndex != 0 {
		return byIndex
	}
	return cmp.Compare(a.ID, b.ID)
}

func comparePrimaryKey(a, b *Hit, order Order) int {
	if order == OrderTime {
		return cmp.Compare(a.TimeMilliseconds, b.TimeMilliseconds)
	}
	return cmp.Compare(b.Rank, a.Rank)
}
