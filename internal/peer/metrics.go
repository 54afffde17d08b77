package peer

import "github.com/prometheus/client_golang/prometheus"

const outcomeAnswered = "answered"

type serverMetrics struct {
	requests *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newServerMetrics(registerer prometheus.Registerer) *serverMetrics {
	m := &serverMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_peer_served_requests_total",
			Help: "Requests of peers, by route and outcome (answered, or the error kind).",
		}, []string{"route", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_peer_served_bytes_total",
			Help: "Bytes of bodies served to peers, by route and direction (in, out).",
		}, []string{"route", "direction"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.bytes)
	}
	return m
}

func (m *serverMetrics) record(path, outcome string, in, out int) {
	m.requests.WithLabelValues(path, outcome).Inc()
	m.bytes.WithLabelValues(path, "in").Add(float64(in))
	m.bytes.WithLabelValues(path, "out").Add(float64(out))
}

type clientMetrics struct {
	bytes *prometheus.CounterVec
}

func newClientMetrics(registerer prometheus.Registerer) *clientMetrics {
	m := &clientMetrics{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_peer_asked_bytes_total",
		Help: "Bytes of bodies exchanged with peers that were asked, by route and direction (in, out).",
	}, []string{"route", "direction"})}
	if registerer != nil {
		registerer.MustRegister(m.bytes)
	}
	return m
}

func (m *clientMetrics) addBytes(path string, out, in int) {
	m.bytes.WithLabelValues(path, "out").Add(float64(out))
	m.bytes.WithLabelValues(path, "in").Add(float64(in))
}
