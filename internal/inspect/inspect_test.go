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
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/topology"
)

// node is one node that answers operators.
type node struct {
	server   *httptest.Server
	board    *blackboard.Board
	recorder *statistics.Recorder
	self     topology.Node
	budgets  []Budget
}

func newNode(t *testing.T, id string, version uint64) *node {
	t.Helper()
	made := &node{board: &blackboard.Board{}, recorder: statistics.New(time.Now), self: topology.Node{ID: id, Ready: true}}
	mux := http.NewServeMux()
	made.server = httptest.NewServer(mux)
	t.Cleanup(made.server.Close)
	made.self.StateAddress = strings.TrimPrefix(made.server.URL, "http://")
	mux.Handle("/", New(Config{
		Board: made.board, Node: made.self, Measured: made.recorder.Snapshot, Client: made.server.Client(),
		Loaded:  func() bool { return id == "n2" },
		Budgets: func() []Budget { return made.budgets },
	}))
	routes := []routing.Route{{
		Name: "fetch", Host: "h", PathPrefix: "/f/", Objective: time.Second, Rank: 2,
		Policy:         routing.PolicyRow(routing.RouteSpec{Name: "fetch", Timeout: 4 * time.Second, Attempts: 3, MinShardRatio: 0.5}),
		WeightedGroups: []routing.WeightedGroup{{Group: "a", Weight: 3}, {Group: "b", Weight: 1}},
	}}
	made.board.Routes.Publish(routing.NewTable(version, routes, nil, routing.Limits{}))
	made.board.Replicas.Publish(&topology.Replicas{Groups: map[string][]topology.Replica{
		"a": {{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1", State: topology.ReplicaLeaving}},
	}})
	made.board.Store.Publish(&blackboard.StoreStatus{Reachable: true})
	return made
}

// know lets nodes know each other.
func know(nodes ...*node) {
	var all []topology.Node
	for _, one := range nodes {
		all = append(all, one.self)
	}
	for _, one := range nodes {
		one.board.Nodes.Publish(&topology.Nodes{Self: one.self, Nodes: all, EntryNodes: all[:1]})
	}
}

func (n *node) get(t *testing.T, path string, into any) int {
	t.Helper()
	response, err := http.Get(n.server.URL + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}

func TestSystem(t *testing.T) {
	first, second, third := newNode(t, "n1", 7), newNode(t, "n2", 5), newNode(t, "n3", 7)
	know(first, second, third)
	third.server.Close()
	var got System
	if status := second.get(t, pathSystem, &got); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if got.Version != 7 || len(got.Nodes) != 2 || !cmp.Equal(got.Lagging, []string{"n2"}) {
		t.Errorf("version %d, %d nodes, lagging %v", got.Version, len(got.Nodes), got.Lagging)
	}
	if len(got.Unreachable) != 1 || got.Unreachable[0].Member.ID != "n3" {
		t.Errorf("unreachable %+v", got.Unreachable)
	}
	if !got.Nodes[0].Node.Overloaded || got.Nodes[0].Entry || !got.Nodes[1].Entry || !got.Nodes[0].StoreReachable {
		t.Errorf("nodes %+v", got.Nodes)
	}
	if got.Replicas != 1 || len(got.Leaving) != 1 || got.Leaving[0].Address != "10.0.0.2:1" {
		t.Errorf("%d replicas serve, leaving %+v", got.Replicas, got.Leaving)
	}
	want := []Route{{
		Name: "fetch", Host: "h", PathPrefix: "/f/", Rank: 2, Attempts: 3, LeastShare: 0.5, Timeout: 4000, Objective: 1000,
		Shares: []routing.WeightedGroup{{Group: "a", Weight: 3}, {Group: "b", Weight: 1}},
	}}
	if diff := cmp.Diff(want, got.Routes); diff != "" {
		t.Errorf("routes (-want +got):\n%s", diff)
	}
}

// TestSystemAddsUpTheBudgets of all nodes, those first of which most was denied.
func TestSystemAddsUpTheBudgets(t *testing.T) {
	first, second := newNode(t, "n1", 1), newNode(t, "n2", 1)
	know(first, second)
	used := decision.BudgetUsage{Tokens: 2, Burst: 5, FirstAttempts: 100, Retries: 3, Hedges: 4}
	denied := decision.BudgetUsage{Burst: 5, FirstAttempts: 10, Retries: 2, DeniedRetries: 1}
	first.budgets = []Budget{{"much used", used}}
	second.budgets = []Budget{{"denied", denied}, {"much used", used}}
	var got System
	if status := first.get(t, pathSystem, &got); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if diff := cmp.Diff([]Budget{{"denied", denied}, {"much used", used.Add(used)}}, got.Budgets); diff != "" {
		t.Errorf("budgets (-want +got):\n%s", diff)
	}
}

func TestCompareAddsUpAllNodes(t *testing.T) {
	first, second := newNode(t, "n1", 1), newNode(t, "n2", 1)
	know(first, second)
	for i, one := range []*node{first, second} {
		for range 10 * (i + 1) {
			one.recorder.Record("fetch", statistics.Sample{Group: "h", Latency: time.Millisecond, Asked: 1, Answered: 1, Attempts: 1})
			one.recorder.Record("old", statistics.Sample{Group: "h", Latency: time.Second, Asked: 1, Failed: true, Attempts: 1})
		}
	}
	var got comparison.Live
	if status := first.get(t, pathCompare+"?a=fetch&b=old", &got); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if got.Daemons != 2 || got.A.Queries != 30 || got.B.Queries != 30 || got.B.Failed != 30 {
		t.Errorf("%d nodes, %+v against %+v", got.Daemons, got.A, got.B)
	}
}

func TestBadQuestionsAreRefused(t *testing.T) {
	only := newNode(t, "n1", 1)
	for path, want := range map[string]int{
		pathCompare + "?a=fetch":                    http.StatusBadRequest,
		pathCompare + "?a=fetch&b=nowhere":          http.StatusNotFound,
		pathCompare + "?a=fetch&b=fetch&last=never": http.StatusBadRequest,
		pathStatistics + "?last=5s":                 http.StatusBadRequest,
	} {
		if got := only.get(t, path, nil); got != want {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
	}
}
