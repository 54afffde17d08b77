package replica

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

const medianQuantile = 0.5

// LatencyBaseline tracks the median latency of one kind of request by the
// distance of the replica. The median is robust against pauses and slow
// replicas. The zero value is ready to use. It is safe for concurrent use.
type LatencyBaseline struct {
	byDistance [topology.OtherRegion + 1]latencyWindow
}

// record adds the latency of one answer.
func (b *LatencyBaseline) record(distance topology.Distance, elapsed time.Duration) {
	b.byDistance[distance].Record(elapsed)
}

// Median returns the median latency at a distance, or 0 if there are too few
// samples.
func (b *LatencyBaseline) Median(distance topology.Distance) time.Duration {
	return b.byDistance[distance].Quantile(medianQuantile)
}

// NearestMedian returns the median latency at the nearest distance with enough
// samples, or 0.
func (b *LatencyBaseline) NearestMedian() time.Duration {
	for distance := range b.byDistance {
		if known := b.Median(topology.Distance(distance)); known > 0 {
			return known
		}
	}
	return 0
}

// FarthestMedian returns the median latency at the farthest distance with
// enough samples, or 0.
func (b *LatencyBaseline) FarthestMedian() time.Duration {
	for distance := len(b.byDistance) - 1; distance >= 0; distance-- {
		if known := b.Median(topology.Distance(distance)); known > 0 {
			return known
		}
	}
	return 0
}

// LatencyBaselines holds a LatencyBaseline per kind of request. The zero value
// is ready to use. It is safe for concurrent use.
type LatencyBaselines struct {
	byKind sync.Map // string -> *LatencyBaseline
}

// Of returns the baseline for a kind of request, creating it if necessary.
func (b *LatencyBaselines) Of(kind string) *LatencyBaseline {
	if known, found := b.byKind.Load(kind); found {
		return known.(*LatencyBaseline)
	}
	known, _ := b.byKind.LoadOrStore(kind, &LatencyBaseline{})
	return known.(*LatencyBaseline)
}
