package replica

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// Latencies are counted in logarithmic buckets, four per power of two of
// microseconds, which keeps the error below 25%.
const (
	subBuckets    = 4
	subBucketBits = 2
	bucketCount   = 32 * subBuckets
	// windowSamples is the number of samples after which the older half of the
	// window is discarded.
	windowSamples = 512
	// minSamples is the number of samples required to estimate a quantile.
	minSamples = 20
	// cacheSamples is the number of samples for which a computed quantile is
	// reused.
	cacheSamples = 32
)

// latencyWindow estimates quantiles over the latest 512 to 1,024 latencies. It
// is safe for concurrent use; samples recorded during a rotation may be lost.
type latencyWindow struct {
	halves  [2]latencyHalf
	current atomic.Uint32
	total   atomic.Uint64
	cached  atomic.Pointer[cachedQuantile]
}

type latencyHalf struct {
	counts [bucketCount]atomic.Uint32
	size   atomic.Uint32
}

type cachedQuantile struct {
	quantile   float64
	value      time.Duration
	validUntil uint64
}

func bucketOf(latency time.Duration) int {
	micros := uint64(max(latency.Microseconds(), 1))
	exponent := bits.Len64(micros) - 1
	fraction := 0
	if exponent >= subBucketBits {
		fraction = int(micros>>(exponent-subBucketBits)) & (subBuckets - 1)
	}
	return min(exponent*subBuckets+fraction, bucketCount-1)
}

func bucketUpperBound(bucket int) time.Duration {
	exponent, fraction := bucket/subBuckets, bucket%subBuckets
	micros := float64(uint64(1)<<exponent) * (1 + float64(fraction+1)/subBuckets)
	return time.Duration(micros * float64(time.Microsecond))
}

// Record adds a sample.
func (w *latencyWindow) Record(latency time.Duration) {
	half := &w.halves[w.current.Load()&1]
	half.counts[bucketOf(latency)].Add(1)
	w.total.Add(1)
	if half.size.Add(1) == windowSamples {
		w.rotate()
	}
}

func (w *latencyWindow) rotate() {
	next := &w.halves[(w.current.Load()+1)&1]
	for i := range next.counts {
		next.counts[i].Store(0)
	}
	next.size.Store(0)
	w.current.Add(1)
}

// Quantile returns an estimate of the given quantile, or 0 if there are too few
// samples.
func (w *latencyWindow) Quantile(quantile float64) time.Duration {
	total := w.total.Load()
	if total < minSamples {
		return 0
	}
	if cached := w.cached.Load(); cached != nil && cached.quantile == quantile && total < cached.validUntil {
		return cached.value
	}
	value := w.compute(quantile)
	w.cached.Store(&cachedQuantile{quantile: quantile, value: value, validUntil: total + cacheSamples})
	return value
}

func (w *latencyWindow) compute(quantile float64) time.Duration {
	var counts [bucketCount]uint32
	var sum uint32
	for i := range counts {
		counts[i] = w.halves[0].counts[i].Load() + w.halves[1].counts[i].Load()
		sum += counts[i]
	}
	rank := uint32(quantile * float64(sum))
	for i, count := range counts {
		if count > rank {
			return bucketUpperBound(i)
		}
		rank -= count
	}
	return bucketUpperBound(bucketCount - 1)
}
