// Package corpus reads the files that back ends index, splits them over
// shards, and searches them. The stand-in back ends serve it, and tests use
// its brute-force Search to check what the daemons answer.
package corpus

import "github.com/doorpond/doorpond/client"

// The corpora: sets of indexes that are searched together.
const (
	Cues  = "cues"
	Cards = "cards"
)

// Record is one cue of a subtitle file or one entry of a card's history.
type Record struct {
	// Corpus is Cues for subtitle files and Cards for card files.
	Corpus string
	// ID is the document's file name and the record's position in it, unique
	// in its index.
	ID string
	// Index is the parent directory of a subtitle file ("cues" where there is
	// none), or the name of a card file without its extension.
	Index string
	// Document is the subtitle file's name or the card number. It is the key
	// by which records are split over shards.
	Document string
	// Text is the cue's lines joined by spaces, or the kind, amount and
	// description of a card's entry.
	Text string
	// TimeMilliseconds is the start from the beginning of the file for cues,
	// and the Unix time for card entries.
	TimeMilliseconds int64

	words []string
}

// Words returns the words of the text, ready for matching.
func (r *Record) Words() []string {
	if r.words != nil {
		return r.words
	}
	return Tokenize(r.Text)
}

// Hit returns the record as a hit of a rank.
func (r *Record) Hit(rank float64) client.Hit {
	return client.Hit{
		ID:               r.ID,
		Index:            r.Index,
		Document:         r.Document,
		Text:             r.Text,
		TimeMilliseconds: r.TimeMilliseconds,
		Rank:             rank,
	}
}
