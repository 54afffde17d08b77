package corpus

import (
	"slices"
	"strings"
	"unicode"
)

// cardRank is the rank of every hit of a card query.
const cardRank = 1

// apostropheRemover strips apostrophes, so that "qophaa'eera" is a single word
// in every spelling.
var apostropheRemover = strings.NewReplacer("'", "", "’", "", "ʼ", "")

// Tokenize splits text into lower-case words. Every character that is not a
// letter, mark or number is a separator, including Ethiopic punctuation.
func Tokenize(text string) []string {
	normalized := strings.ToLower(apostropheRemover.Replace(text))
	return strings.FieldsFunc(normalized, isSeparator)
}

func isSeparator(char rune) bool {
	return !unicode.IsLetter(char) && !unicode.IsMark(char) && !unicode.IsNumber(char)
}

// Matcher matches records against a tokenized phrase or a card number.
type Matcher struct {
	phrase []string
	card   string
}

// NewMatcher returns a Matcher for card if it is set, and for phrase otherwise.
// A card number must match exactly.
func NewMatcher(phrase, card string) Matcher {
	return Matcher{phrase: Tokenize(phrase), card: card}
}

// Match reports whether a record matches, and its rank. A phrase matches where
// its words occur consecutively in the text. The rank is the number of
// occurrences plus the ratio of the phrase's length to the text's, in words.
func (m Matcher) Match(record *Record) (rank float64, matched bool) {
	if m.card != "" {
		return cardRank, record.Document == m.card
	}
	words := record.Words()
	occurrences := countOccurrences(words, m.phrase)
	if occurrences == 0 {
		return 0, false
	}
	return float64(occurrences) + float64(len(m.phrase))/float64(len(words)), true
}

// Match matches a single record against a phrase or a card number.
func Match(record *Record, phrase, card string) (rank float64, matched bool) {
	return NewMatcher(phrase, card).Match(record)
}

func countOccurrences(words, phrase []string) int {
	if len(phrase) == 0 {
		return 0
	}
	occurrences := 0
	for start := 0; start+len(phrase) <= len(words); start++ {
		if slices.Equal(words[start:start+len(phrase)], phrase) {
			occurrences++
		}
	}
	return occurrences
}
