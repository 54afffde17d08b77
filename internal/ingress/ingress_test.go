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

func (testCodec) WriteParts(header http.Header, signatures []string, missing int) {
	header.Set("Parts", strings.Join(signatures, ","))
	header.Set("Missing", strings.Repeat("x", missing))
}

func (testCodec) WriteRetryAfter(header http.Header, wait time.Duration) {
	header.Set("Come-Back", wait.String())
}

// fakeForwarder gives one answer and keeps what it was asked.
type fakeForwarder struct {
	answer query.ForwardResult
	err    error
	asked  *query.ForwardRequest
}

func (f *fakeForwarder) Forward(_ context.Context, asked *query.ForwardRequest) (query.ForwardResult, error) {
	f.asked = asked
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

func request(method, target, body string) *http.Request {
	made := httptest.NewRequest(method, "http://h.example"+target, strings.NewReader(body))
	made.RequestURI = target
	made.Header.Set("Id", "q1")
	return made
}

func serveOne(handler http.Handler, r *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder
}

// TestAWaitForNewsIsPartOfARequestsTime: its caller does not wait longer for it, and replicas are
// not to work on it for longer than it waits.
func TestAWaitForNewsIsPartOfARequestsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{}
		handler := newTestHandler(forwarder, func(o *Options) {
			o.Await = func(context.Context) bool {
				time.Sleep(700 * time.Millisecond)
				return true
			}
		})
		serveOne(handler, request(http.MethodGet, "/p/", ""))
		if forwarder.asked == nil || forwarder.asked.CallerTimeout != 2*time.Second || forwarder.asked.Elapsed != 700*time.Millisecond {
			t.Errorf("asked %+v", forwarder.asked)
		}
	})
}

func TestARequestIsPassedOnUnaltered(t *testing.T) {
	forwarder := &fakeForwarder{answer: query.ForwardResult{Reply: &upstream.Response{
		Status: 201, Header: http.Header{"X-Own": {"1"}, "Keep-Alive": {"timeout=3"}, "Content-Length": {"9"}}, Body: []byte("made"),
	}}}
	r := request(http.MethodPost, "/p//a%2fb?x=%20&y", "body")
	r.Header.Set("Connection", "keep-alive, X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("Te", "trailers")
	r.Header.Set("X-End", "2")
	got := serveOne(newTestHandler(forwarder, nil), r)
	want := &upstream.Request{
		ID: "q1", Caller: netip.MustParseAddr("192.0.2.1"), Method: http.MethodPost, Target: "/p//a%2fb?x=%20&y", Host: "h.example",
		Header: http.Header{"X-End": {"2"}}, Body: []byte("body"),
	}
	if diff := cmp.Diff(want, forwarder.asked.Message, cmpopts.EquateComparable(netip.Addr{})); diff != "" {
		t.Errorf("message (-want +got):\n%s", diff)
	}
	if forwarder.asked.CallerTimeout != 2*time.Second || forwarder.asked.Route.Name != "r" {
		t.Errorf("asked %+v", forwarder.asked)
	}
	if got.Code != 201 || got.Body.String() != "made" || got.Header().Get("X-Own") != "1" ||
		got.Header().Get("Keep-Alive") != "" || got.Header().Get("Content-Length") != "4" {
		t.Errorf("answer %d %v %q", got.Code, got.Header(), got.Body)
	}
}

func TestAScatteredAnswerNamesItsParts(t *testing.T) {
	forwarder := &fakeForwarder{answer: query.ForwardResult{Records: []byte("records"), Signatures: []string{"s1", "s2"}, MissingShards: 1}}
	got := serveOne(newTestHandler(forwarder, nil), request(http.MethodGet, "/p/", ""))
	if got.Code != 200 || got.Body.String() != "records" || got.Header().Get("Parts") != "s1,s2" || got.Header().Get("Missing") != "x" {
		t.Errorf("answer %d %v %q", got.Code, got.Header(), got.Body)
	}
}

// TestRefusals has the errors, and the status that a caller is given: those
// that promise that nothing ran come only with the proof.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name     string
		err      error
		status   int
		comeBack bool
	}{
		{"no replica", failure.New(failure.NoReplica, "x"), 503, true},
		{"all refused", failure.New(failure.BackendRefused, "x"), 503, true},
		{"node is full", failure.New(failure.Overloaded, "x"), 429, true},
		{"too few shards, which ran", failure.New(failure.InsufficientCoverage, "x"), 502, false},
		{"refused after a run", failure.New(failure.BackendRefused, "x").WithNotRun(false), 502, false},
		{"time is over", failure.New(failure.DeadlineExceeded, "x"), 504, false},
		{"surprise", io.ErrUnexpectedEOF, 500, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := serveOne(newTestHandler(&fakeForwarder{err: test.err}, nil), request(http.MethodGet, "/p/", ""))
			if got.Code != test.status || (got.Header().Get("Come-Back") != "") != test.comeBack {
				t.Errorf("status %d, header %v", got.Code, got.Header())
			}
		})
	}
}

func TestWhatIsNotForwarded(t *testing.T) {
	cases := []struct {
		name    string
		request *http.Request
		change  func(*Options)
		status  int
	}{
		{"no route for the path", request(http.MethodGet, "/q/", ""), nil, 404},
		{"no routes yet", request(http.MethodGet, "/p/", ""), func(o *Options) { o.Board = &blackboard.Board{} }, 503},
		{"routes in doubt", request(http.MethodGet, "/p/", ""), func(o *Options) { o.Await = func(context.Context) bool { return false } }, 503},
		{"body over the limit", request(http.MethodPost, "/p/", "123456789"), nil, 413},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forwarder := &fakeForwarder{}
			if got := serveOne(newTestHandler(forwarder, test.change), test.request); got.Code != test.status {
				t.Errorf("status %d, want %d", got.Code, test.status)
			}
			if forwarder.asked != nil {
				t.Error("it was forwarded")
			}
		})
	}
}

// panickingForwarder has a fault.
type panickingForwarder struct{}

func (panickingForwarder) Forward(context.Context, *query.ForwardRequest) (query.ForwardResult, error) {
	panic("fault")
}

func TestAFaultOfTheProgramIsAnswered(t *testing.T) {
	handler := newTestHandler(nil, func(o *Options) { o.Forwarder = panickingForwarder{} })
	if got := serveOne(handler, request(http.MethodGet, "/p/", "")); got.Code != http.StatusInternalServerError {
		t.Errorf("status %d", got.Code)
	}
}

func TestAChunkedBodyIsBoundedToo(t *testing.T) {
	forwarder := &fakeForwarder{}
	handler := newTestHandler(forwarder, nil)
	fits, over := request(http.MethodPost, "/p/", "12345678"), request(http.MethodPost, "/p/", "123456789")
	fits.ContentLength, over.ContentLength = -1, -1
	if serveOne(handler, fits); forwarder.asked == nil || !bytes.Equal(forwarder.asked.Message.Body, []byte("12345678")) {
		t.Errorf("asked %+v", forwarder.asked)
	}
	if got := serveOne(handler, over); got.Code != 413 {
		t.Errorf("status %d", got.Code)
	}
}

func TestAStoppingNodeEndsItsConnections(t *testing.T) {
	for _, phase := range []blackboard.Phase{blackboard.PhaseServing, blackboard.PhaseDraining, blackboard.PhaseClosing} {
		forwarder := &fakeForwarder{answer: query.ForwardResult{Records: []byte("x")}}
		handler := newTestHandler(forwarder, func(o *Options) { o.Board.Phase.Publish(&phase) })
		got := serveOne(handler, request(http.MethodGet, "/p/", ""))
		if ends := got.Header().Get("Connection") == "close"; got.Code != 200 || ends != (phase != blackboard.PhaseServing) {
			t.Errorf("phase %d: status %d, header %v", phase, got.Code, got.Header())
		}
	}
}
