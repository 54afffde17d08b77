package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/ingress"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/quota"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

func TestPrintSystem(t *testing.T) {
	place := topology.Place{Region: "accra", Zone: "kaneshie"}
	system := &inspect.System{
		Version: 7, Replicas: 30, Lagging: []string{"n2"},
		Nodes: []inspect.Node{
			{Node: topology.Node{ID: "n2", Place: place}, Version: 5, StoreEra: 1, StoreRevision: 87, ConfirmedAgoMilliseconds: -1, StoreSince: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)},
			{Node: topology.Node{ID: "n1", Address: "10.0.0.1:1", Place: place, Overloaded: true}, Entry: true, Version: 7, StoreReachable: true, StoreEra: 2, StoreRevision: 31, ConfirmedAgoMilliseconds: 40,
				Tenants: 5, TenantKeys: 9, TenantConflicts: 1,
				Quota: &quota.State{Accounts: 4, Peers: []quota.PeerState{
					{Node: "n2", AgeMilliseconds: 1700, Silent: true}, {Node: "n4", AgeMilliseconds: 20},
				}}},
		},
		Unreachable: []comparison.Unreachable{{Member: topology.Member{ID: "n3"}, Reason: "no\x1b answer"}},
		Routes: []inspect.Route{
			{Name: "search", Host: "h", Shards: 10, MinShardFraction: 0.89, TopRecords: 20, Regions: []string{"accra", "kumasi"}},
			{Name: "fetch", Host: "h", WeightedGroups: []routing.WeightedGroup{{Group: "a", Weight: 3}, {Group: "b", Weight: 1}}},
			{Name: "plain", Host: "h", WeightedGroups: []routing.WeightedGroup{{Group: "a", Weight: 1}}},
		},
		Leaving:   []topology.Replica{{Group: "a", Address: "10.0.0.9:1", State: topology.ReplicaVanished}},
		Evacuated: map[string]int{"adum": 4}, Cold: 3,
		Quarantined: []inspect.QuarantinedRequest{{
			Identity: "5f1c", Nodes: 3, Refusing: 2,
			Record: quarantine.Record{CrashedReplicas: 12, RefuseMilliseconds: 599_600, Route: "search", Caller: "10.9.0.1", Target: "/p/\x1b1"},
		}},
		Budgets: []inspect.Budget{{Group: "shard-1", BudgetUsage: decision.BudgetUsage{
			Tokens: 1.25, Burst: 9, FirstAttempts: 800, Retries: 30, Hedges: 40, DeniedRetries: 5, DeniedHedges: 6,
		}}},
		Refusals: []inspect.NodeRefusal{
			{Node: "n1", Refusal: ingress.Refusal{Tenant: "ac\x1bme", Kind: failure.QuotaExceeded, Count: 70, LastAgoMilliseconds: 1234}},
			{Node: "n2", Refusal: ingress.Refusal{Kind: failure.Unauthenticated, Count: 3, LastAgoMilliseconds: 90_000}},
		},
	}
	system.TenantsAtLimit = []inspect.NodeTenant{{Node: "n1", TenantState: quota.TenantState{
		Tenant: "ac\x1bme", Rate: 12.5, Burst: 20, Balance: -0.26, Reserved: 4, Demand: 30, AtLimit: true, Admitted: 400, Refused: 70,
		Reasons: map[quota.Reason]uint64{quota.ReasonPace: 60, quota.ReasonBalance: 10, quota.ReasonReserved: 0},
	}}}
	var out strings.Builder
	printSystem(&out, system)
	lines := strings.Split(out.String(), "\n")
	for _, want := range []string{
		"configuration 7; 2 nodes answer, 1 lag, 1 do not answer; 30 replicas serve, 1 leave",
		"accra kaneshie n1 10.0.0.1:1 entry true 7 reachable 2 31 40 ms ago",
		"accra kaneshie n2 standby false 5 away since 03:04:05 1 87 never",
		"search h 0 false 0 0 ms 0 ms accra,kumasi 10 shards, at least 0.89, top 20",
		"fetch h 0 false 0 0 ms 0 ms all a=3, b=1",
		"plain h 0 false 0 0 ms 0 ms all a",
		"vanished a 10.0.0.9:1",
		"shard-1 1.2 9.0 800 30 40 5 6",
		"5f1c search 10.9.0.1 /p/ 1 12 10m0s 2 3",
		"70 ac me quota_exceeded n1 1.2s ago",
		"3 (none) unauthenticated n2 1m30s ago",
		"0 0 0 n2",
		"5 9 1 n1",
		"ac me true n1 12.5/s 20 -0.3 4.0 30.0/s 400 70 balance=10,pace=60",
		"n1 4 1700 ms ago n2 n2",
		"n2 - - - -",
		"lags: n2",
		"cold: 3 of the replicas that serve take no more than their rate",
		"evacuated: adum, 4 replicas",
		"does not answer: n3 no answer",
	} {
		if !hasLine(lines, want) {
			t.Errorf("output has no line %q:\n%s", want, out.String())
		}
	}
}

// hasLine reports whether a line equals want, ignoring column padding.
func hasLine(lines []string, want string) bool {
	for _, line := range lines {
		if strings.Join(strings.Fields(line), " ") == want {
			return true
		}
	}
	return false
}
