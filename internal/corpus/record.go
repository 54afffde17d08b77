// Package corpus loads subtitle and card files, partitions their records into
// shards and searches them. The stand-in back ends serve these shards; tests use
// the brute-force Search as the reference for merged results.
package corpus

import "github.com/doorpond/doorpond/client"

// Names of the corpora. A corpus is a set of indexes searched together.
const (
	Cues  = "cues"
	Cards = "cards"
)

// Record is one cue of a subtitle file or one entry of a card's history.
type Record struct {
	// Corpus is Cues for subtitle files and Cards for card files.
	Corpus string
	// ID consists of the file's base name and the record's position in the
	// file. It is unique within the index.
	ID string
	// Index is the parent directory of a subtitle file ("cues" if there is
	// none) or the base name of a card file without its extension.
	Index string
	// Document is the base name of the subtitle file or the card number. It is
	// the sharding key.
	Document string
	// Text holds the cue's lines, or the kind, amount and description of the
	// card entry, joined by spaces.
	Text string
	// TimeMilliseconds is the cue's start offset, or the Unix time of the card
	// entry.
	TimeMilliseconds int64

	words []string
}

// Words returns the tokenized text.
func (r *Record) Words() []string {
	if r.words != nil {
		return r.words
	}
	return Tokenize(r.Text)
}

// Hit converts the record to a hit with the given rank.
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
