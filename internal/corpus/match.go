package corpus

import (
	"slices"
	"strings"
	"unicode"
)

// cardRank is the rank of every record of a card that was asked for.
const cardRank = 1

// apostrophes are dropped inside words, so that "qophaa'eera" is one word
// however it is typed.
var apostrophes = strings.NewReplacer("'", "", "’", "", "ʼ", "")

// Tokenize splits a text into lower-case words. Everything that is neither
// a letter, a mark nor a digit separates words, Ethiopic punctuation included.
func Tokenize(text string) []string {
	plain := strings.ToLower(apostrophes.Replace(text))
	return strings.FieldsFunc(plain, isSeparator)
}

func isSeparator(char rune) bool {
	return !unicode.IsLetter(char) && !unicode.IsMark(char) && !unicode.IsNumber(char)
}

// Matcher is a phrase or a card number made ready for matching.
type Matcher struct {
	phrase []string
	card   string
}

// NewMatcher makes a Matcher. A card, when set, is matched whole and the
// phrase is left aside.
func NewMatcher(phrase, card string) Matcher {
	return Matcher{phrase: Tokenize(phrase), card: card}
}

// Match reports whether a record matches, and its rank. A phrase matches
// where all of its words stand next to each other in the text; the rank is
// the number of such places plus the share of the text that one of them
// covers.
func (m Matcher) Match(record *Record) (rank float64, matched bool) {
	if m.card != "" {
		return cardRank, record.Document == m.card
	}
	words := record.Words()
	places := countPlaces(words, m.phrase)
	if places == 0 {
		return 0, false
	}
	return float64(places) + float64(len(m.phrase))/float64(len(words)), true
}

// Match matches one record against a phrase or a card.
func Match(record *Record, phrase, card string) (rank float64, matched bool) {
	return NewMatcher(phrase, card).Match(record)
}

func countPlaces(words, phrase []string) int {
	if len(phrase) == 0 {
		return 0
	}
	places := 0
	for start := 0; start+len(phrase) <= len(words); start++ {
		if slices.Equal(words[start:start+len(phrase)], phrase) {
			places++
		}
	}
	return places
}
