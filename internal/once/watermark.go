package once

// Layout of a Watermark as the version of a gossip record: 20 bits of epoch,
// one regression bit and 43 bits of store revision.
const (
	revisionBits = 43
	regressedBit = uint64(1) << revisionBits
	maxRevision  = regressedBit - 1
	epochShift   = revisionBits + 1
	maxEpoch     = uint64(1)<<(64-epochShift) - 1
)

// Watermark is the newest known state of the store. When watermarks are merged,
// the one with the higher version wins.
type Watermark struct {
	// Epoch counts the regressions that operators have acknowledged.
	Epoch uint64
	// Regressed is set once a regression has ended the epoch.
	Regressed bool
	// Revision is the highest revision of the store seen in the epoch.
	Revision int64
}

// Version packs the watermark into a number that is higher for a newer
// watermark, for use as the version of a gossip record. Revisions of 2^43 and
// above are capped; regressions between capped revisions are not detected.
func (w Watermark) Version() uint64 {
	revision := min(uint64(max(0, w.Revision)), maxRevision)
	version := min(w.Epoch, maxEpoch)<<epochShift | revision
	if w.Regressed {
		version |= regressedBit
	}
	return version
}

// WatermarkFromVersion unpacks the result of Watermark.Version.
func WatermarkFromVersion(version uint64) Watermark {
	return Watermark{
		Epoch:     version >> epochShift,
		Regressed: version&regressedBit != 0,
		Revision:  int64(version & maxRevision),
	}
}

// newerThan compares the versions of two watermarks.
func (w Watermark) newerThan(other Watermark) bool { return w.Version() > other.Version() }
