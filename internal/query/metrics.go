package query

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
)

// kindAnswered is the value of the label "kind" for a query without error.
const kindAnswered = "answered"

type serviceMetrics struct {
	queries  *prometheus.CounterVec
	latency  prometheus.Histogram
	restarts prometheus.Counter
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
	}
	subrequests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_subrequests_sent_total", Help: "Sub-requests by why they were sent; all but first and unreached are repeats.",
	}, []string{"cause"})
	for cause := range metrics.subrequests {
		metrics.subrequests[cause] = subrequests.WithLabelValues(decision.Cause(cause).String())
	}
	if registerer != nil {
		registerer.MustRegister(metrics.queries, metrics.latency, metrics.restarts, subrequests)
	}
	return metrics
}

func (m *serviceMetrics) observe(took time.Duration, err error) {
	m.latency.Observe(took.Seconds())
	label := kindAnswered
	if err != nil {
		label = string(failure.KindOf(err))
	}
	m.queries.WithLabelValues(label).Inc()
}
