package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/upstream"
)

type testCodec struct{}

func (testCodec) ReadRequest(header http.Header) (string, time.Duration) {
	id := header.Get("Id")
	header.Del("Id")
	return id, 2 * time.Second
}

func (testCodec) ReadCredential(header http.Header) string {
	key := header.Get("Key")
	header.Del("Key")
	header.Del("Tenant")
	return key
}

func (testCodec) WriteChallenge(header http.Header) { header.Set("Challenge", "Key") }

func (testCodec) WriteParts(header http.Header, signatures []string, missing int) {
	header.Set("Parts", strings.Join(signatures, ","))
	header.Set("Missing", strings.Repeat("x", missing))
}

func (testCodec) WriteRetryAfter(header http.Header, delay time.Duration) {
	header.Set("Retry-Delay", delay.String())
}

// fakeForwarder returns a fixed answer and records the last request.
type fakeForwarder struct {
	answer   query.ForwardResult
	err      error
	received *query.ForwardRequest
}

func (f *fakeForwarder) Forward(_ context.Context, request *query.ForwardRequest) (query.ForwardResult, error) {
	f.received = request
	return f.answer, f.err
}

func newTestHandler(forwarder *fakeForwarder, change func(*Options)) http.Handler {
	board := &blackboard.Board{}
	route := routing.Route{Name: "r", Host: "h.example", PathPrefix: "/p/"}
	board.Routes.Publish(routing.NewTable(3, []routing.Route{route}, nil, routing.Limits{BodyBytes: 8}))
	options := Options{Board: board, Codec: testCodec{}, Forwarder: forwarder}
	if change != nil {
		change(&options)
	}
	return New(options)
}

func newRequest(method, target, body string) *http.Request {
	r := httptest.NewRequest(method, "http://h.example"+target, strings.NewReader(body))
	r.RequestURI = target
	r.Header.Set("Id", "q1")
	return r
}

func serveOne(handler http.Handler, r *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder
}

// Replicas must not work on a request for longer than its caller waits for it.
func TestWaitFreshCountsTowardsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{}
		handler := newTestHandler(forwarder, func(o *Options) {
			o.WaitFresh = func(context.Context) bool {
				time.Sleep(700 * time.Millisecond)
				return true
			}
		})
		serveOne(handler, newRequest(http.MethodGet, "/p/", ""))
		if forwarder.received == nil || forwarder.received.CallerTimeout != 2*time.Second || forwarder.received.Elapsed != 700*time.Millisecond {
			t.Errorf("unexpected forwarded request %+v", forwarder.received)
		}
	})
}

func TestForwardPreservesRequest(t *testing.T) {
	forwarder := &fakeForwarder{answer: query.ForwardResult{Reply: &upstream.Response{
		Status: 201, Header: http.Header{"X-Own": {"1"}, "Keep-Alive": {"timeout=3"}, "Content-Length": {"9"}}, Body: []byte("made"),
	}}}
	r := newRequest(http.MethodPost, "/p//a%2fb?x=%20&y", "body")
	r.Header.Set("Connection", "keep-alive, X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("Te", "trailers")
	r.Header.Set("X-End", "2")
	got := serveOne(newTestHandler(forwarder, nil), r)
	want := &upstream.Request{
		ID: "q1", Caller: netip.MustParseAddr("192.0.2.1"), Method: http.MethodPost, Target: "/p//a%2fb?x=%20&y", Host: "h.example",
		Header: http.Header{"X-End": {"2"}}, Body: []byte("body"),
	}
	if diff := cmp.Diff(want, forwarder.received.Message, cmpopts.EquateComparable(netip.Addr{})); diff != "" {
		t.Errorf("message (-want +got):\n%s", diff)
	}
	if forwarder.received.CallerTimeout != 2*time.Second || forwarder.received.Route.Name != "r" {
		t.Errorf("unexpected forwarded request %+v", forwarder.received)
	}
	if got.Code != 201 || got.Body.String() != "made" || got.Header().Get("X-Own") != "1" ||
		got.Header().Get("Keep-Alive") != "" || got.Header().Get("Content-Length") != "4" {
		t.Errorf("unexpected answer: status %d, header %v, body %q", got.Code, got.Header(), got.Body)
	}
}

func TestMergedAnswerListsParts(t *testing.T) {
	forwarder := &fakeForwarder{answer: query.ForwardResult{Records: []byte("records"), Signatures: []string{"s1", "s2"}, MissingShards: 1}}
	got := serveOne(newTestHandler(forwarder, nil), newRequest(http.MethodGet, "/p/", ""))
	if got.Code != 200 || got.Body.String() != "records" || got.Header().Get("Parts") != "s1,s2" || got.Header().Get("Missing") != "x" {
		t.Errorf("unexpected answer: status %d, header %v, body %q", got.Code, got.Header(), got.Body)
	}
}

// A status that implies that the request was not run needs an error that guarantees it.
func TestErrorStatus(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		status     int
		retryAfter bool
	}{
		{"no replica", failure.New(failure.NoReplica, "x"), 503, true},
		{"all refused", failure.New(failure.BackendRefused, "x"), 503, true},
		{"overloaded", failure.New(failure.Overloaded, "x"), 429, true},
		{"insufficient coverage after a run", failure.New(failure.InsufficientCoverage, "x"), 502, false},
		{"refused after a run", failure.New(failure.BackendRefused, "x").WithNotRun(false), 502, false},
		{"deadline exceeded", failure.New(failure.DeadlineExceeded, "x"), 504, false},
		{"untyped error", io.ErrUnexpectedEOF, 500, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := serveOne(newTestHandler(&fakeForwarder{err: test.err}, nil), newRequest(http.MethodGet, "/p/", ""))
			if got.Code != test.status || (got.Header().Get("Retry-Delay") != "") != test.retryAfter {
				t.Errorf("unexpected status %d or header %v", got.Code, got.Header())
			}
		})
	}
}

func TestRequestNotForwarded(t *testing.T) {
	cases := []struct {
		name    string
		request *http.Request
		change  func(*Options)
		status  int
	}{
		{"no route for the path", newRequest(http.MethodGet, "/q/", ""), nil, 404},
		{"no routing table", newRequest(http.MethodGet, "/p/", ""), func(o *Options) { o.Board = &blackboard.Board{} }, 503},
		{"stale routing table", newRequest(http.MethodGet, "/p/", ""), func(o *Options) { o.WaitFresh = func(context.Context) bool { return false } }, 503},
		{"body over the limit", newRequest(http.MethodPost, "/p/", "123456789"), nil, 413},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forwarder := &fakeForwarder{}
			if got := serveOne(newTestHandler(forwarder, test.change), test.request); got.Code != test.status {
				t.Errorf("status %d, want %d", got.Code, test.status)
			}
			if forwarder.received != nil {
				t.Error("request was forwarded")
			}
		})
	}
}

type panickingForwarder struct{}

func (panickingForwarder) Forward(context.Context, *query.ForwardRequest) (query.ForwardResult, error) {
	panic("test")
}

func TestPanicIsAnswered(t *testing.T) {
	handler := newTestHandler(nil, func(o *Options) { o.Forwarder = panickingForwarder{} })
	if got := serveOne(handler, newRequest(http.MethodGet, "/p/", "")); got.Code != http.StatusInternalServerError {
		t.Errorf("status %d", got.Code)
	}
}

func TestChunkedBodyLimit(t *testing.T) {
	forwarder := &fakeForwarder{}
	handler := newTestHandler(forwarder, nil)
	fits, over := newRequest(http.MethodPost, "/p/", "12345678"), newRequest(http.MethodPost, "/p/", "123456789")
	fits.ContentLength, over.ContentLength = -1, -1
	if serveOne(handler, fits); forwarder.received == nil || !bytes.Equal(forwarder.received.Message.Body, []byte("12345678")) {
		t.Errorf("unexpected forwarded request %+v", forwarder.received)
	}
	if got := serveOne(handler, over); got.Code != 413 {
		t.Errorf("status %d", got.Code)
	}
}

func TestShutdownClosesConnections(t *testing.T) {
	for _, phase := range []blackboard.Phase{blackboard.PhaseServing, blackboard.PhaseDraining, blackboard.PhaseClosing} {
		forwarder := &fakeForwarder{answer: query.ForwardResult{Records: []byte("x")}}
		handler := newTestHandler(forwarder, func(o *Options) { o.Board.Phase.Publish(&phase) })
		got := serveOne(handler, newRequest(http.MethodGet, "/p/", ""))
		if closes := got.Header().Get("Connection") == "close"; got.Code != 200 || closes != (phase != blackboard.PhaseServing) {
			t.Errorf("phase %d: status %d, header %v", phase, got.Code, got.Header())
		}
	}
}
