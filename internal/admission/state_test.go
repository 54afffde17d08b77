package admission

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

// Guards against lists that grow with the tenants, refusals without their reason, and a log line for
// each request while a target is short of capacity.
func TestControllersState(t *testing.T) {
	var logged bytes.Buffer
	registry := prometheus.NewRegistry()
	controllers := NewControllers(Options{MaxInFlight: 20, Logger: slog.New(slog.NewTextHandler(&logged, nil)), Registerer: registry})
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
	now := time.Unix(1000, 0)
	admit := func(tenant string, priority client.Priority) {
		if ticket, err := controllers.ForTarget("a").AdmitTenant(row, priority, Tenant{Name: tenant, Rank: 1}, now, time.Second); err == nil && tenant != "hot" {
			ticket.Release(now.Add(10 * time.Millisecond))
		}
	}
	for i := range 30 {
		admit(fmt.Sprint("tenant-", i), client.PriorityCritical)
	}
	now = now.Add(2 * shareInterval) // the shares are computed anew
	for range 30 {
		admit("hot", client.PriorityCritical)
	}
	controllers.ForTarget("b")
	states := controllers.State(now)
	if len(states) != 2 || states[0].Target != "a" || !states[0].Short || states[0].InFlight != 20 || states[0].Limit != 20 {
		t.Fatalf("states %+v, want target a first, short of capacity, with 20 in flight", states)
	}
	if states[0].TenantCount != 31 || len(states[0].Tenants) != maxStateTenants || states[0].Tenants[0].Name != "hot" || states[0].Tenants[0].InFlight != 20 {
		t.Errorf("%d tenants, listed %+v, want 31, and %d listed with the hot one first", states[0].TenantCount, states[0].Tenants, maxStateTenants)
	}
	if states[1].Short || states[1].TenantCount != 0 {
		t.Errorf("state %+v of a target without requests", states[1])
	}
	controllers.CountRefusal("shard_lost")
	for reason, want := range map[string]float64{"shard_lost": 1, reasonShare: 10} {
		if got := counted(t, registry, reason); got != want {
			t.Errorf("%v refusals for the reason %s, want %v", got, reason, want)
		}
	}
	now = now.Add(shortageExpiry)
	if controllers.State(now)[0].Short {
		t.Error("short of capacity after the shortage")
	}
	admit("tenant-0", client.PriorityCritical)
	admit("tenant-0", client.PriorityCritical)
	for line, count := range map[string]int{`"target short of capacity" target=a`: 1, `"target no longer short of capacity" target=a`: 1, "refused=10": 1, "\n": 2} {
		if got := strings.Count(logged.String(), line); got != count {
			t.Errorf("%q logged %d times, want %d:\n%s", line, got, count, logged.String())
		}
	}
}

// counted returns the number of refusals for a reason.
func counted(t *testing.T, registry *prometheus.Registry, reason string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == "doorpondd_target_refusals_total" && metric.GetLabel()[0].GetValue() == reason {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}
