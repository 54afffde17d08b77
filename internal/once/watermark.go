package once

// The layout of a Mark in the version of a gossip record: 20 bits of epoch,
// one bit of regression, 43 bits of store revision.
const (
	revisionBits  = 43
	regressedBit  = uint64(1) << revisionBits
	largestRecord = regressedBit - 1
	epochShift    = revisionBits + 1
	largestEpoch  = uint64(1)<<(64-epochShift) - 1
)

// Watermark is the newest that is known of the store: a higher one replaces a lower
// one, wherever it comes from.
type Watermark struct {
	// Epoch counts the regressions that operators have acknowledged.
	Epoch uint64
	// Regressed is true from the regression that ends the epoch on.
	Regressed bool
	// Revision is the highest revision of the store seen in the epoch.
	Revision int64
}

// Version packs a mark into a number that is higher for a newer mark, so that
// it can spread as the version of a gossip record. Revisions over 2^43 are
// held at the greatest that fits, which weakens the fence and breaks nothing.
func (m Watermark) Version() uint64 {
	revision := min(uint64(max(0, m.Revision)), largestRecord)
	version := min(m.Epoch, largestEpoch)<<epochShift | revision
	if m.Regressed {
		version |= regressedBit
	}
	return version
}

// WatermarkFromVersion unpacks a version.
func WatermarkFromVersion(version uint64) Watermark {
	return Watermark{
		Epoch:     version >> epochShift,
		Regressed: version&regressedBit != 0,
		Revision:  int64(version & largestRecord),
	}
}

// newerThan orders marks as their versions do.
func (m Watermark) newerThan(other Watermark) bool { return m.Version() > other.Version() }
