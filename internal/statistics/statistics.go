// Package statistics records per-policy query statistics in one-minute
// intervals, in a form that can be merged across daemons.
package statistics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// RetentionMinutes is the number of one-minute intervals a Recorder keeps.
	RetentionMinutes = 60
	// maxSeries limits the number of (policy, group) series; samples of
	// further groups are recorded under OtherGroups.
	maxSeries = 512
	// Range of the latency histograms in microseconds, and their precision.
	minLatency        = 1
	maxLatency        = 60_000_000
	significantDigits = 2
)

// OtherGroups is the group of samples that exceed the limit on series.
const OtherGroups = "(other)"

// Sample describes one completed query.
type Sample struct {
	Group   string
	Latency time.Duration
	// Failed reports whether the caller received an error.
	Failed bool
	// Asked and Answered are the numbers of shards queried and of shards that
	// responded.
	Asked    int
	Answered int
	// Attempts counts all sub-requests, Hedges the hedged ones, and Cancelled
	// those cancelled in flight.
	Attempts  int
	Hedges    int
	Cancelled int
}

// Bucket is a non-empty bucket of a latency histogram.
type Bucket struct {
	Index int32 `json:"index" msgpack:"i"`
	Count int64 `json:"count" msgpack:"c"`
}

// PolicyStatistics holds the statistics of one policy in one caller group.
type PolicyStatistics struct {
	Policy    string `json:"policy" msgpack:"p"`
	Group     string `json:"group" msgpack:"g"`
	Queries   int64  `json:"queries" msgpack:"q"`
	Failed    int64  `json:"failed" msgpack:"f"`
	Asked     int64  `json:"asked" msgpack:"a"`
	Answered  int64  `json:"answered" msgpack:"w"`
	Attempts  int64  `json:"attempts" msgpack:"t"`
	Hedges    int64  `json:"hedges" msgpack:"h"`
	Cancelled int64  `json:"cancelled" msgpack:"c"`
	// Complete counts the queries that every queried shard answered.
	Complete int64 `json:"whole" msgpack:"o"`
	// Latency is the latency histogram, in microseconds, of successful queries.
	Latency []Bucket `json:"latency" msgpack:"l"`
}

// Coverage returns the fraction of queried shards that answered, or 1 if no
// shard was queried.
func (s *PolicyStatistics) Coverage() float64 { return ratio(s.Answered, s.Asked, 1) }

// ExtraLoad returns the number of sub-requests sent beyond one per queried
// shard, divided by the number of queried shards.
func (s *PolicyStatistics) ExtraLoad() float64 { return ratio(s.Attempts-s.Asked, s.Asked, 0) }

func ratio(part, total int64, ifZero float64) float64 {
	if total == 0 {
		return ifZero
	}
	return float64(part) / float64(total)
}

// Quantile returns a latency quantile (0.99 for the 99th percentile), or 0 if
// there are no samples.
func (s *PolicyStatistics) Quantile(quantile float64) time.Duration {
	const percent = 100
	return time.Duration(s.histogram().ValueAtQuantile(quantile*percent)) * time.Microsecond
}

// Samples returns the number of recorded latencies.
func (s *PolicyStatistics) Samples() int64 {
	total := int64(0)
	for _, bucket := range s.Latency {
		total += bucket.Count
	}
	return total
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
}

func (s *PolicyStatistics) histogram() *hdrhistogram.Histogram {
	snapshot := newHistogram().Export()
	for _, bucket := range s.Latency {
		if bucket.Index >= 0 && int(bucket.Index) < len(snapshot.Counts) {
			snapshot.Counts[bucket.Index] += max(0, bucket.Count)
		}
	}
	return hdrhistogram.Import(snapshot)
}

func nonEmptyBuckets(histogram *hdrhistogram.Histogram) []Bucket {
	var buckets []Bucket
	for i, count := range histogram.Export().Counts {
		if count > 0 {
			buckets = append(buckets, Bucket{Index: int32(i), Count: count})
		}
	}
	return buckets
}

type seriesKey struct{ policy, group string }

type minute struct {
	number    int64 // Unix time in minutes
	counts    PolicyStatistics
	histogram *hdrhistogram.Histogram
}

type series struct {
	mutex   sync.Mutex
	minutes [RetentionMinutes]minute
}

// Recorder records the statistics of one daemon. It is safe for concurrent use.
type Recorder struct {
	now    func() time.Time
	mutex  sync.RWMutex
	series map[seriesKey]*series
}

// New returns a Recorder that reads the time from now, or from time.Now if now
// is nil.
func New(now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{now: now, series: make(map[seriesKey]*series)}
}

// Record adds the sample of one query served by the policy.
func (r *Recorder) Record(policy string, sample Sample) {
	r.seriesFor(seriesKey{policy, sample.Group}).record(r.currentMinute(), sample)
}

func (r *Recorder) currentMinute() int64 { return r.now().Unix() / int64(time.Minute/time.Second) }

func (r *Recorder) seriesFor(key seriesKey) *series {
	r.mutex.RLock()
	existing := r.series[key]
	r.mutex.RUnlock()
	if existing != nil {
		return existing
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.series) >= maxSeries {
		key.group = OtherGroups
	}
	if r.series[key] == nil {
		r.series[key] = &series{}
	}
	return r.series[key]
}

func (s *series) record(number int64, sample Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := &s.minutes[number%RetentionMinutes]
	if current.number != number {
		*current = minute{number: number, histogram: current.histogram}
		if current.histogram != nil {
			current.histogram.Reset()
		}
	}
	if current.histogram == nil {
		current.histogram = newHistogram()
	}
	current.counts.add(sample)
	if !sample.Failed {
		latency := min(max(sample.Latency.Microseconds(), minLatency), maxLatency)
		_ = current.histogram.RecordValue(latency) // cannot fail: the value is clamped to the range
	}
}

func (s *PolicyStatistics) add(sample Sample) {
	s.Queries++
	if sample.Failed {
		s.Failed++
	}
	if sample.Answered == sample.Asked && !sample.Failed {
		s.Complete++
	}
	s.Asked += int64(sample.Asked)
	s.Answered += int64(sample.Answered)
	s.Attempts += int64(sample.Attempts)
	s.Hedges += int64(sample.Hedges)
	s.Cancelled += int64(sample.Cancelled)
}

// Snapshot returns the statistics of the given period up to now, including the
// current minute, sorted by policy and group.
func (r *Recorder) Snapshot(since time.Duration) []PolicyStatistics {
	last := r.currentMinute()
	first := last - min(int64(since/time.Minute), RetentionMinutes-1)
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var all []PolicyStatistics
	for key, recorded := range r.series {
		total := recorded.sum(first, last)
		if total.Queries == 0 {
			continue
		}
		total.Policy, total.Group = key.policy, key.group
		all = append(all, total)
	}
	slices.SortFunc(all, compareStatistics)
	return all
}

func (s *series) sum(first, last int64) PolicyStatistics {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := PolicyStatistics{}
	histogram := newHistogram()
	for i := range s.minutes {
		interval := &s.minutes[i]
		if interval.histogram == nil || interval.number < first || interval.number > last {
			continue
		}
		total.addCounts(&interval.counts)
		histogram.Merge(interval.histogram)
	}
	total.Latency = nonEmptyBuckets(histogram)
	return total
}

func (s *PolicyStatistics) addCounts(other *PolicyStatistics) {
	s.Queries += other.Queries
	s.Failed += other.Failed
	s.Asked += other.Asked
	s.Answered += other.Answered
	s.Attempts += other.Attempts
	s.Hedges += other.Hedges
	s.Cancelled += other.Cancelled
	s.Complete += other.Complete
}

func compareStatistics(a, b PolicyStatistics) int {
	return cmp.Or(cmp.Compare(a.Policy, b.Policy), cmp.Compare(a.Group, b.Group))
}

// Merge combines the statistics of several daemons by policy and group.
func Merge(parts ...[]PolicyStatistics) []PolicyStatistics {
	merged := make(map[seriesKey]*PolicyStatistics)
	for _, part := range parts {
		for i := range part {
			mergeInto(merged, &part[i])
		}
	}
	all := make([]PolicyStatistics, 0, len(merged))
	for _, total := range merged {
		all = append(all, *total)
	}
	slices.SortFunc(all, compareStatistics)
	return all
}

func mergeInto(merged map[seriesKey]*PolicyStatistics, part *PolicyStatistics) {
	key := seriesKey{part.Policy, part.Group}
	total := merged[key]
	if total == nil {
		total = &PolicyStatistics{Policy: part.Policy, Group: part.Group}
		merged[key] = total
	}
	total.addCounts(part)
	histogram := total.histogram()
	histogram.Merge(part.histogram())
	total.Latency = nonEmptyBuckets(histogram)
}
