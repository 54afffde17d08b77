package inspect

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/ingress"
	"github.com/doorpond/doorpond/internal/quota"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/topology"
)

// testNode is one node that serves the operators' API.
type testNode struct {
	server   *httptest.Server
	board    *blackboard.Board
	recorder *statistics.Recorder
	self     topology.Node
	budgets  []Budget
	refusals []ingress.Refusal
	quota    *quota.State
}

func newNode(t *testing.T, id string, version uint64) *testNode {
	t.Helper()
	n := &testNode{board: &blackboard.Board{}, recorder: statistics.New(time.Now), self: topology.Node{ID: id, Ready: true}}
	mux := http.NewServeMux()
	n.server = httptest.NewServer(mux)
	t.Cleanup(n.server.Close)
	n.self.StateAddress = strings.TrimPrefix(n.server.URL, "http://")
	mux.Handle("/", New(Config{
		Board: n.board, Node: n.self, Statistics: n.recorder.Snapshot, Client: n.server.Client(),
		Overloaded: func() bool { return id == "n2" },
		Budgets:    func() []Budget { return n.budgets },
		Refusals:   func() []ingress.Refusal { return n.refusals },
		Quota: func() (quota.State, bool) {
			if n.quota == nil {
				return quota.State{}, false
			}
			return *n.quota, true
		},
	}))
	routes := []routing.Route{{
		Name: "fetch", Host: "h", PathPrefix: "/f/", Objective: time.Second, Rank: 2,
		Policy:         routing.PolicyRow(routing.RouteSpec{Name: "fetch", Timeout: 4 * time.Second, Attempts: 3, MinShardFraction: 0.5}),
		WeightedGroups: []routing.WeightedGroup{{Group: "a", Weight: 3}, {Group: "b", Weight: 1}},
	}}
	n.board.Routes.Publish(routing.NewTable(version, routes, nil, routing.Limits{}))
	n.board.Replicas.Publish(&topology.Replicas{Groups: map[string][]topology.Replica{
		"a": {{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1", State: topology.ReplicaLeaving}},
	}})
	n.board.Store.Publish(&blackboard.StoreStatus{Reachable: true})
	return n
}

// connect publishes all nodes to each of them.
func connect(nodes ...*testNode) {
	var all []topology.Node
	for _, n := range nodes {
		all = append(all, n.self)
	}
	for _, n := range nodes {
		n.board.Nodes.Publish(&topology.Nodes{Self: n.self, Nodes: all, EntryNodes: all[:1]})
	}
}

func (n *testNode) get(t *testing.T, path string, result any) int {
	t.Helper()
	response, err := http.Get(n.server.URL + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(result); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}

func TestSystem(t *testing.T) {
	first, second, third := newNode(t, "n1", 7), newNode(t, "n2", 5), newNode(t, "n3", 7)
	connect(first, second, third)
	third.server.Close()
	var got System
	if status := second.get(t, pathSystem, &got); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	if got.Version != 7 || len(got.Nodes) != 2 || !cmp.Equal(got.Lagging, []string{"n2"}) {
		t.Errorf("got version %d, %d nodes, lagging %v; want version 7, 2 nodes, lagging [n2]", got.Version, len(got.Nodes), got.Lagging)
	}
	if len(got.Unreachable) != 1 || got.Unreachable[0].Member.ID != "n3" {
		t.Errorf("got unreachable nodes %+v, want n3", got.Unreachable)
	}
	if !got.Nodes[0].Node.Overloaded || got.Nodes[0].Entry || !got.Nodes[1].Entry || !got.Nodes[0].StoreReachable {
		t.Errorf("got nodes %+v, want n2 overloaded and not an entry, n1 an entry, store reachable", got.Nodes)
	}
	if got.Replicas != 1 || len(got.Leaving) != 1 || got.Leaving[0].Address != "10.0.0.2:1" {
		t.Errorf("got %d serving replicas, leaving %+v; want 1, leaving 10.0.0.2:1", got.Replicas, got.Leaving)
	}
	want := []Route{{
		Name: "fetch", Host: "h", PathPrefix: "/f/", Rank: 2, Attempts: 3, MinShardFraction: 0.5, TimeoutMilliseconds: 4000, ObjectiveMilliseconds: 1000,
		WeightedGroups: []routing.WeightedGroup{{Group: "a", Weight: 3}, {Group: "b", Weight: 1}},
	}}
	if diff := cmp.Diff(want, got.Routes); diff != "" {
		t.Errorf("routes (-want +got):\n%s", diff)
	}
}

// Budgets are summed by group, the most denied first.
func TestSystemMergesBudgets(t *testing.T) {
	first, second := newNode(t, "n1", 1), newNode(t, "n2", 1)
	connect(first, second)
	used := decision.BudgetUsage{Tokens: 2, Burst: 5, FirstAttempts: 100, Retries: 3, Hedges: 4}
	denied := decision.BudgetUsage{Burst: 5, FirstAttempts: 10, Retries: 2, DeniedRetries: 1}
	first.budgets = []Budget{{"much used", used}}
	second.budgets = []Budget{{"denied", denied}, {"much used", used}}
	var got System
	if status := first.get(t, pathSystem, &got); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	if diff := cmp.Diff([]Budget{{"denied", denied}, {"much used", used.Add(used)}}, got.Budgets); diff != "" {
		t.Errorf("budgets (-want +got):\n%s", diff)
	}
}

// Guards against refusals that operators cannot attribute to a node, and against nodes of older
// versions, which report none.
func TestSystemListsRefusals(t *testing.T) {
	first, second, older := newNode(t, "n1", 1), newNode(t, "n2", 1), newNode(t, "n3", 1)
	connect(first, second, older)
	limited := ingress.Refusal{Tenant: "acme", Kind: failure.QuotaExceeded, Count: 7}
	first.refusals = []ingress.Refusal{{Kind: failure.Unauthenticated, Count: 2}, limited}
	second.refusals = []ingress.Refusal{limited}
	older.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"node":{"ID":"n3"},"version":1}`))
	})
	var got System
	if status := first.get(t, pathSystem, &got); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	want := []NodeRefusal{{"n1", limited}, {"n2", limited}, {"n1", first.refusals[0]}}
	if diff := cmp.Diff(want, got.Refusals); diff != "" || len(got.Nodes) != 3 {
		t.Errorf("%d nodes, refusals (-want +got):\n%s", len(got.Nodes), diff)
	}
}

// Guards against tenants at their limit that operators cannot attribute to a node, against an order
// that hides those at their limit now, and against nodes without a quota or of older versions.
func TestSystemListsTenantsAtLimit(t *testing.T) {
	first, second, without, older := newNode(t, "n1", 1), newNode(t, "n2", 1), newNode(t, "n3", 1), newNode(t, "n4", 1)
	connect(first, second, without, older)
	calm := quota.TenantState{Tenant: "calm", Rate: 5, Admitted: 3}
	earlier := quota.TenantState{Tenant: "acme", Rate: 5, Admitted: 9, Refused: 80}
	atLimit := quota.TenantState{Tenant: "acme", Rate: 5, AtLimit: true, Admitted: 8, Refused: 7}
	first.quota = &quota.State{Accounts: 2, Tenants: []quota.TenantState{calm, earlier}, Peers: []quota.PeerState{{Node: "n2", AgeMilliseconds: 30}}}
	second.quota = &quota.State{Accounts: 1, Tenants: []quota.TenantState{atLimit}}
	older.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"node":{"ID":"n4"},"version":1}`))
	})
	var got System
	if status := first.get(t, pathSystem, &got); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	if diff := cmp.Diff([]NodeTenant{{"n2", atLimit}, {"n1", earlier}}, got.TenantsAtLimit); diff != "" || len(got.Nodes) != 4 {
		t.Errorf("%d nodes, tenants at their limit (-want +got):\n%s", len(got.Nodes), diff)
	}
	for _, node := range got.Nodes {
		if limits := node.Node.ID == "n1" || node.Node.ID == "n2"; (node.Quota != nil) != limits {
			t.Errorf("node %s: quota %+v", node.Node.ID, node.Quota)
		}
	}
}

// Guards against an order of reports in which a node that never sent one seems to be up to date.
func TestOldestReport(t *testing.T) {
	for _, test := range []struct {
		ages []int64
		want int64
	}{{[]int64{20, 900, 30}, 900}, {[]int64{900, -1, 30}, -1}, {[]int64{-1, 900}, -1}} {
		var peers []quota.PeerState
		for _, age := range test.ages {
			peers = append(peers, quota.PeerState{AgeMilliseconds: age})
		}
		if got := OldestReport(peers); got == nil || got.AgeMilliseconds != test.want {
			t.Errorf("ages %v: oldest %+v, want %d", test.ages, got, test.want)
		}
	}
	if got := OldestReport(nil); got != nil {
		t.Errorf("without peers: %+v", got)
	}
}

func TestCompareMergesNodes(t *testing.T) {
	first, second := newNode(t, "n1", 1), newNode(t, "n2", 1)
	connect(first, second)
	for i, n := range []*testNode{first, second} {
		for range 10 * (i + 1) {
			n.recorder.Record("fetch", statistics.Sample{Group: "h", Latency: time.Millisecond, Asked: 1, Answered: 1, Attempts: 1})
			n.recorder.Record("old", statistics.Sample{Group: "h", Latency: time.Second, Asked: 1, Failed: true, Attempts: 1})
		}
	}
	var got comparison.ClusterReport
	if status := first.get(t, pathCompare+"?a=fetch&b=old", &got); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	if got.Daemons != 2 || got.A.Queries != 30 || got.B.Queries != 30 || got.B.Failed != 30 {
		t.Errorf("got %d nodes, A %+v, B %+v; want 2 nodes, 30 queries each, 30 failed of B", got.Daemons, got.A, got.B)
	}
}

func TestInvalidParameters(t *testing.T) {
	only := newNode(t, "n1", 1)
	for path, want := range map[string]int{
		pathCompare + "?a=fetch":                    http.StatusBadRequest,
		pathCompare + "?a=fetch&b=nowhere":          http.StatusNotFound,
		pathCompare + "?a=fetch&b=fetch&last=never": http.StatusBadRequest,
		pathStatistics + "?last=5s":                 http.StatusBadRequest,
	} {
		if got := only.get(t, path, nil); got != want {
			t.Errorf("%s: got status %d, want %d", path, got, want)
		}
	}
}
