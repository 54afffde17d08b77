package bench

import "github.com/prometheus/client_golang/prometheus"

// gatherer reads the daemon's own counters.
type gatherer struct{ *prometheus.Registry }

func newGatherer() gatherer { return gatherer{prometheus.NewRegistry()} }

// sum adds up the values of a counter or gauge over its labels.
func (g gatherer) sum(name string) float64 {
	families, err := g.Gather()
	if err != nil {
		return 0
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return total
}
