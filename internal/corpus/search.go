package corpus

import (
	"slices"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/catalogue"
)

// DefaultLimit is the number of hits returned when a query sets no limit.
const DefaultLimit = 100

// Search looks at every record in turn and returns the hits in the order of
// answers, at most the query's limit. Corpus and Indexes restrict it when set.
func Search(records []Record, query client.Query) []client.Hit {
	matcher := NewMatcher(query.Phrase, query.Card)
	var hits []client.Hit
	for i := range records {
		if !wanted(query, &records[i]) {
			continue
		}
		if rank, matched := matcher.Match(&records[i]); matched {
			hits = append(hits, records[i].Hit(rank))
		}
	}
	client.SortHits(hits, EffectiveOrder(query))
	return Truncate(hits, query.Limit)
}

// EffectiveOrder returns the query's order, or its default: by time for cards and by
// rank for phrases.
func EffectiveOrder(query client.Query) client.Order {
	switch {
	case query.Order != "":
		return query.Order
	case query.Card != "":
		return client.OrderTime
	default:
		return client.OrderRank
	}
}

// Truncate keeps the first hits up to a limit; 0 means DefaultLimit.
func Truncate(hits []client.Hit, limit int) []client.Hit {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return hits[:min(limit, len(hits))]
}

func wanted(query client.Query, record *Record) bool {
	if query.Corpus != "" && query.Corpus != record.Corpus {
		return false
	}
	return len(query.Indexes) == 0 || slices.Contains(query.Indexes, record.Index)
}

// Partition splits the records of one index over shards by their document.
func Partition(records []Record, index string, shards int) [][]Record {
	parts := make([][]Record, shards)
	for i := range records {
		if records[i].Index != index {
			continue
		}
		shard := catalogue.ShardOf(records[i].Document, shards)
		parts[shard] = append(parts[shard], records[i])
	}
	return parts
}

// Indexes returns the names of the indexes of one corpus in ascending order.
func Indexes(records []Record, corpusName string) []string {
	seen := make(map[string]bool)
	var names []string
	for i := range records {
		if records[i].Corpus == corpusName && !seen[records[i].Index] {
			seen[records[i].Index] = true
			names = append(names, records[i].Index)
		}
	}
	slices.Sort(names)
	return names
}
