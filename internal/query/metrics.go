package query

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
)

// kindAnswered is the value of the label "kind" for a query without error.
const kindAnswered = "answered"

// minObservedWait is the time from which on a query counts as having waited at the gate. Entering it
// without a wait takes microseconds.
const minObservedWait = 100 * time.Microsecond

type serviceMetrics struct {
	queries  *prometheus.CounterVec
	latency  prometheus.Histogram
	restarts prometheus.Counter
	waits    prometheus.Histogram
	// subrequests counts sub-requests by cause.
	subrequests [decision.NumCauses]prometheus.Counter
}

func newServiceMetrics(registerer prometheus.Registerer) serviceMetrics {
	metrics := serviceMetrics{
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_queries_total", Help: "Admitted queries that ended, by error kind or answered.",
		}, []string{"kind"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "doorpondd_query_duration_seconds", Help: "Time from a query's arrival to its answer.",
			Buckets: []float64{.001, .002, .005, .01, .02, .04, .06, .1, .2, .5, 1, 2, 5, 10},
		}),
		restarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_query_restarts_total", Help: "Queries started anew because their snapshot was retired.",
		}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "doorpondd_query_wait_seconds", Help: "Time for which queries waited for a full shard, whether admitted then or refused.",
			Buckets: []float64{.001, .002, .005, .01, .02, .04, .08, .16},
		}),
	}
	subrequests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_subrequests_sent_total", Help: "Sub-requests by why they were sent; all but first and unreached are repeats.",
	}, []string{"cause"})
	for cause := range metrics.subrequests {
		metrics.subrequests[cause] = subrequests.WithLabelValues(decision.Cause(cause).String())
	}
	if registerer != nil {
		registerer.MustRegister(metrics.queries, metrics.latency, metrics.restarts, metrics.waits, subrequests)
	}
	return metrics
}

// observeWait records the time that a query spent at the gate, unless it passed at once.
func (m *serviceMetrics) observeWait(waited time.Duration) {
	if waited >= minObservedWait {
		m.waits.Observe(waited.Seconds())
	}
}

func (m *serviceMetrics) observe(took time.Duration, err error) {
	m.latency.Observe(took.Seconds())
	label := kindAnswered
	if err != nil {
		label = string(failure.KindOf(err))
	}
	m.queries.WithLabelValues(label).Inc()
}
