package replica

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// medianQuantile is the quantile that counts as the usual time: pauses and slow
// replicas do not move it.
const medianQuantile = 0.5

// LatencyBaseline is how long requests of one kind usually take, by the distance of the
// replica. Its zero value is ready, and it is safe for concurrent use.
type LatencyBaseline struct {
	byDistance [topology.OtherRegion + 1]latencyWindow
}

// record adds the time of one answer.
func (u *LatencyBaseline) record(distance topology.Distance, elapsed time.Duration) {
	u.byDistance[distance].Record(elapsed)
}

// Median returns the usual time at a distance, 0 while it is not known.
func (u *LatencyBaseline) Median(distance topology.Distance) time.Duration {
	return u.byDistance[distance].Quantile(medianQuantile)
}

// NearestMedian returns the usual time at the nearest distance that is known, or 0.
func (u *LatencyBaseline) NearestMedian() time.Duration {
	for distance := range u.byDistance {
		if known := u.Median(topology.Distance(distance)); known > 0 {
			return known
		}
	}
	return 0
}

// FarthestMedian returns the usual time at the farthest distance that is known, or 0.
func (u *LatencyBaseline) FarthestMedian() time.Duration {
	for distance := len(u.byDistance) - 1; distance >= 0; distance-- {
		if known := u.Median(topology.Distance(distance)); known > 0 {
			return known
		}
	}
	return 0
}

// LatencyBaselines holds what is usual for each kind of request, by name. Its zero value
// is ready, and it is safe for concurrent use.
type LatencyBaselines struct {
	byKind sync.Map // string -> *Usual
}

// Of returns what is usual for a kind.
func (u *LatencyBaselines) Of(kind string) *LatencyBaseline {
	if known, found := u.byKind.Load(kind); found {
		return known.(*LatencyBaseline)
	}
	known, _ := u.byKind.LoadOrStore(kind, &LatencyBaseline{})
	return known.(*LatencyBaseline)
}
