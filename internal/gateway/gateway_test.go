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

// fakeService selects its result by the group of the request.
type fakeService struct{ received chan context.Context }

func (f *fakeService) Search(ctx context.Context, query client.Query) (client.Answer, error) {
	switch query.Group {
	case "overloaded":
		return client.Answer{}, failure.New(failure.Overloaded, "full")
	case "blocked":
		f.received <- ctx
		<-ctx.Done()
		return client.Answer{}, ctx.Err()
	}
	return client.Answer{QueryID: "1", Policy: query.Group}, nil
}

func (f *fakeService) Call(_ context.Context, call client.Call) (client.CallResult, error) {
	if call.Key == "" {
		return client.CallResult{}, errors.New("untyped error")
	}
	return client.CallResult{Key: call.Key, Result: json.RawMessage(`{"n":1}`)}, nil
}

func newServer(t *testing.T, phase blackboard.Phase) (*httptest.Server, *fakeService) {
	t.Helper()
	board := &blackboard.Board{}
	board.Phase.Publish(&phase)
	service := &fakeService{received: make(chan context.Context, 1)}
	server := httptest.NewServer(New(Options{Searcher: service, Caller: service, Board: board, MaxBodyBytes: 200}))
	t.Cleanup(server.Close)
	return server, service
}

func TestServeRequest(t *testing.T) {
	cases := []struct {
		name   string
		phase  blackboard.Phase
		method string
		path   string
		body   string
		status int
		kind   failure.Kind
		notRun bool
		close  bool
	}{
		{name: "query", path: QueryPath, body: `{"group":"g"}`, status: 200},
		{name: "call", path: CallPath, body: `{"key":"k"}`, status: 200},
		{name: "whitespace after the document", path: QueryPath, body: "{}\n ", status: 200},
		{name: "unknown field", path: QueryPath, body: `{"grp":"g"}`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "wrong type", path: QueryPath, body: `{"limit":"5"}`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "empty body", path: QueryPath, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "truncated document", path: QueryPath, body: `{"group"`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "two documents", path: QueryPath, body: `{}{}`, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "too large", path: QueryPath, body: `{"group":"` + strings.Repeat("g", 300) + `"}`, status: 413, kind: failure.TooLarge, notRun: true},
		{name: "wrong method", method: http.MethodGet, path: QueryPath, status: 400, kind: failure.InvalidRequest, notRun: true},
		{name: "unknown path", path: "/v2/query", body: `{}`, status: 404, kind: failure.NotFound, notRun: true},
		{name: "overloaded", path: QueryPath, body: `{"group":"overloaded"}`, status: 429, kind: failure.Overloaded, notRun: true},
		{name: "untyped error", path: CallPath, body: `{}`, status: 500, kind: failure.Internal},
		{name: "starting", phase: blackboard.PhaseStarting, path: QueryPath, body: `{}`, status: 503, kind: failure.NoTable, notRun: true},
		{name: "draining keeps the connection", phase: blackboard.PhaseDraining, path: QueryPath, body: `{}`, status: 200},
		{name: "closing ends the connection", phase: blackboard.PhaseClosing, path: QueryPath, body: `{}`, status: 200, close: true},
		{name: "stopped", phase: blackboard.PhaseStopped, path: QueryPath, body: `{}`, status: 503, kind: failure.Draining, notRun: true, close: true},
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
			if response.StatusCode != test.status || response.Close != test.close && test.status != 413 {
				t.Errorf("status %d, close %v; want %d, %v: %s", response.StatusCode, response.Close, test.status, test.close, content)
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
		t.Errorf("problem %+v; want kind %s, not run %v", problem, kind, notRun)
	}
	if after := response.Header.Get("Retry-After"); (after != "") != (failure.Lookup(kind).RetryAfter > 0) {
		t.Errorf("unexpected Retry-After %q", after)
	}
}

func TestClientCancelCancelsHandler(t *testing.T) {
	server, service := newServer(t, blackboard.PhaseServing)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := client.New(server.URL, nil).Query(ctx, client.Query{Group: "blocked"})
		result <- err
	}()
	handlerContext := <-service.received
	cancel()
	<-handlerContext.Done()
	if err := <-result; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want canceled", err)
	}
}

func TestClientAgainstServer(t *testing.T) {
	server, _ := newServer(t, blackboard.PhaseServing)
	caller := client.New(server.URL+"/", nil)
	answer, err := caller.Query(t.Context(), client.Query{Group: "g"})
	if diff := cmp.Diff(client.Answer{QueryID: "1", Policy: "g"}, answer); err != nil || diff != "" {
		t.Errorf("error %v, answer (-want +got):\n%s", err, diff)
	}
	result, err := caller.Call(t.Context(), client.Call{Key: "k"})
	if diff := cmp.Diff(client.CallResult{Key: "k", Result: json.RawMessage(`{"n":1}`)}, result); err != nil || diff != "" {
		t.Errorf("error %v, result (-want +got):\n%s", err, diff)
	}
	_, err = caller.Query(t.Context(), client.Query{Group: "overloaded"})
	var problem *client.Problem
	if !errors.As(err, &problem) || problem.Kind != string(failure.Overloaded) || !problem.NotRun {
		t.Errorf("error %v, want an overloaded problem", err)
	}
}
