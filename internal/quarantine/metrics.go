package quarantine

import "github.com/prometheus/client_golang/prometheus"

// listMetrics are the metrics of a List.
type listMetrics struct {
	found, refused, dropped prometheus.Counter
}

func newListMetrics(registerer prometheus.Registerer, list *List) listMetrics {
	metrics := listMetrics{
		found: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_quarantine_found_total", Help: "Requests that this node has found to end the replicas that run them.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_quarantine_refused_total", Help: "Requests refused as they end the replicas that run them.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_quarantine_dropped_total", Help: "Suspects that were not kept, as the list was full of quarantined requests.",
		}),
	}
	known := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "doorpondd_quarantine_known", Help: "Requests that are suspected or quarantined on this node.",
	}, func() float64 { return float64(list.size.Load()) })
	if registerer != nil {
		registerer.MustRegister(metrics.found, metrics.refused, metrics.dropped, known)
	}
	return metrics
}
