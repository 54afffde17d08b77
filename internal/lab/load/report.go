package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/doorpond/doorpond/client"
)

// The range and precision of the latency histogram, in microseconds.
const (
	shortestMicroseconds = 1
	longestMicroseconds  = int64(2 * time.Minute / time.Microsecond)
	significantDigits    = 3
)

// KindCount is the number of problems of one kind.
type KindCount struct {
	Kind   string `json:"kind"`
	NotRun bool   `json:"not_run"`
	Count  int64  `json:"count"`
}

// Report is the result of a run.
type Report struct {
	// Sent = Answered + Refused problems + Broken; Skipped were never sent.
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// Partial is the number of answers with a coverage under 1.
	Partial int64 `json:"partial"`
	Skipped int64 `json:"skipped"`
	// Broken is the number with neither an answer nor a problem.
	Broken int64 `json:"broken"`
	// FirstBroken is the first such error.
	FirstBroken string      `json:"first_broken,omitempty"`
	Problems    []KindCount `json:"problems,omitempty"`
	// MeanCoverage is the mean share of shards of the answers.
	MeanCoverage float64 `json:"mean_coverage"`
	// SubRequests is the number that the answers say were sent; LeastNeeded
	// is one for each shard asked.
	SubRequests int64 `json:"sub_requests"`
	LeastNeeded int64 `json:"least_needed"`
	// Latency of the answers, from the intended start, in microseconds.
	Latency Latency `json:"latency_us"`
	// Seconds is how long the run took.
	Seconds float64 `json:"seconds"`
}

// Latency is quantiles in microseconds.
type Latency struct {
	P50  int64 `json:"p50"`
	P95  int64 `json:"p95"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p99_9"`
	Max  int64 `json:"max"`
}

// recorder collects the outcomes of a run. It is safe for concurrent use.
type recorder struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	coverage  float64
	result    Report
}

func newRecorder() *recorder {
	return &recorder{histogram: hdrhistogram.New(shortestMicroseconds, longestMicroseconds, significantDigits)}
}

func (r *recorder) skip() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Skipped++
}

func (r *recorder) record(latency time.Duration, answer *client.Answer, problem *client.Problem, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Sent++
	switch {
	case answer != nil:
		r.answeredLocked(latency, answer)
	case problem != nil:
		r.problemLocked(problem)
	default:
		r.result.Broken++
		if r.result.FirstBroken == "" {
			r.result.FirstBroken = err.Error()
		}
	}
}

func (r *recorder) answeredLocked(latency time.Duration, answer *client.Answer) {
	r.result.Answered++
	if answer.Coverage.Answered < answer.Coverage.Asked {
		r.result.Partial++
	}
	r.coverage += answer.Coverage.Share
	r.result.SubRequests += int64(answer.Attempts)
	r.result.LeastNeeded += int64(answer.Coverage.Asked)
	bounded := min(max(latency.Microseconds(), shortestMicroseconds), longestMicroseconds)
	_ = r.histogram.RecordValue(bounded) // a bounded value is in range
}

func (r *recorder) problemLocked(problem *client.Problem) {
	for i := range r.result.Problems {
		known := &r.result.Problems[i]
		if known.Kind == problem.Kind && known.NotRun == problem.NotRun {
			known.Count++
			return
		}
	}
	r.result.Problems = append(r.result.Problems, KindCount{Kind: problem.Kind, NotRun: problem.NotRun, Count: 1})
}

func (r *recorder) report(took time.Duration) Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.result
	report.Problems = slices.Clone(report.Problems)
	slices.SortFunc(report.Problems, func(a, b KindCount) int { return cmp.Compare(a.Kind, b.Kind) })
	report.Seconds = took.Seconds()
	if report.Answered > 0 {
		report.MeanCoverage = r.coverage / float64(report.Answered)
	}
	report.Latency = Latency{
		P50:  r.histogram.ValueAtQuantile(50),
		P95:  r.histogram.ValueAtQuantile(95),
		P99:  r.histogram.ValueAtQuantile(99),
		P999: r.histogram.ValueAtQuantile(99.9),
		Max:  r.histogram.Max(),
	}
	return report
}
