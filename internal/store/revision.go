package store

// eraBits is the number of low bits of a revision that hold the store's own number: a trillion
// changes of an era, at a thousand a second 34 years.
const eraBits = 40

// MaxEra and MaxSequence are the highest era and number that a revision can hold.
const (
	MaxEra      = 1<<(63-eraBits) - 1
	MaxSequence = 1<<eraBits - 1
)

// MakeRevision returns the revision that a store's own number stands for in one of its eras. An
// era ends when the store comes back from a copy of an earlier state: its numbers go back and
// are given out again. A revision of a later era is higher than all of those before, so that
// the highest revision stands for the newest state, also across eras. A store without eras is
// in era 0 for good, and its numbers are the revisions.
func MakeRevision(era, number int64) int64 { return era<<eraBits | number }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> eraBits }

// SequenceOf returns the store's own number of a revision.
func SequenceOf(revision int64) int64 { return revision & MaxSequence }
