package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/topology"
)

type fakeEditor struct {
	applied atomic.Int32
	err     error
}

func (e *fakeEditor) Apply(context.Context, policytable.Edit) (policy.Change, error) {
	e.applied.Add(1)
	return policy.Change{ID: "c", Revision: 8}, e.err
}
func (e *fakeEditor) Diff(context.Context, policytable.Edit) ([]string, error) {
	return []string{"line"}, e.err
}
func (e *fakeEditor) History(_ context.Context, limit int) ([]policy.Change, error) {
	return []policy.Change{{ID: "c", Revision: uint64(limit)}}, e.err
}
func (e *fakeEditor) Restore(_ context.Context, author string) (policy.Change, error) {
	return policy.Change{Author: author, Revision: 9}, e.err
}

// fakePeers activate revision 8 after a per-address delay. Other addresses are
// unreachable.
type fakePeers struct {
	start       time.Time
	activeAfter map[string]time.Duration
}

func (p *fakePeers) State(_ context.Context, address string) (peer.NodeState, error) {
	after, known := p.activeAfter[address]
	if !known {
		return peer.NodeState{}, failure.New(failure.NoReplica, "gone")
	}
	revision := uint64(7)
	if time.Since(p.start) >= after {
		revision = 8
	}
	return peer.NodeState{Member: topology.Member{ID: address}, TableRevision: revision}, nil
}

func (p *fakePeers) Statistics(_ context.Context, address string, _ time.Duration) ([]byte, error) {
	if _, known := p.activeAfter[address]; !known {
		return nil, failure.New(failure.NoReplica, "gone")
	}
	return encodeStatistics(address), nil
}

// encodeStatistics returns statistics with 40 queries of policy fast and 60 of policy
// old. Those of address "broken" are not decodable.
func encodeStatistics(address string) []byte {
	if address == "broken" {
		return []byte{0xc1}
	}
	recorder := statistics.New(nil)
	for i := range 100 {
		policy := "fast"
		if i%5 > 1 {
			policy = "old"
		}
		recorder.Record(policy, statistics.Sample{Group: "gate", Latency: time.Millisecond, Asked: 2, Answered: 2, Attempts: 3})
	}
	encoded, _ := msgpack.Marshal(recorder.Snapshot(time.Hour)) // never fails
	return encoded
}

func newOptions(editor *fakeEditor, peers *fakePeers) Options {
	board := &blackboard.Board{}
	serving := blackboard.PhaseServing
	board.Phase.Publish(&serving)
	board.PolicyTable.Publish(policy.NewIndex(&policy.Table{Revision: 8, Policies: []policy.Row{{Name: "fast"}}}))
	members := []topology.Member{{ID: "a", PeerAddress: "a"}, {ID: "b", PeerAddress: "b"}, {ID: "c", PeerAddress: "c"}}
	board.Catalogue.Publish(&catalogue.Catalogue{})
	board.Replicas.Publish(&topology.Replicas{Groups: map[string][]topology.Replica{}})
	board.Members.Publish(&topology.Members{Self: members[0], Members: members})
	return Options{Board: board, Editor: editor, Peers: peers, Registerer: prometheus.NewRegistry(), Gatherer: prometheus.NewRegistry(),
		State: func() peer.NodeState { return peer.NodeState{Member: members[0], TableRevision: 8} }}
}

func serve(handler http.Handler, method, path, body, token string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func TestHandlerResponses(t *testing.T) {
	conflict := failure.New(failure.Conflict, "changed by ama")
	cases := []struct {
		name, method, path, body, token string
		editError                       error
		status                          int
		kind                            failure.Kind
		contains                        string
		applied                         int32
	}{
		{name: "health", path: "/healthz", status: 200},
		{name: "ready", path: "/readyz", status: 200},
		{name: "metrics", path: "/metrics", status: 200},
		{name: "table", path: "/v1/table", status: 200, contains: `"revision":8`},
		{name: "policy", path: "/v1/policies/fast", status: 200, contains: `"name":"fast"`},
		{name: "unknown policy", path: "/v1/policies/slow", status: 404, kind: failure.NotFound},
		{name: "history", path: "/v1/history?limit=3", status: 200, contains: `"revision":3`},
		{name: "history, invalid limit", path: "/v1/history?limit=-1", status: 400, kind: failure.InvalidRequest},
		{name: "members", path: "/v1/members", status: 200, contains: `"id":"b"`},
		{name: "replicas", path: "/v1/replicas", status: 200, contains: `"groups":{}`},
		{name: "compare", path: "/v1/compare?a=fast&b=fast&last=1m", status: 200, contains: `"group":""`},
		{name: "compare, missing policy", path: "/v1/compare?a=fast", status: 400, kind: failure.InvalidRequest},
		{name: "compare, unknown policy", path: "/v1/compare?a=fast&b=none", status: 404, kind: failure.NotFound},
		{name: "compare, period too long", path: "/v1/compare?a=fast&b=old&last=2h", status: 400, kind: failure.InvalidRequest},
		{name: "compare, invalid period", path: "/v1/compare?a=fast&b=old&last=soon", status: 400, kind: failure.InvalidRequest},
		{name: "edit", method: "POST", path: "/v1/edits", body: `{"author":"ama"}`, token: "secret", status: 200, contains: `"revision":8`, applied: 1},
		{name: "dry run", method: "POST", path: "/v1/edits?dry_run=true", body: `{}`, token: "secret", status: 200, contains: `"diff":["line"]`},
		{name: "dry run, invalid value", method: "POST", path: "/v1/edits?dry_run=ja", body: `{}`, token: "secret", status: 400, kind: failure.InvalidRequest},
		{name: "wait too long", method: "POST", path: "/v1/edits?wait=1h", body: `{}`, token: "secret", status: 400, kind: failure.InvalidRequest},
		{name: "edit without token", method: "POST", path: "/v1/edits", body: `{}`, status: 401, kind: failure.Unauthorized},
		{name: "edit with wrong token", method: "POST", path: "/v1/edits", body: `{}`, token: "other", status: 401, kind: failure.Unauthorized},
		{name: "profile without token", path: "/debug/pprof/", status: 401, kind: failure.Unauthorized},
		{name: "unknown field", method: "POST", path: "/v1/edits", body: `{"polices":[]}`, token: "secret", status: 400, kind: failure.InvalidRequest},
		{name: "two documents", method: "POST", path: "/v1/edits", body: `{}{}`, token: "secret", status: 400, kind: failure.InvalidRequest},
		{name: "too large", method: "POST", path: "/v1/edits", body: `{"author":"` + strings.Repeat("x", 3<<20) + `"}`, token: "secret", status: 413, kind: failure.TooLarge},
		{name: "conflict", method: "POST", path: "/v1/edits", body: `{}`, token: "secret", editError: conflict, status: 409, kind: failure.Conflict, contains: "ama", applied: 1},
		{name: "restore", method: "POST", path: "/v1/restore", body: `{"author":"ama"}`, token: "secret", status: 200, contains: `"author":"ama"`},
		{name: "restore without token", method: "POST", path: "/v1/restore", body: `{}`, status: 401, kind: failure.Unauthorized},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			editor := &fakeEditor{err: test.editError}
			options := newOptions(editor, &fakePeers{})
			options.Token = "secret"
			method := test.method
			if method == "" {
				method = "GET"
			}
			got := serve(New(options), method, test.path, test.body, test.token)
			if got.Code != test.status || !strings.Contains(got.Body.String(), test.contains) {
				t.Errorf("got status %d and body %s, want status %d and a body with %q", got.Code, got.Body, test.status, test.contains)
			}
			if applied := editor.applied.Load(); applied != test.applied {
				t.Errorf("got %d edits applied, want %d", applied, test.applied)
			}
			if test.kind == "" {
				return
			}
			var problem client.Problem
			if err := json.Unmarshal(got.Body.Bytes(), &problem); err != nil || problem.Kind != string(test.kind) {
				t.Errorf("got problem %+v (error %v), want kind %s", problem, err, test.kind)
			}
		})
	}
}

func TestEditRejectsCrossOrigin(t *testing.T) {
	editor := &fakeEditor{}
	request := httptest.NewRequest("POST", "/v1/edits", strings.NewReader(`{}`))
	request.Header.Set("Sec-Fetch-Site", "cross-site")
	recorder := httptest.NewRecorder()
	New(newOptions(editor, &fakePeers{})).ServeHTTP(recorder, request)
	if recorder.Code != http.StatusForbidden || editor.applied.Load() != 0 {
		t.Errorf("got status %d and %d edits applied, want 403 and none", recorder.Code, editor.applied.Load())
	}
}

func TestReadiness(t *testing.T) {
	// newBoard publishes the first parts of policy table, catalogue and replicas.
	newBoard := func(phase blackboard.Phase, parts int) *blackboard.Board {
		board := &blackboard.Board{}
		board.Phase.Publish(&phase)
		for _, publish := range []func(){
			func() { board.PolicyTable.Publish(policy.NewIndex(&policy.Table{})) },
			func() { board.Catalogue.Publish(&catalogue.Catalogue{}) },
			func() { board.Replicas.Publish(&topology.Replicas{}) },
		}[:parts] {
			publish()
		}
		return board
	}
	phase := func(phase blackboard.Phase) *blackboard.Board { return newBoard(phase, 3) }
	cases := []struct {
		name   string
		board  *blackboard.Board
		status int
	}{
		{"empty board", &blackboard.Board{}, 503},
		{"starting", phase(blackboard.PhaseStarting), 503},
		{"serving", phase(blackboard.PhaseServing), 200},
		{"serving without table", newBoard(blackboard.PhaseServing, 0), 503},
		{"serving without catalogue", newBoard(blackboard.PhaseServing, 1), 503},
		{"serving without machine list", newBoard(blackboard.PhaseServing, 2), 503},
		{"closing", phase(blackboard.PhaseClosing), 503},
		{"draining", phase(blackboard.PhaseDraining), 503},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			options := newOptions(&fakeEditor{}, &fakePeers{})
			options.Board = test.board
			if got := serve(New(options), "GET", "/readyz", "", ""); got.Code != test.status {
				t.Errorf("got status %d, want %d", got.Code, test.status)
			}
		})
	}
}

func TestWaitForPropagation(t *testing.T) {
	cases := []struct {
		name        string
		activeAfter map[string]time.Duration
		complete    bool
		lagging     []string
		unreachable []string
	}{
		{"all immediately", map[string]time.Duration{"b": 0, "c": 0}, true, nil, nil},
		{"one late", map[string]time.Duration{"b": 0, "c": 3 * time.Second}, true, nil, nil},
		{"one too late", map[string]time.Duration{"b": 0, "c": time.Minute}, false, []string{"c"}, nil},
		{"one unreachable", map[string]time.Duration{"b": 0}, false, nil, []string{"c"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &fakePeers{start: time.Now(), activeAfter: test.activeAfter}
				got := serve(New(newOptions(&fakeEditor{}, peers)), "POST", "/v1/edits?wait=5s", `{}`, "")
				var result EditResult
				if err := json.Unmarshal(got.Body.Bytes(), &result); err != nil {
					t.Fatal(err)
				}
				var lagging, unreachable []string
				for _, daemon := range result.Propagation.Lagging {
					lagging = append(lagging, daemon.ID)
				}
				for _, daemon := range result.Propagation.Unreachable {
					unreachable = append(unreachable, daemon.Member.ID)
				}
				if result.Propagation.Complete != test.complete {
					t.Errorf("got complete %v, want %v", result.Propagation.Complete, test.complete)
				}
				if diff := cmp.Diff([][]string{test.lagging, test.unreachable}, [][]string{lagging, unreachable}); diff != "" {
					t.Errorf("lagging and unreachable (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestWaitIncludesRecentlyFailedMember guards against reporting a change as in force everywhere
// although a daemon that was taken for failed still serves callers by the old table.
func TestWaitIncludesRecentlyFailedMember(t *testing.T) {
	cases := []struct {
		name string
		// c answers by the new table after activeAfter, never if negative. It failed
		// shortly before the edit.
		activeAfter time.Duration
		wait        string
		complete    bool
		daemons     int
		failed      []string
	}{
		{"back in time", 3 * time.Second, "30s", true, 3, nil},
		{"does not come back", -1, "30s", true, 2, []string{"c"}},
		{"not back before the wait ends", -1, "5s", false, 3, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &fakePeers{start: time.Now(), activeAfter: map[string]time.Duration{"b": 0}}
				if test.activeAfter >= 0 {
					peers.activeAfter["c"] = test.activeAfter
				}
				options := newOptions(&fakeEditor{}, peers)
				known := options.Board.Members.Load()
				failed := known.Members[2]
				failed.State = topology.MemberDead
				options.Board.Members.Publish(&topology.Members{Self: known.Self, Members: known.Members[:2]})
				options.Failed = func(within time.Duration) []topology.Member {
					if time.Since(peers.start) > within {
						return nil
					}
					return []topology.Member{failed}
				}
				got := serve(New(options), "POST", "/v1/edits?wait="+test.wait, `{}`, "")
				var result EditResult
				if err := json.Unmarshal(got.Body.Bytes(), &result); err != nil {
					t.Fatal(err)
				}
				propagation := result.Propagation
				var notCounted []string
				for _, member := range propagation.Failed {
					notCounted = append(notCounted, member.ID)
				}
				if propagation.Complete != test.complete || propagation.Daemons != test.daemons || !slices.Equal(notCounted, test.failed) {
					t.Errorf("complete %v on %d daemons, failed %v; want %v on %d, failed %v",
						propagation.Complete, propagation.Daemons, notCounted, test.complete, test.daemons, test.failed)
				}
			})
		})
	}
}

func TestStatusLaggingAndUnreachable(t *testing.T) {
	peers := &fakePeers{start: time.Now(), activeAfter: map[string]time.Duration{"b": time.Hour}}
	got := serve(New(newOptions(&fakeEditor{}, peers)), "GET", "/v1/status", "", "")
	var status Status
	if err := json.Unmarshal(got.Body.Bytes(), &status); err != nil {
		t.Fatal(err)
	}
	if status.Revision != 8 || len(status.Nodes) != 2 || len(status.Lagging) != 1 || status.Lagging[0].ID != "b" ||
		len(status.Unreachable) != 1 || status.Unreachable[0].Member.ID != "c" {
		t.Errorf("got status %+v, want revision 8, 2 nodes, b lagging, c unreachable", status)
	}
}

func TestCompareMergesReachableDaemons(t *testing.T) {
	peers := &fakePeers{activeAfter: map[string]time.Duration{"b": 0, "broken": 0}}
	options := newOptions(&fakeEditor{}, peers)
	options.Statistics = func(time.Duration) ([]byte, error) { return encodeStatistics("a"), nil }
	members := []topology.Member{{ID: "a", PeerAddress: "a"}, {ID: "b", PeerAddress: "b"}, {ID: "broken", PeerAddress: "broken"}, {ID: "gone", PeerAddress: "gone"}}
	options.Board.Members.Publish(&topology.Members{Self: members[0], Members: members})
	var result comparison.ClusterReport
	response := serve(New(options), http.MethodGet, "/v1/compare?a=fast&b=old&group=gate", "", "")
	if err := json.Unmarshal(response.Body.Bytes(), &result); err != nil {
		t.Fatal(err)
	}
	if result.A.Queries != 80 || result.B.Queries != 120 || result.Daemons != 2 {
		t.Errorf("got %d and %d queries of %d daemons, want 80 and 120 of 2", result.A.Queries, result.B.Queries, result.Daemons)
	}
	var unreachable []string
	for _, daemon := range result.Unreachable {
		unreachable = append(unreachable, daemon.Member.ID)
	}
	if diff := cmp.Diff([]string{"broken", "gone"}, unreachable); diff != "" {
		t.Errorf("unreachable (-want +got):\n%s", diff)
	}
}
