package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerStateMetrics registers gauges of the blackboard's state for alerting.
func (d *Daemon) registerStateMetrics() {
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"doorpondd_table_revision_number", "Revision of the policy table in force here; 0 before the first.", d.tableRevision},
		{"doorpondd_catalogue_revision_number", "Revision of the catalogue in force here; 0 before the first.", d.catalogueRevision},
		{"doorpondd_store_out_seconds", "Time for which the store has been out of reach, as far as this daemon follows it; 0 while it answers.", d.storeOutageSeconds},
		{"doorpondd_store_regressed_count", "1 while the store holds an older document than the one in force, or calls are refused since it went back; else 0.", d.storeRegressed},
		{"doorpondd_phase_number", "Phase of the process: 0 starting, 1 serving, 2 draining, 3 closing, 4 stopped.", d.phaseNumber},
	}
	for _, gauge := range gauges {
		d.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
}

func (d *Daemon) tableRevision() float64 {
	if table := d.board.PolicyTable.Load(); table != nil {
		return float64(table.Table.Revision)
	}
	return 0
}

func (d *Daemon) catalogueRevision() float64 {
	if catalogue := d.board.Catalogue.Load(); catalogue != nil {
		return float64(catalogue.Revision)
	}
	return 0
}

func (d *Daemon) storeOutageSeconds() float64 {
	status := d.board.Store.Load()
	if status == nil || status.Reachable || status.Since.IsZero() {
		return 0
	}
	return time.Since(status.Since).Seconds()
}

func (d *Daemon) storeRegressed() float64 {
	if d.storeStatus().Regressed {
		return 1
	}
	return 0
}

func (d *Daemon) phaseNumber() float64 { return float64(*d.board.Phase.Load()) }
