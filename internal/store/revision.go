package store

// sequenceBits is the number of low bits of a revision that hold the store's
// own sequence number. Its range lasts for 34 years at 1000 writes per second.
const sequenceBits = 40

// MaxEra and MaxSequence are the highest era and sequence number that fit into
// a revision.
const (
	MaxEra      = 1<<(63-sequenceBits) - 1
	MaxSequence = 1<<sequenceBits - 1
)

// MakeRevision combines an era and a sequence number of the store into a
// revision. A new era begins when the store is restored from a backup, after
// which it assigns earlier sequence numbers again. Revisions of a later era are
// higher than all earlier ones, so that the highest revision denotes the newest
// state. A store without eras is always in era 0, and its sequence numbers are
// its revisions.
func MakeRevision(era, sequence int64) int64 { return era<<sequenceBits | sequence }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> sequenceBits }

// SequenceOf returns the store's own sequence number of a revision.
func SequenceOf(revision int64) int64 { return revision & MaxSequence }
