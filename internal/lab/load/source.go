package load

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/corpus"
)

// mostPhraseWords is the length of the longest phrase that is drawn.
const mostPhraseWords = 3

// Source draws queries.
type Source func(random *rand.Rand) client.Query

// FromRecords draws queries that have at least one hit: the card of a random
// entry, or a few words of a random cue. The template gives the other fields;
// its Corpus says which records are drawn from.
func FromRecords(records []corpus.Record, template client.Query) Source {
	var chosen []corpus.Record
	for i := range records {
		if records[i].Corpus == template.Corpus && len(records[i].Words()) > 0 {
			chosen = append(chosen, records[i])
		}
	}
	return func(random *rand.Rand) client.Query {
		query := template
		if len(chosen) == 0 {
			return query
		}
		record := &chosen[random.IntN(len(chosen))]
		if record.Corpus == corpus.Cards {
			query.Card = record.Document
			return query
		}
		query.Phrase = phraseOf(random, record.Words())
		return query
	}
}

func phraseOf(random *rand.Rand, words []string) string {
	length := 1 + random.IntN(min(mostPhraseWords, len(words)))
	start := random.IntN(len(words) - length + 1)
	return strings.Join(words[start:start+length], " ")
}

// Fixed draws the same query each time.
func Fixed(query client.Query) Source {
	return func(*rand.Rand) client.Query { return query }
}

// Callers spreads the queries of a source evenly over a number of callers, so
// that a split assignment sends some to each of its policies.
func Callers(source Source, number int) Source {
	return func(random *rand.Rand) client.Query {
		query := source(random)
		query.Caller = "caller-" + strconv.Itoa(random.IntN(number))
		return query
	}
}
