package etcd_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/store/etcd"
)

func base64Of(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

// gateway serves a fixed response and records the last request.
type gateway struct {
	status   int
	reply    string
	path     string
	request  string
	requests atomic.Int32
}

func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	g.path, g.request = r.URL.Path, string(body)
	g.requests.Add(1)
	w.WriteHeader(g.status)
	_, _ = io.WriteString(w, g.reply)
}

func newStore(t *testing.T, handler http.Handler) *etcd.Store {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return etcd.New(etcd.Options{Endpoint: server.URL, Client: server.Client()})
}

func TestGetIntegersAsStringsOrNumbers(t *testing.T) {
	cases := map[string]string{
		"strings": `{"header":{"revision":"9"},"kvs":[{"key":"%s","value":"%s","create_revision":"3","mod_revision":"7"}]}`,
		"numbers": `{"header":{"revision":9},"kvs":[{"key":"%s","value":"%s","create_revision":3,"mod_revision":7}]}`,
	}
	for name, format := range cases {
		t.Run(name, func(t *testing.T) {
			server := &gateway{status: http.StatusOK, reply: fmt.Sprintf(format, base64Of("/a"), base64Of("v"))}
			value, found, revision, err := newStore(t, server).Get(t.Context(), "/a")
			if err != nil || !found || revision != 9 {
				t.Fatalf("found %v, revision %d, error %v", found, revision, err)
			}
			want := store.KeyValue{Key: "/a", Value: []byte("v"), CreateRevision: 3, ModRevision: 7}
			if diff := cmp.Diff(want, value); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestListRequestsPrefixRange(t *testing.T) {
	server := &gateway{status: http.StatusOK, reply: `{"header":{"revision":"1"}}`}
	values, _, err := newStore(t, server).List(t.Context(), "/a/", 5)
	if err != nil || len(values) != 0 {
		t.Fatalf("values %v, error %v", values, err)
	}
	want := fmt.Sprintf(`{"key":"%s","range_end":"%s","limit":"5"}`, base64Of("/a/"), base64Of("/a0"))
	if diff := cmp.Diff(want, server.request); diff != "" {
		t.Error(diff)
	}
}

func TestRequestErrors(t *testing.T) {
	cases := []struct {
		name   string
		status int
		reply  string
		want   error
	}{
		{"rate limit by status", 429, "", store.ErrNotApplied},
		{"rate limit by code", 500, `{"code":8,"message":"etcdserver: too many requests"}`, store.ErrNotApplied},
		{"malformed", 400, `{"code":3}`, store.ErrNotApplied},
		{"lease expired", 404, `{"code":5,"message":"etcdserver: requested lease not found"}`, store.ErrLeaseNotFound},
		{"unavailable", 503, `{"code":14,"message":"leader changed"}`, store.ErrOutcomeUnknown},
		{"internal error", 500, "oops", store.ErrOutcomeUnknown},
		{"gateway timeout", 504, `{"code":4}`, store.ErrOutcomeUnknown},
		{"client closed request", 499, `{"code":1}`, store.ErrOutcomeUnknown},
		{"redirect", 302, "", store.ErrOutcomeUnknown},
		{"response not JSON", 200, "{", store.ErrOutcomeUnknown},
	}
	transaction := store.Transaction{Writes: []store.Write{{Key: "/a", Value: []byte("v")}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &gateway{status: c.status, reply: c.reply}
			client := newStore(t, server)
			_, err := client.Commit(t.Context(), transaction)
			if !errors.Is(err, c.want) {
				t.Errorf("Commit: %v, want %v", err, c.want)
			}
			if errors.Is(err, store.ErrNotApplied) == errors.Is(err, store.ErrOutcomeUnknown) {
				t.Errorf("Commit: %v must wrap exactly one of ErrNotApplied and ErrOutcomeUnknown", err)
			}
			_, _, _, err = client.Get(t.Context(), "/a")
			if !errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotApplied) {
				t.Errorf("Get: %v, want only %v", err, store.ErrUnavailable)
			}
			if got := server.requests.Load(); got != 2 {
				t.Errorf("%d requests, want 2", got)
			}
		})
	}
}

func TestConnectionRefusedNotApplied(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := etcd.New(etcd.Options{Endpoint: "http://" + address})
	if _, err := client.Commit(t.Context(), store.Transaction{}); !errors.Is(err, store.ErrNotApplied) {
		t.Errorf("%v, want %v", err, store.ErrNotApplied)
	}
}

// A write on a reused connection must not be retried by net/http when the server
// closes the connection after reading the request.
func TestClosedReusedConnectionNotRetried(t *testing.T) {
	var requests, connections atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(w, `{"header":{"revision":"1"},"succeeded":true}`)
			return
		}
		connection, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	})
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := etcd.New(etcd.Options{Endpoint: server.URL, Client: server.Client()})
	transaction := store.Transaction{Writes: []store.Write{{Key: "/a", Value: []byte("v")}}}
	if _, err := client.Commit(t.Context(), transaction); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Commit(t.Context(), transaction); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("%v, want %v", err, store.ErrOutcomeUnknown)
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("%d requests reached the server, want 2", got)
	}
	if got := connections.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

func TestCancelAfterSendOutcomeUnknown(t *testing.T) {
	release := make(chan struct{})
	received := make(chan struct{})
	client := newStore(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-release
	}))
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	if _, err := client.Commit(ctx, store.Transaction{}); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("%v, want %v", err, store.ErrOutcomeUnknown)
	}
}

func TestCommitAllNestsTransactions(t *testing.T) {
	reply := `{"header":{"revision":"12"},"succeeded":true,"responses":[
		{"response_txn":{"succeeded":true,"responses":[{"response_put":{}}]}},
		{"response_txn":{"responses":[{"response_range":{"kvs":[{"key":"%s","value":"%s","mod_revision":"4"}]}}]}}]}`
	server := &gateway{status: http.StatusOK, reply: fmt.Sprintf(reply, base64Of("/b"), base64Of("other"))}
	got, err := newStore(t, server).CommitAll(t.Context(), []store.Transaction{
		{Compares: []store.Compare{{Key: "/a", Absent: true}}, Writes: []store.Write{{Key: "/a", Lease: 3}}},
		{Compares: []store.Compare{{Key: "/b", ModRevision: 2}}, Writes: []store.Write{{Key: "/b", Delete: true}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []store.Outcome{
		{Applied: true, Revision: 12},
		{Revision: 12, Current: []store.KeyValue{{Key: "/b", Value: []byte("other"), ModRevision: 4}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !json.Valid([]byte(server.request)) || server.path != "/v3/kv/txn" {
		t.Errorf("request to %s: %s", server.path, server.request)
	}
}

func TestCommitAllMissingOutcomes(t *testing.T) {
	cases := map[string]string{
		"none":       `{"header":{"revision":"1"},"succeeded":true}`,
		"wrong kind": `{"header":{"revision":"1"},"succeeded":true,"responses":[{"response_range":{}}]}`,
	}
	for name, reply := range cases {
		t.Run(name, func(t *testing.T) {
			server := &gateway{status: http.StatusOK, reply: reply}
			_, err := newStore(t, server).CommitAll(t.Context(), make([]store.Transaction, 1))
			if !errors.Is(err, store.ErrOutcomeUnknown) {
				t.Errorf("%v, want %v", err, store.ErrOutcomeUnknown)
			}
		})
	}
}

func TestLeases(t *testing.T) {
	server := &gateway{status: http.StatusOK, reply: `{"header":{},"ID":"77","TTL":"90000"}`}
	lease, err := newStore(t, server).Grant(t.Context(), 25*time.Hour)
	if err != nil || lease != 77 {
		t.Errorf("lease %d, error %v", lease, err)
	}
	server = &gateway{status: http.StatusOK, reply: `{"result":{"header":{},"ID":"77"}}`}
	if err := newStore(t, server).KeepAlive(t.Context(), 77); !errors.Is(err, store.ErrNotApplied) {
		t.Errorf("KeepAlive of an expired lease: %v, want ErrNotApplied", err)
	}
	server = &gateway{status: http.StatusOK, reply: `{"result":{"header":{},"ID":"77","TTL":"90000"}}`}
	if err := newStore(t, server).KeepAlive(t.Context(), 77); err != nil {
		t.Error(err)
	}
}

func TestWatch(t *testing.T) {
	created := `{"result":{"header":{"revision":"4"},"created":true}}` + "\n"
	put := fmt.Sprintf(`{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"%s","value":"%s","mod_revision":"5"}}]}}`,
		base64Of("/a/x"), base64Of("v"))
	deleted := fmt.Sprintf(`{"result":{"header":{"revision":"6"},"events":[{"type":"DELETE","kv":{"key":"%s","mod_revision":"6"}}]}}`,
		base64Of("/a/x"))
	errStopWatch := errors.New("stop")
	cases := []struct {
		name   string
		reply  string
		stopAt int
		want   error
		events int
	}{
		{"stream ends", created + put + deleted, 0, store.ErrUnavailable, 2},
		{"deliver error", created + put + deleted, 1, errStopWatch, 1},
		{"compacted", `{"result":{"canceled":true,"compact_revision":"9"}}`, 0, store.ErrCompacted, 0},
		{"canceled", created + `{"result":{"canceled":true,"cancel_reason":"no leader"}}`, 0, store.ErrUnavailable, 0},
		{"stream error", `{"error":{"grpc_code":14,"message":"gone"}}`, 0, store.ErrUnavailable, 0},
		{"not JSON", created + "}", 0, store.ErrUnavailable, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events := 0
			err := newStore(t, &gateway{status: http.StatusOK, reply: c.reply}).Watch(t.Context(), "/a/", 5, func(batch store.WatchBatch) error {
				events += len(batch.Events)
				if c.stopAt == events {
					return errStopWatch
				}
				return nil
			})
			if !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
			if events != c.events {
				t.Errorf("%d events, want %d", events, c.events)
			}
		})
	}
}

// TestTimeoutExcludesPauses guards against giving up a response that was received while the process
// was paused.
func TestTimeoutExcludesPauses(t *testing.T) {
	const timeout, latency = 200 * time.Millisecond, 400 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(latency)
		_, _ = io.WriteString(w, `{"header":{"revision":"1"},"succeeded":true}`)
	}))
	defer server.Close()
	// A meter that does not run counts at most one reading as active.
	paused := elapsed.New(elapsed.Config{})
	running := elapsed.New(elapsed.Config{})
	go func() { _ = running.Run(t.Context()) }()
	cases := []struct {
		name        string
		withTimeout elapsed.TimeoutFunc
		wantErr     bool
	}{
		{"paused", paused.WithTimeout, false},
		{"running", running.WithTimeout, true},
		{"default", nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := etcd.New(etcd.Options{Endpoint: server.URL, Client: server.Client(), Timeout: timeout, WithTimeout: c.withTimeout})
			_, err := client.Commit(t.Context(), store.Transaction{})
			checkTimeout(t, err, c.wantErr, store.ErrOutcomeUnknown)
			_, _, _, err = client.Get(t.Context(), "/a")
			checkTimeout(t, err, c.wantErr, store.ErrUnavailable)
		})
	}
}

func checkTimeout(t *testing.T, err error, wantErr bool, want error) {
	t.Helper()
	if !wantErr && err != nil {
		t.Error(err)
	}
	if wantErr && (!errors.Is(err, want) || !strings.Contains(err.Error(), "deadline exceeded")) {
		t.Errorf("error %v, want %v and the reason", err, want)
	}
}
