package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/topology"
)

// daemon is a fake daemon that serves the administration port and the query port
// and records requests.
type daemon struct {
	edits   []policytable.Edit
	tokens  []string
	calls   []client.Call
	queries []client.Query
	problem *failure.Error
	lagging []admin.LaggingDaemon
}

func testTable() *policy.Table {
	fast := policy.DefaultRow("fast")
	fast.Shards.IndexWeights = map[string]float64{"a.b": 2}
	return &policy.Table{Revision: 7, Policies: []policy.Row{fast, policy.DefaultRow("old")},
		Assignments: []policy.Assignment{{Group: "gate", Shares: []policy.Share{{Policy: "fast", Weight: 1}}}}}
}

func testComparison(query url.Values) comparison.ClusterReport {
	last, _ := time.ParseDuration(query.Get("last")) // an invalid value fails the check of the output
	estimate := comparison.Estimate{Value: 10, Low: 9, High: 11, HasInterval: true}
	return comparison.ClusterReport{
		Group: query.Get("group"), LastSeconds: int64(last / time.Second), Daemons: 2,
		Report: comparison.Report{
			A: comparison.PolicySummary{Policy: query.Get("a")}, B: comparison.PolicySummary{Policy: query.Get("b")}, Warnings: []string{"few"},
			Latency: []comparison.LatencyComparison{{Quantile: 0.999, A: estimate, B: comparison.Estimate{Value: 3}, Verdict: comparison.VerdictTooFewSamples}},
		},
		Unreachable: []admin.Unreachable{{Member: topology.Member{ID: "node-b"}, Reason: "gone"}},
	}
}

func (d *daemon) handler() http.Handler {
	routes := http.NewServeMux()
	respond := func(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
	routes.HandleFunc("GET /v1/table", func(w http.ResponseWriter, _ *http.Request) { respond(w, testTable()) })
	routes.HandleFunc("GET /v1/policies/fast", func(w http.ResponseWriter, _ *http.Request) { respond(w, testTable().Policies[0]) })
	routes.HandleFunc("GET /v1/policies/none", func(w http.ResponseWriter, _ *http.Request) {
		failure.WriteProblem(w, failure.New(failure.NotFound, "no such policy"))
	})
	routes.HandleFunc("GET /v1/history", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, admin.History{Changes: []policy.Change{{Revision: 7, Author: "ama\x1b[2J", Summary: []string{"did"}}}})
	})
	routes.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { respond(w, admin.Status{Revision: 7}) })
	routes.HandleFunc("GET /v1/compare", func(w http.ResponseWriter, r *http.Request) { respond(w, testComparison(r.URL.Query())) })
	routes.HandleFunc("POST /v1/release", func(w http.ResponseWriter, r *http.Request) {
		if identity := r.URL.Query().Get("identity"); identity != "5f1c" {
			failure.WriteProblem(w, failure.New(failure.NotFound, "no node suspects this request"))
			return
		}
		respond(w, inspect.ReleaseResult{Identity: "5f1c"})
	})
	routes.HandleFunc("POST /v1/edits", d.edit)
	routes.HandleFunc("POST /v1/restore", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, admin.EditResult{Change: &policy.Change{Revision: 9}})
	})
	routes.HandleFunc("POST /v1/query", func(w http.ResponseWriter, r *http.Request) {
		d.queries = append(d.queries, read[client.Query](r))
		d.respondToCaller(w, client.Answer{Snapshot: 3, Hits: []client.Hit{{ID: "h", Text: "ሰላም"}}})
	})
	routes.HandleFunc("POST /v1/call", func(w http.ResponseWriter, r *http.Request) {
		d.calls = append(d.calls, read[client.Call](r))
		d.respondToCaller(w, client.CallResult{Result: json.RawMessage(`{"done":true}`)})
	})
	return routes
}

func read[T any](r *http.Request) T {
	var value T
	_ = json.NewDecoder(r.Body).Decode(&value)
	return value
}

func (d *daemon) respondToCaller(w http.ResponseWriter, value any) {
	if d.problem != nil {
		failure.WriteProblem(w, d.problem)
		return
	}
	_ = json.NewEncoder(w).Encode(value)
}

func (d *daemon) edit(w http.ResponseWriter, r *http.Request) {
	edit := read[policytable.Edit](r)
	if r.URL.Query().Get("dry_run") == "true" {
		_ = json.NewEncoder(w).Encode(admin.EditResult{DryRun: true, Diff: []string{"a line"}})
		return
	}
	d.edits = append(d.edits, edit)
	d.tokens = append(d.tokens, r.Header.Get("Authorization"))
	if d.problem != nil {
		failure.WriteProblem(w, d.problem)
		return
	}
	_ = json.NewEncoder(w).Encode(admin.EditResult{Change: &policy.Change{Revision: 8, Summary: []string{"changed"}},
		Propagation: &admin.Propagation{Revision: 8, Complete: len(d.lagging) == 0, Lagging: d.lagging, Daemons: 3}})
}

type outcome struct {
	code     int
	out, err string
}

// run runs the command line against a fake daemon.
func run(t *testing.T, d *daemon, input string, arguments ...string) outcome {
	t.Helper()
	server := httptest.NewServer(d.handler())
	defer server.Close()
	return runAt(t, server.URL, input, arguments...)
}

func runAt(t *testing.T, address, input string, arguments ...string) outcome {
	var out, errors bytes.Buffer
	command := New(Streams{In: strings.NewReader(input), Out: &out, Err: &errors})
	line := append([]string{"doorpond", "--admin", address, "--daemon", address, "--token", "secret"}, arguments...)
	code := ExitCode(command.Run(t.Context(), line), &errors)
	return outcome{code, out.String(), errors.String()}
}

func TestExitCodesAndOutput(t *testing.T) {
	t.Setenv("USER", "ama")
	conflict := failure.New(failure.Conflict, "changed by kofi")
	cases := []struct {
		name     string
		line     string
		problem  *failure.Error
		lagging  []admin.LaggingDaemon
		code     int
		contains string
	}{
		{name: "list", line: "policy list", contains: "fast"},
		{name: "list as JSON", line: "policy list --output json", contains: `"revision": 7`},
		{name: "get", line: "policy get fast", contains: "shards.index_weights.a.b"},
		{name: "get unknown", line: "policy get none", code: ExitFailure, contains: "no such policy"},
		{name: "history", line: "policy history", contains: "ama [2J"},
		{name: "status", line: "status", contains: "table revision 7"},
		{name: "restore", line: "restore", contains: "revision 9"},
		{name: "release", line: "release 5f1c", contains: "released: 5f1c"},
		{name: "release unknown", line: "release 5f1d", code: ExitFailure, contains: "no node suspects"},
		{name: "release without identity", line: "release", code: ExitUsage, contains: "IDENTITY"},
		{name: "set", line: "policy set fast wait.timeout=50ms", contains: "revision 8"},
		{name: "dry run", line: "policy set fast wait.timeout=50ms --dry-run", contains: "a line"},
		{name: "set without a field", line: "policy set fast", code: ExitUsage, contains: "FIELD=VALUE"},
		{name: "set unknown field", line: "policy set fast wait.timeot=50ms", code: ExitUsage, contains: "timeot"},
		{name: "set invalid duration", line: "policy set fast wait.timeout=50", code: ExitUsage, contains: "wait.timeout"},
		{name: "set name", line: "policy set fast name=x", code: ExitUsage, contains: "name"},
		{name: "set conflict", line: "policy set fast priority=high", problem: conflict, code: ExitConflict, contains: "kofi"},
		{name: "set without token", line: "policy set fast priority=high", problem: failure.New(failure.Unauthorized, "token"), code: ExitFailure},
		{name: "set refused", line: "policy set fast priority=highest", problem: failure.New(failure.InvalidRequest, "priority"), code: ExitUsage},
		{name: "set with store unavailable", line: "policy set fast priority=high", problem: failure.New(failure.StoreUnavailable, "out"), code: ExitUnavailable},
		{name: "set with unknown outcome", line: "policy set fast priority=high --change-id one", problem: failure.New(failure.OutcomeUnknown, "lost"), code: ExitUncertain, contains: "--change-id one"},
		{name: "set with lagging daemon", line: "policy set fast priority=high --wait 1s", lagging: []admin.LaggingDaemon{{ID: "node-c", Place: topology.Place{Region: "accra"}}}, code: ExitUncertain, contains: "node-c"},
		{name: "wait too long", line: "policy set fast priority=high --wait 1h", code: ExitUsage, contains: "wait"},
		{name: "assign invalid weight", line: "assign gate fast=0", code: ExitUsage, contains: "weight"},
		{name: "assign without policy", line: "assign gate", code: ExitUsage, contains: "--delete"},
		{name: "unknown command", line: "polcy list", code: ExitUsage, contains: "polcy"},
		{name: "unknown subcommand", line: "policy lst", code: ExitUsage, contains: "lst"},
		{name: "unknown flag", line: "status --verbose", code: ExitUsage, contains: "verbose"},
		{name: "invalid output", line: "--output xml status", code: ExitUsage, contains: "xml"},
		{name: "apply without file", line: "apply", code: ExitUsage, contains: "file"},
		{name: "apply missing file", line: "apply -f no-such-file.yaml", code: ExitUsage, contains: "no-such-file"},
		{name: "query", line: "query --corpus cues selam", contains: "ሰላም"},
		{name: "query without phrase", line: "query --corpus cues", code: ExitUsage, contains: "phrase"},
		{name: "query rejected by overload", line: "query --corpus cues selam", problem: failure.New(failure.Overloaded, "full"), code: ExitUnavailable, contains: "Try again in 100ms"},
		{name: "call", line: "call --key k --service s --operation o", contains: `"done":true`},
		{name: "call with unknown outcome", line: "call --key k --service s --operation o", problem: failure.New(failure.OutcomeUnknown, "lost"), code: ExitUncertain},
		{name: "call past deadline", line: "call --key k --service s --operation o", problem: failure.New(failure.DeadlineExceeded, "late"), code: ExitUncertain},
		{name: "call not run", line: "call --key k --service s --operation o", problem: failure.New(failure.NoReplica, "none"), code: ExitUnavailable, contains: "Nothing was run"},
		{name: "call with invalid payload", line: "call --key k --service s --operation o --payload {", code: ExitUsage, contains: "JSON"},
		{name: "help", line: "policy set --help", contains: "Examples:"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			d := &daemon{problem: test.problem, lagging: test.lagging}
			got := run(t, d, "", strings.Fields(test.line)...)
			if got.code != test.code || !strings.Contains(got.out+got.err, test.contains) {
				t.Errorf("got code %d, want %d with %q\nout: %s\nerr: %s", got.code, test.code, test.contains, got.out, got.err)
			}
		})
	}
}

func TestPolicySetSendsFullRow(t *testing.T) {
	d := &daemon{}
	got := run(t, d, "", "policy", "set", "fast", "wait.timeout=50ms", "retry.attempts=2", "priority=high",
		"shards.index_weights.c.d=1.5", "shards.index_weights.a.b=", "--author", "kofi")
	if got.code != ExitOK {
		t.Fatal(got)
	}
	want := policy.DefaultRow("fast")
	want.Wait.Timeout = policy.Duration(50e6)
	want.Retry.Attempts = 2
	want.Priority = client.PriorityHigh
	want.Shards.IndexWeights = map[string]float64{"c.d": 1.5}
	edit := d.edits[0]
	if diff := cmp.Diff([]policy.Row{want}, edit.SetPolicies); diff != "" {
		t.Error(diff)
	}
	if edit.ExpectedRevision != 7 || edit.Author != "kofi" || edit.ID == "" || d.tokens[0] != "Bearer secret" {
		t.Errorf("edit %+v with %s", edit, d.tokens[0])
	}
}

func TestExitCodeWhenDaemonIsDown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	for _, line := range []string{"status", "policy list", "query --corpus cues x", "call --key k --service s --operation o"} {
		if got := runAt(t, address, "", strings.Fields(line)...); got.code != ExitUnavailable {
			t.Errorf("%s: code %d, want %d: %s", line, got.code, ExitUnavailable, got.err)
		}
	}
}

func TestExitCodeWhenCallIsInterrupted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	got := runAt(t, server.URL, "", "call", "--key", "k", "--service", "s", "--operation", "o")
	if got.code != ExitUncertain {
		t.Errorf("code %d, want %d: %s", got.code, ExitUncertain, got.err)
	}
}

const tableFile = `
policies:
  - name: fast
    wait: {timeout: 60ms}
assignments:
  - group: gate
    shares: [{policy: fast, weight: 3}]
`

func TestApply(t *testing.T) {
	path := filepath.Join(t.TempDir(), "table.yaml")
	if err := os.WriteFile(path, []byte(tableFile), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{}
	got := run(t, d, "", "apply", "-f", path, "--prune", "--author", "ama")
	if got.code != ExitOK {
		t.Fatal(got)
	}
	fast := policy.DefaultRow("fast")
	fast.Wait.Timeout = policy.Duration(60e6)
	want := policytable.Edit{ID: d.edits[0].ID, Author: "ama", ExpectedRevision: 7, SetPolicies: []policy.Row{fast},
		DeletePolicies: []string{"old"}, SetAssignments: []policy.Assignment{{Group: "gate", Shares: []policy.Share{{Policy: "fast", Weight: 3}}}}}
	if diff := cmp.Diff(want, d.edits[0]); diff != "" {
		t.Error(diff)
	}
}

func TestTableFileErrors(t *testing.T) {
	cases := []struct{ name, file, contains string }{
		{"unknown key", "policies:\n  - name: fast\n    wiat: {timeout: 1s}\n", "[3:5]"},
		{"unknown nested key", "policies:\n  - name: fast\n    wait: {timeot: 1s}\n", "timeot"},
		{"unknown top-level key", "policys: []\n", "policys"},
		{"wrong type", "policies:\n  - name: fast\n    retry: {attempts: many}\n", "[3:"},
		{"invalid duration", "policies:\n  - name: fast\n    wait: {timeout: soon}\n", "soon"},
		{"not YAML", "policies: [", "-:"},
		{"empty", "", "neither"},
		{"duplicate policy", "policies: [{name: a}, {name: a}]", "twice"},
		{"duplicate group", "assignments: [{group: a}, {group: a}]", "twice"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			d := &daemon{}
			got := run(t, d, test.file, "apply", "-f", "-", "--author", "ama")
			if got.code != ExitUsage || !strings.Contains(got.err, test.contains) || len(d.edits) > 0 {
				t.Errorf("code %d, %d edits, want %q in: %s", got.code, len(d.edits), test.contains, got.err)
			}
		})
	}
}

func TestCompletePoliciesAndGroups(t *testing.T) {
	cases := []struct{ name, line, want string }{
		{"policies to compare", "compare", "fast"},
		{"groups to assign", "assign", "gate"},
		{"policies for a group", "assign gate", "old"},
		{"policies to change", "policy set", "fast"},
		{"policies to show", "policy get", "old"},
		{"policies to delete", "policy delete", "old"},
		{"commands", "policy", "history"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, &daemon{}, "", append(strings.Fields(test.line), "--generate-shell-completion")...)
			if !strings.Contains(got.out, test.want) {
				t.Errorf("completion does not offer %q:\n%s%s", test.want, got.out, got.err)
			}
		})
	}
}

func TestCompareOutput(t *testing.T) {
	got := run(t, &daemon{}, "", "compare", "fast", "old", "--group", "gate", "--last", "5m")
	for _, want := range []string{"fast against old, gate, last 5m0s, 2 daemons", "p99.9 latency", "10.00 ms (9.00 to 11.00)", "(too few samples)", "warning: few", "not counted: node-b"} {
		if !strings.Contains(got.out, want) {
			t.Errorf("output does not contain %q:\n%s%s", want, got.out, got.err)
		}
	}
	for _, line := range []string{"compare fast", "compare fast old --interval 1ms --watch"} {
		if got := run(t, &daemon{}, "", strings.Fields(line)...); got.code != ExitUsage {
			t.Errorf("%s: code %d, want %d: %s", line, got.code, ExitUsage, got.err)
		}
	}
}

func TestAuthorDefaultsToCurrentUser(t *testing.T) {
	t.Setenv("USER", "")
	t.Setenv("DOORPOND_AUTHOR", "")
	current, err := user.Current()
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{}
	if got := run(t, d, "", "policy", "set", "fast", "priority=high"); got.code != ExitOK || d.edits[0].Author != current.Username {
		t.Errorf("code %d, edits %+v; want the author %s", got.code, d.edits, current.Username)
	}
}
