package corpus

import "github.com/doorpond/doorpond/client"

// Shard is an immutable inverted index of the records of one shard.
type Shard struct {
	records []Record
	byWord  map[string][]int
	byCard  map[string][]int
}

// NewShard indexes records. The caller must not modify them afterwards.
func NewShard(records []Record) *Shard {
	shard := &Shard{records: records, byWord: make(map[string][]int), byCard: make(map[string][]int)}
	for position := range records {
		shard.add(position)
	}
	return shard
}

func (s *Shard) add(position int) {
	record := &s.records[position]
	s.byCard[record.Document] = append(s.byCard[record.Document], position)
	for _, word := range record.Words() {
		positions := s.byWord[word]
		if len(positions) > 0 && positions[len(positions)-1] == position {
			continue
		}
		s.byWord[word] = append(positions, position)
	}
}

// Search returns the sorted hits, truncated to limit, and the total number of
// matches.
func (s *Shard) Search(phrase, card string, order client.Order, limit int) (hits []client.Hit, total int) {
	matcher := NewMatcher(phrase, card)
	for _, position := range s.candidates(matcher) {
		record := &s.records[position]
		if rank, matched := matcher.Match(record); matched {
			hits = append(hits, record.Hit(rank))
		}
	}
	client.SortHits(hits, order)
	return Truncate(hits, limit), len(hits)
}

// candidates returns the positions of the card's records, or of those that
// contain the rarest word of the phrase.
func (s *Shard) candidates(matcher Matcher) []int {
	if matcher.card != "" {
		return s.byCard[matcher.card]
	}
	if len(matcher.phrase) == 0 {
		return nil
	}
	rarest := s.byWord[matcher.phrase[0]]
	for _, word := range matcher.phrase[1:] {
		if positions := s.byWord[word]; len(positions) < len(rarest) {
			rarest = positions
		}
	}
	return rarest
}
