package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/decision"
)

type trackerMetrics struct {
	listFailures prometheus.Counter
	replicas     prometheus.Gauge
	leaving      prometheus.Gauge
}

func newTrackerMetrics(registerer prometheus.Registerer) trackerMetrics {
	metrics := trackerMetrics{
		listFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_machine_list_failures_total",
			Help: "Readings of the machine list that failed.",
		}),
		replicas: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "doorpondd_replicas_listed_count", Help: "Replicas in the last reading of the machine list.",
		}),
		leaving: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "doorpondd_replicas_leaving_count", Help: "Listed replicas that are leaving.",
		}),
	}
	register(registerer, metrics.listFailures, metrics.replicas, metrics.leaving)
	return metrics
}

func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) {
	if registerer != nil {
		registerer.MustRegister(collectors...)
	}
}

type poolMetrics struct {
	outcomes    [decision.Outcomes]prometheus.Counter
	calls       *prometheus.CounterVec
	connections prometheus.Gauge
	opened      prometheus.Counter
	ejections   prometheus.Counter
	forwarded   prometheus.Counter
}

func newPoolMetrics(registerer prometheus.Registerer) *poolMetrics {
	outcomes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_subrequests_total", Help: "Sub-requests that ended, by outcome; cancelled ones count as failed.",
	}, []string{"outcome"})
	metrics := &poolMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_backend_calls_total", Help: "Attempts of calls that may not be repeated, by outcome.",
		}, []string{"outcome"}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "doorpondd_backend_connections_count", Help: "Open connections to back ends.",
		}),
		opened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_backend_connections_opened_total", Help: "Connections opened to back ends.",
		}),
		ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_replica_ejections_total", Help: "Times a replica was ejected after failures in a row.",
		}),
		forwarded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_forwarded_requests_total",
			Help: "Sub-requests and calls sent through a peer, as no replica was in reach.",
		}),
	}
	for outcome := range metrics.outcomes {
		metrics.outcomes[outcome] = outcomes.WithLabelValues(decision.Outcome(outcome).String())
	}
	register(registerer, outcomes, metrics.calls, metrics.connections, metrics.opened, metrics.ejections, metrics.forwarded)
	return metrics
}
