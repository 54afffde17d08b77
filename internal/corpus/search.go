package corpus

import (
	"slices"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/catalogue"
)

// DefaultLimit is the number of hits returned when a query sets no limit.
const DefaultLimit = 100

// Search scans all records and returns the sorted hits, truncated to the
// query's limit. The query's Corpus and Indexes restrict the scan if set.
func Search(records []Record, query client.Query) []client.Hit {
	matcher := NewMatcher(query.Phrase, query.Card)
	var hits []client.Hit
	for i := range records {
		if !inScope(query, &records[i]) {
			continue
		}
		if rank, matched := matcher.Match(&records[i]); matched {
			hits = append(hits, records[i].Hit(rank))
		}
	}
	client.SortHits(hits, EffectiveOrder(query))
	return Truncate(hits, query.Limit)
}

// EffectiveOrder returns the query's order or, if it is unset, the default: by
// time for cards and by rank for phrases.
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

// Truncate returns the first limit hits. A limit of zero or less means
// DefaultLimit.
func Truncate(hits []client.Hit, limit int) []client.Hit {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return hits[:min(limit, len(hits))]
}

func inScope(query client.Query, record *Record) bool {
	if query.Corpus != "" && query.Corpus != record.Corpus {
		return false
	}
	return len(query.Indexes) == 0 || slices.Contains(query.Indexes, record.Index)
}

// Partition distributes the records of one index over shards by document.
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

// Indexes returns the sorted names of the indexes of one corpus.
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
