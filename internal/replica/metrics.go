package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
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

// Values of the "kind" label.
const (
	kindFirst = "first"
	// kindFurther is a hedge or a retry.
	kindFurther = "further"
)

type poolMetrics struct {
	// chosen counts sub-requests of messages by the distance of the selected
	// replica.
	chosen      [topology.OtherRegion + 1]struct{ first, further prometheus.Counter }
	outcomes    [decision.NumOutcomes]prometheus.Counter
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
	chosen := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_subrequests_chosen_total", Help: "Sub-requests of messages, by the distance of the chosen replica.",
	}, []string{"distance", "kind"})
	for distance := range metrics.chosen {
		name := topology.Distance(distance).String()
		metrics.chosen[distance].first = chosen.WithLabelValues(name, kindFirst)
		metrics.chosen[distance].further = chosen.WithLabelValues(name, kindFurther)
	}
	register(registerer, chosen, outcomes, metrics.calls, metrics.connections, metrics.opened, metrics.ejections, metrics.forwarded)
	return metrics
}

// observeChoice counts a sub-request of a message.
func (m *poolMetrics) observeChoice(distance topology.Distance, further bool) {
	if further {
		m.chosen[distance].further.Inc()
		return
	}
	m.chosen[distance].first.Inc()
}
