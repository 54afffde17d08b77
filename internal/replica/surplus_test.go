package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// surplusBackend refuses the first call, and sends the refusal again in the slot of the next
// response. It runs the other calls.
type surplusBackend struct {
	refusal []byte
	ran     int
}

func (b *surplusBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call backendapi.CallRequest
	content, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(content, &call)
	attempt := r.Header.Get(backendapi.AttemptHeader)
	w.Header().Set(backendapi.AttemptHeader, attempt)
	if b.refusal == nil {
		body, _ := json.Marshal(backendapi.Refusal{Reason: backendapi.RefusedShed, NotRun: true})
		b.refusal = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			backendapi.AttemptHeader, attempt, len(body), body)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(body)
		return
	}
	b.ran++
	if !bytes.Equal(b.refusal, sentAlready) {
		_, _ = r.Context().Value(connectionKey{}).(net.Conn).Write(b.refusal)
		b.refusal = sentAlready
	}
	_ = json.NewEncoder(w).Encode(backendapi.CallReply{Key: call.Key})
}

var sentAlready = []byte("sent")

// TestSurplusRefusalOfCall guards against taking a back end's surplus refusal for the response to
// the next call: it would be reported as not run and be sent again, though it runs.
func TestSurplusRefusalOfCall(t *testing.T) {
	backend := &surplusBackend{}
	server := httptest.NewUnstartedServer(backend)
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	server.Start()
	defer server.Close()
	board := &blackboard.Board{}
	publish(board, server.Listener.Addr().String())
	pool := newTestPool(t, board, nil)
	call := func(key string) error {
		_, err := pool.Call(t.Context(), testGroup, backendapi.CallRequest{Key: key, TimeoutMilliseconds: 1000})
		return err
	}
	if err := call("a"); failure.KindOf(err) != failure.BackendRefused {
		t.Fatalf("first call: error %v, want a refusal", err)
	}
	if err := call("a"); failure.KindOf(err) != failure.OutcomeUnknown || failure.From(err).NotRun || backend.ran != 1 {
		t.Errorf("second call: error %v, ran %d times, want an unknown outcome", err, backend.ran)
	}
	if err := call("b"); err != nil || backend.ran != 2 {
		t.Errorf("third call: error %v, ran %d times", err, backend.ran)
	}
}
