package admin

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	refused prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{refused: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "doorpondd_admin_refused_requests_total",
		Help: "Operators' requests refused for a missing or wrong token.",
	})}
	if registerer != nil {
		registerer.MustRegister(m.refused)
	}
	return m
}
