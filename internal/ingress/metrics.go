package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/routing"
)

// Reasons for refusing a request with 401.
const (
	// reasonNoKey also covers credentials that are not in the expected form.
	reasonNoKey      = "no_key"
	reasonUnknownKey = "unknown_key"
)

// newMetrics registers the metrics of tenants, unless registerer is nil. It returns the counter of
// refused requests, by reason.
func newMetrics(registerer prometheus.Registerer, board *blackboard.Board) *prometheus.CounterVec {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_requests_unauthenticated_total", Help: "Requests refused with 401, by reason.",
	}, []string{"reason"})
	for _, reason := range []string{reasonNoKey, reasonUnknownKey} {
		refused.WithLabelValues(reason) // exports zero from the start
	}
	if registerer == nil {
		return refused
	}
	registerer.MustRegister(refused)
	for name, gauge := range map[string]struct {
		help  string
		value func(*routing.Table) int
	}{
		"doorpondd_tenants":          {"Tenants of the configuration in force.", (*routing.Table).TenantCount},
		"doorpondd_tenant_keys":      {"API keys of the configuration in force.", (*routing.Table).KeyCount},
		"doorpondd_tenant_conflicts": {"Names and keys of tenants in the configuration in force that are not used, because they occur twice or are invalid.", func(t *routing.Table) int { return len(t.TenantConflicts()) }},
	} {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: gauge.help}, func() float64 {
			if table := board.Routes.Load(); table != nil {
				return float64(gauge.value(table))
			}
			return 0
		}))
	}
	return refused
}
