// Package statistics keeps what is measured of each policy, by minute, in a
// form that merges over daemons.
package statistics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The bounds of what is kept.
const (
	// RetentionMinutes is how far back Snapshot can look.
	RetentionMinutes = 60
	// maxSeries bounds the pairs of policy and group; further groups are
	// counted under OtherGroups.
	maxSeries = 512
	// Latencies are in microseconds, from 1 to a minute, to 2 digits.
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 2
)

// OtherGroups is the group of the samples over the bound.
const OtherGroups = "(other)"

// Sample is one query that ended.
type Sample struct {
	Group   string
	Latency time.Duration
	// Failed is true when the caller got an error.
	Failed bool
	// Asked and Answered are numbers of shards.
	Asked    int
	Answered int
	// Attempts counts sub-requests, Hedges those sent beside another, and
	// Cancelled those given up in flight.
	Attempts  int
	Hedges    int
	Cancelled int
}

// Bucket is one bucket of a latency histogram that is not empty.
type Bucket struct {
	Index int32 `json:"index" msgpack:"i"`
	Count int64 `json:"count" msgpack:"c"`
}

// PolicyStatistics is what was measured of one policy in one group.
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
	// Complete counts the queries that every asked shard answered.
	Complete int64 `json:"whole" msgpack:"o"`
	// Latency is the histogram of the answered queries' microseconds.
	Latency []Bucket `json:"latency" msgpack:"l"`
}

// Coverage returns the share of asked shards that answered, 1 for none asked.
func (s *PolicyStatistics) Coverage() float64 { return share(s.Answered, s.Asked, 1) }

// ExtraLoad returns the sub-requests sent over the least needed, as a share
// of the least needed.
func (s *PolicyStatistics) ExtraLoad() float64 { return share(s.Attempts-s.Asked, s.Asked, 0) }

func share(part, whole int64, empty float64) float64 {
	if whole == 0 {
		return empty
	}
	return float64(part) / float64(whole)
}

// Quantile returns a latency quantile (0.99 for the 99th percentile), 0
// without samples.
func (s *PolicyStatistics) Quantile(quantile float64) time.Duration {
	const percent = 100
	return time.Duration(s.histogram().ValueAtQuantile(quantile*percent)) * time.Microsecond
}

// Samples returns the number of latencies.
func (s *PolicyStatistics) Samples() int64 {
	total := int64(0)
	for _, bucket := range s.Latency {
		total += bucket.Count
	}
	return total
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func (s *PolicyStatistics) histogram() *hdrhistogram.Histogram {
	exported := newHistogram().Export()
	for _, bucket := range s.Latency {
		if bucket.Index >= 0 && int(bucket.Index) < len(exported.Counts) {
			exported.Counts[bucket.Index] += max(0, bucket.Count)
		}
	}
	return hdrhistogram.Import(exported)
}

func sparse(histogram *hdrhistogram.Histogram) []Bucket {
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

// Recorder keeps the statistics of one daemon. It is safe for concurrent use.
type Recorder struct {
	now    func() time.Time
	mutex  sync.RWMutex
	series map[seriesKey]*series
}

// New makes a Recorder; now may be nil.
func New(now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{now: now, series: make(map[seriesKey]*series)}
}

// Record adds one query of a policy.
func (r *Recorder) Record(policy string, sample Sample) {
	r.find(seriesKey{policy, sample.Group}).record(r.minuteNow(), sample)
}

func (r *Recorder) minuteNow() int64 { return r.now().Unix() / int64(time.Minute/time.Second) }

func (r *Recorder) find(key seriesKey) *series {
	r.mutex.RLock()
	found := r.series[key]
	r.mutex.RUnlock()
	if found != nil {
		return found
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
	current.counts.count(sample)
	if !sample.Failed {
		latency := min(max(sample.Latency.Microseconds(), lowestLatency), highestLatency)
		_ = current.histogram.RecordValue(latency) // in range by the line above
	}
}

func (s *PolicyStatistics) count(sample Sample) {
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

// Snapshot returns the statistics of the minutes since a time ago, the one
// under way included, sorted by policy and group.
func (r *Recorder) Snapshot(since time.Duration) []PolicyStatistics {
	last := r.minuteNow()
	first := last - min(int64(since/time.Minute), RetentionMinutes-1)
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var all []PolicyStatistics
	for key, found := range r.series {
		total := found.sum(first, last)
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
		one := &s.minutes[i]
		if one.histogram == nil || one.number < first || one.number > last {
			continue
		}
		total.addCounts(&one.counts)
		histogram.Merge(one.histogram)
	}
	total.Latency = sparse(histogram)
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

// Merge adds up the statistics of several daemons, by policy and group.
func Merge(parts ...[]PolicyStatistics) []PolicyStatistics {
	merged := make(map[seriesKey]*PolicyStatistics)
	for _, part := range parts {
		for i := range part {
			mergeOne(merged, &part[i])
		}
	}
	all := make([]PolicyStatistics, 0, len(merged))
	for _, total := range merged {
		all = append(all, *total)
	}
	slices.SortFunc(all, compareStatistics)
	return all
}

func mergeOne(merged map[seriesKey]*PolicyStatistics, part *PolicyStatistics) {
	key := seriesKey{part.Policy, part.Group}
	total := merged[key]
	if total == nil {
		total = &PolicyStatistics{Policy: part.Policy, Group: part.Group}
		merged[key] = total
	}
	total.addCounts(part)
	histogram := total.histogram()
	histogram.Merge(part.histogram())
	total.Latency = sparse(histogram)
}
