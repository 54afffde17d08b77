package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/topology"
)

type fakeForwarder struct{ err error }

func (f fakeForwarder) Forward(_ context.Context, request ForwardRequest) (ForwardReply, error) {
	reply := backendapi.SearchReply{QueryID: request.Search.QueryID, Shard: request.Search.Shard, Count: 1,
		Hits: []client.Hit{{ID: "h", Text: "ሰላም", Rank: 0.5}}}
	return ForwardReply{Search: reply, Address: "10.0.0.1:1"}, f.err
}

func member(id string) topology.Member {
	return topology.Member{ID: id, PeerAddress: id + ":1", Place: topology.Place{Region: "accra", Zone: "a"}, Incarnation: 3}
}

func testState() NodeState {
	return NodeState{Member: member("b"), TableRevision: 7, CatalogueRevision: 2, Phase: blackboard.PhaseServing,
		Store: blackboard.StoreStatus{Reachable: true, Since: time.Unix(1700000000, 0), LastError: "x"}, ReplicasCold: 1}
}

func serverOptions() ServerOptions {
	return ServerOptions{
		Exchange: func(m membership.Message) membership.Message {
			return membership.Message{Kind: membership.MessageReply, From: member("b"), Members: m.Members, Digest: []uint64{1, 1 << 63}}
		},
		Document: func(name document.Name) (document.Document, bool) {
			return document.Document{Name: name, Revision: 7, Body: []byte(`{"revision":7}`)}, name == document.Table
		},
		State:      testState,
		Statistics: func(time.Duration) ([]byte, error) { return []byte{1, 2}, nil },
		Forwarder:  fakeForwarder{},
		Registerer: prometheus.NewRegistry(),
	}
}

func startServer(t *testing.T, options ServerOptions) (*Client, string) {
	t.Helper()
	server := httptest.NewUnstartedServer(NewServer(options))
	server.Config.Protocols = ServerProtocols()
	server.Start()
	peerClient := NewClient(ClientOptions{Registerer: prometheus.NewRegistry()})
	t.Cleanup(func() {
		peerClient.Close()
		server.Close()
	})
	return peerClient, server.Listener.Addr().String()
}

func TestClientServerRoundTrip(t *testing.T) {
	peerClient, address := startServer(t, serverOptions())
	ctx := t.Context()
	message := membership.Message{Kind: membership.MessagePing, From: member("a"), Members: []topology.Member{member("c")}}
	cases := []struct {
		name string
		call func() (any, error)
		want any
	}{
		{"exchange", func() (any, error) { return peerClient.Exchange(ctx, address, message) }, membership.Message{
			Kind: membership.MessageReply, From: member("b"), Members: message.Members, Digest: []uint64{1, 1 << 63}}},
		{"document", func() (any, error) { return peerClient.FetchDocument(ctx, address, document.Table) },
			document.Document{Name: document.Table, Revision: 7, Body: []byte(`{"revision":7}`)}},
		{"state", func() (any, error) { return peerClient.State(ctx, address) }, testState()},
		{"statistics", func() (any, error) { return peerClient.Statistics(ctx, address, time.Minute) }, []byte{1, 2}},
		{"forward", func() (any, error) {
			return peerClient.Forward(ctx, address, ForwardRequest{Group: "g", Search: backendapi.SearchRequest{QueryID: "q", Shard: 4}})
		}, ForwardReply{Address: "10.0.0.1:1", Search: backendapi.SearchReply{QueryID: "q", Shard: 4, Count: 1,
			Hits: []client.Hit{{ID: "h", Text: "ሰላም", Rank: 0.5}}}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.call()
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestClientErrors(t *testing.T) {
	failing := serverOptions()
	failing.Forwarder = fakeForwarder{err: failure.New(failure.BackendRefused, "shed").WithRetryAfter(time.Second)}
	peerClient, address := startServer(t, failing)
	paused := serverOptions()
	paused.Fresh = func() bool { return false }
	stale, staleAddress := startServer(t, paused)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	ctx := t.Context()
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	cases := []struct {
		name   string
		call   func() error
		kind   failure.Kind
		notRun bool
	}{
		{"forwarder error", func() error { _, err := peerClient.Forward(ctx, address, ForwardRequest{}); return err }, failure.BackendRefused, true},
		{"unknown document", func() error { _, err := peerClient.FetchDocument(ctx, address, "other"); return err }, failure.NotFound, true},
		{"revision too old", func() error {
			_, err := peerClient.FetchDocumentAtLeast(ctx, address, DocumentRequest{Name: document.Table, MinimumRevision: 8})
			return err
		}, failure.NotFound, true},
		{"document not confirmed", func() error {
			_, err := stale.FetchConfirmedDocument(ctx, staleAddress, document.Table)
			return err
		}, failure.StaleTable, true},
		{"unknown membership message", func() error {
			_, err := peerClient.Exchange(ctx, address, membership.Message{Kind: 99, From: member("a")})
			return err
		}, failure.InvalidRequest, true},
		{"connection refused", func() error { _, err := peerClient.State(ctx, closed); return err }, failure.NoReplica, true},
		{"canceled context", func() error { _, err := peerClient.State(canceled, address); return err }, failure.Canceled, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := failure.From(test.call())
			if got.Kind != test.kind || got.NotRun != test.notRun {
				t.Errorf("got %v, NotRun %v; want kind %v, NotRun %v", got, got.NotRun, test.kind, test.notRun)
			}
		})
	}
}

func TestServerRejectsInvalidBodies(t *testing.T) {
	limited := serverOptions()
	limited.MaxBodyBytes = 1000
	handler := NewServer(limited)
	cases := []struct {
		name, path, body string
		status           int
	}{
		{"empty", ExchangePath, "", http.StatusBadRequest},
		{"not msgpack", ExchangePath, "hello", http.StatusBadRequest},
		{"wrong type", StatePath, "\x93\x01\x02\x03", http.StatusBadRequest},
		{"trailing bytes", StatePath, "\x80\x80", http.StatusBadRequest},
		{"array length beyond body", ExchangePath, "\x81\xa1m\xdd\xff\xff\xff\xff", http.StatusBadRequest},
		{"deep nesting", ExchangePath, "\x81\xa1x" + strings.Repeat("\x91", 990), http.StatusBadRequest},
		{"too large", ExchangePath, strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body)))
			if recorder.Code != test.status {
				t.Errorf("status %d, want %d", recorder.Code, test.status)
			}
			var problem Problem
			if err := decode(recorder.Body.Bytes(), &problem); err != nil || problem.Kind == "" {
				t.Errorf("reply is not a Problem: %v", err)
			}
		})
	}
}

func FuzzDecodeMessage(f *testing.F) {
	encoded, err := encode(membership.Message{Kind: membership.MessageSync, From: member("a"), Digest: make([]uint64, membership.DigestBuckets),
		Members: []topology.Member{member("c")}, Records: []membership.Record{{Kind: membership.RecordDocument, Key: "table", Version: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte("\x81\xa1m\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var message membership.Message
		if decode(body, &message) != nil {
			return
		}
		core := membership.NewCore(membership.CoreOptions{Self: member("a")})
		core.Step(0, membership.Received{Message: message})
		if core.Self().State != topology.MemberAlive {
			t.Errorf("received message changed the state of this daemon to %v", core.Self().State)
		}
		encodedAgain, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		var decodedAgain membership.Message
		if err := decode(encodedAgain, &decodedAgain); err != nil {
			t.Fatal(err)
		}
		if encodedThird, err := encode(decodedAgain); err != nil || !bytes.Equal(encodedThird, encodedAgain) {
			t.Errorf("encoding changes after a round trip: %v", err)
		}
	})
}
