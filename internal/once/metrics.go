package once

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

// metrics holds the Prometheus metrics of a Service.
type metrics struct {
	calls     *prometheus.CounterVec
	commits   *prometheus.CounterVec
	batchSize prometheus.Histogram
	unsettled *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_once_calls_total",
			Help: "At-most-once calls, by outcome: ran, repeated, or the kind of error.",
		}, []string{"outcome"}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_once_commits_total",
			Help: "Requests to the store for claims, results and releases, by outcome.",
		}, []string{"outcome"}),
		batchSize: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "doorpondd_once_commit_transactions",
			Help:    "Transactions grouped into one request to the store.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 7),
		}),
		unsettled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_once_unsettled_claims_total",
			Help: "Claims whose result could not be recorded or that could not be released.",
		}, []string{"work"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.commits, m.batchSize, m.unsettled)
	}
	return m
}

func (m *metrics) observeCall(response Action, err error) {
	outcome := "ran"
	switch {
	case err != nil:
		outcome = string(failure.KindOf(err))
	case response.Repeated:
		outcome = "repeated"
	}
	m.calls.WithLabelValues(outcome).Inc()
}

func (m *metrics) observeCommit(transactions int, err error) {
	outcome := "answered"
	switch {
	case errors.Is(err, store.ErrNotApplied):
		outcome = "not_applied"
	case err != nil:
		outcome = "unclear"
	}
	m.commits.WithLabelValues(outcome).Inc()
	m.batchSize.Observe(float64(transactions))
}
