package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
)

// fakeBack answers by the group's name.
type fakeBack struct{ arrived chan context.Context }

func (f *fakeBack) Search(ctx context.Context, query client.Query) (client.Answer, error) {
	switch query.Group {
	case "overloaded":
		return client.Answer{}, failure.New(failure.Overloaded, "full")
	case "waits":
		f.arrived <- ctx
		<-ctx.Done()
		return client.Answer{}, ctx.Err()
	}
	return client.Answer{QueryID: "1", Policy: query.Group}, nil
}

func (f *fakeBack) Call(_ context.Context, call client.Call) (client.CallResult, error) {
	if call.Key == "" {
		return client.CallResult{}, errors.New("no kind")
	}
	return client.CallResult{Key: call.Key, Result: json.RawMessage(`{"n":1}`)}, nil
}

func newServer(t *testing.T, phase blackboard.Phase) (*httptest.Server, *fakeBack) {
	t.Helper()
	board := &blackboard.Board{}
	board.Phase.Publish(&phase)
	back := &fakeBack{arrived: make(chan context.Context, 1)}
	server := httptest.NewServer(New(Options{Searcher: back, Caller: back, Board: board, MaxBodyBytes: 200}))
	t.Cleanup(server.Close)
	return server, back
}

func TestRequests(t *testing.T) {
	cases := []struct {
		name   string
		phase  blackboard.Phase
		method string
		path   string
		body   string
		status int
		kind   failure.Kind
		notRun bool
		closed bool
	}{
		{name: "query", path: QueryPath, body: `{"group":"g"}`, status: 200},
		{name: "call", path: CallPath, body: `{"key":"k"}`, status: 200},
		{name: "space after the document", path: QueryPath, body: "{}\n ", status: 200},
		{name: "unknown field", path: QueryPath, body: `{"grp":"g"}`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "wrong type", path: QueryPath, body: `{"limit":"5"}`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "empty body", path: QueryPath, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "half a document", path: QueryPath, body: `{"group"`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "two documents", path: QueryPath, body: `{}{}`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "too large", path: QueryPath, body: `{"group":"` + strings.Repeat("g", 300) + `"}`, status: 413, kind: failure.TooLarge, notRun: true},
		{name: "wrong method", method: http.MethodGet, path: QueryPath, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "unknown path", path: "/v2/query", body: `{}`, status: 404, kind: failure.NotFound, notRun: true},
		{name: "overloaded", path: QueryPath, body: `{"group":"overloaded"}`, status: 429, kind: failure.Overloaded, notRun: true},
		{name: "error of no kind", path: CallPath, body: `{}`, status: 500, kind: failure.Internal},
		{name: "starting", phase: blackboard.PhaseStarting, path: QueryPath, body: `{}`, status: 503, kind: failure.NoTable, notRun: true},
		{name: "draining still serves and keeps the connection", phase: blackboard.PhaseDraining, path: QueryPath, body: `{}`, status: 200},
		{name: "closing still serves and ends the connection", phase: blackboard.PhaseClosing, path: QueryPath, body: `{}`, status: 200, closed: true},
		{name: "stopped", phase: blackboard.PhaseStopped, path: QueryPath, body: `{}`, status: 503, kind: failure.Draining, notRun: true, closed: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			phase := test.phase
			if phase == blackboard.PhaseStarting && test.name != "starting" {
				phase = blackboard.PhaseServing
			}
			server, _ := newServer(t, phase)
			method := test.method
			if method == "" {
				method = http.MethodPost
			}
			request, _ := http.NewRequest(method, server.URL+test.path, strings.NewReader(test.body))
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			content, _ := io.ReadAll(response.Body)
			if response.StatusCode != test.status || response.Close != test.closed && test.status != 413 {
				t.Errorf("status %d close %v, want %d %v: %s", response.StatusCode, response.Close, test.status, test.closed, content)
			}
			if test.kind != "" {
				checkProblem(t, response, content, test.kind, test.notRun)
			}
		})
	}
}

func checkProblem(t *testing.T, response *http.Response, content []byte, kind failure.Kind, notRun bool) {
	t.Helper()
	var problem client.Problem
	if err := json.Unmarshal(content, &problem); err != nil {
		t.Fatal(err)
	}
	if problem.Kind != string(kind) || problem.NotRun != notRun || problem.Detail == "" {
		t.Errorf("problem %+v, want %s not run %v", problem, kind, notRun)
	}
	if after := response.Header.Get("Retry-After"); (after != "") != (failure.Lookup(kind).RetryAfter > 0) {
		t.Errorf("Retry-After is %q", after)
	}
}

func TestCallerGivingUpCancels(t *testing.T) {
	server, back := newServer(t, blackboard.PhaseServing)
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan error, 1)
	go func() {
		_, err := client.New(server.URL, nil).Query(ctx, client.Query{Group: "waits"})
		finished <- err
	}()
	handling := <-back.arrived
	cancel()
	<-handling.Done()
	if err := <-finished; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want canceled", err)
	}
}

func TestGoClient(t *testing.T) {
	server, _ := newServer(t, blackboard.PhaseServing)
	daemon := client.New(server.URL+"/", nil)
	answer, err := daemon.Query(t.Context(), client.Query{Group: "g"})
	if diff := cmp.Diff(client.Answer{QueryID: "1", Policy: "g"}, answer); err != nil || diff != "" {
		t.Errorf("error %v, answer (-want +got):\n%s", err, diff)
	}
	result, err := daemon.Call(t.Context(), client.Call{Key: "k"})
	if diff := cmp.Diff(client.CallResult{Key: "k", Result: json.RawMessage(`{"n":1}`)}, result); err != nil || diff != "" {
		t.Errorf("error %v, result (-want +got):\n%s", err, diff)
	}
	_, err = daemon.Query(t.Context(), client.Query{Group: "overloaded"})
	var problem *client.Problem
	if !errors.As(err, &problem) || problem.Kind != string(failure.Overloaded) || !problem.NotRun {
		t.Errorf("error %v, want an overloaded problem", err)
	}
}
