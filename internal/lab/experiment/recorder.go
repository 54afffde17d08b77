package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are kept in microseconds, from 1 to a minute, to 2 digits.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 2
)

// tally is what was counted of the queries of one class that arrived in one
// second.
type tally struct {
	queries    int
	refused    int
	unanswered int
	whole      int
	wanted     int // shards of all queries, also of the refused ones
	asked      int
	answered   int
	attempts   int
	latency    *hdrhistogram.Histogram // of the answers
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (t *tally) add(other *tally) {
	t.queries += other.queries
	t.refused += other.refused
	t.unanswered += other.unanswered
	t.whole += other.whole
	t.wanted += other.wanted
	t.asked += other.asked
	t.answered += other.answered
	t.attempts += other.attempts
	t.latency.Merge(other.latency)
}

// recorder counts by second of arrival and by class.
type recorder struct {
	seconds  [][]*tally
	arrivals []int // sub-requests that reached a back end, by second
}

func newRecorder(file *File) *recorder {
	count := int(time.Duration(file.Duration)/time.Second) + 1
	made := &recorder{seconds: make([][]*tally, count), arrivals: make([]int, count)}
	for second := range made.seconds {
		for range file.Classes {
			made.seconds[second] = append(made.seconds[second], newTally())
		}
	}
	return made
}

func (r *recorder) arrived(now time.Duration) {
	if second := int(now / time.Second); second < len(r.arrivals) {
		r.arrivals[second]++
	}
}

func (r *recorder) refused(now time.Duration, class, wanted int) {
	counted := r.seconds[int(now/time.Second)][class]
	counted.queries++
	counted.refused++
	counted.wanted += wanted
}

// unanswered counts a query that ended in another error than a refusal.
func (r *recorder) unanswered(now time.Duration, class, wanted int) {
	counted := r.seconds[int(now/time.Second)][class]
	counted.queries++
	counted.unanswered++
	counted.wanted += wanted
}

func (r *recorder) finished(arrived time.Duration, class int, ended conclusion) {
	counted := r.seconds[int(arrived/time.Second)][class]
	counted.queries++
	counted.wanted += ended.asked
	counted.asked += ended.asked
	counted.answered += ended.answered
	counted.attempts += ended.attempts
	if ended.whole() {
		counted.whole++
	}
	_ = counted.latency.RecordValue(max(lowestLatency, ended.took.Microseconds())) // in range: deadlines are under a minute
}

// allClasses selects every class.
const allClasses = -1

// sum adds up the seconds from one to before another.
func (r *recorder) sum(from, to, class int) *tally {
	total := newTally()
	for second := max(0, from); second < min(to, len(r.seconds)); second++ {
		for number, counted := range r.seconds[second] {
			if class == allClasses || class == number {
				total.add(counted)
			}
		}
	}
	return total
}
