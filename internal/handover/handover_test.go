package handover

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// nodeAt starts a server and returns its node.
func nodeAt(id string, handler http.Handler, t *testing.T) topology.Node {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return topology.Node{ID: id, StateAddress: server.Listener.Addr().String()}
}

func TestRead(t *testing.T) {
	want := Snapshot{Revision: 7, AgeMilliseconds: 40, Values: []store.KeyValue{{Key: "a", Value: []byte{0, 1}, ModRevision: 5}}}
	nodes := &topology.Nodes{Self: topology.Node{ID: "self"}, Nodes: []topology.Node{
		nodeAt("self", http.NotFoundHandler(), t),
		nodeAt("ready", Handler(func() (Snapshot, bool) { return want, true }), t),
		nodeAt("starting", Handler(func() (Snapshot, bool) { return Snapshot{}, false }), t),
		{ID: "old version"},
	}}
	for range 10 { // nodes are tried in random order
		got, err := New(Config{HTTP: http.DefaultClient, Nodes: func() *topology.Nodes { return nodes }}).Read(t.Context())
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatalf("error %v (-want +got):\n%s", err, diff)
		}
	}
	if want.Age() != 40*time.Millisecond {
		t.Errorf("age %v", want.Age())
	}
}

func TestReadFails(t *testing.T) {
	garbage := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("garbage")) })
	cases := map[string]*topology.Nodes{
		"no nodes":        nil,
		"only self":       {Self: topology.Node{ID: "self"}, Nodes: []topology.Node{{ID: "self", StateAddress: "127.0.0.1:1"}}},
		"unreachable":     {Nodes: []topology.Node{{ID: "a", StateAddress: "127.0.0.1:1"}}},
		"invalid body":    {Nodes: []topology.Node{nodeAt("a", garbage, t)}},
		"no snapshot":     {Nodes: []topology.Node{nodeAt("a", Handler(func() (Snapshot, bool) { return Snapshot{}, false }), t)}},
		"another service": {Nodes: []topology.Node{nodeAt("a", http.NotFoundHandler(), t)}},
	}
	for name, nodes := range cases {
		if _, err := New(Config{HTTP: http.DefaultClient, Nodes: func() *topology.Nodes { return nodes }}).Read(t.Context()); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestReadFromSeed checks that unreachable seeds are skipped, and that seeds are not used if
// other nodes are known.
func TestReadFromSeed(t *testing.T) {
	seed := nodeAt("seed", Handler(func() (Snapshot, bool) { return Snapshot{Revision: 7}, true }), t)
	var nodes *topology.Nodes
	reader := New(Config{
		HTTP: http.DefaultClient, Nodes: func() *topology.Nodes { return nodes },
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(seed.StateAddress)},
	})
	if got, err := reader.Read(t.Context()); err != nil || got.Revision != 7 {
		t.Errorf("read %+v, error %v", got, err)
	}
	nodes = &topology.Nodes{Self: topology.Node{ID: "self"}, Nodes: []topology.Node{{ID: "self", StateAddress: "127.0.0.1:1"}}}
	if got, err := reader.Read(t.Context()); err != nil || got.Revision != 7 {
		t.Errorf("with only self known: read %+v, error %v", got, err)
	}
	nodes.Nodes = append(nodes.Nodes, topology.Node{ID: "unreachable", StateAddress: "127.0.0.1:1"})
	if _, err := reader.Read(t.Context()); err == nil {
		t.Error("seed was used although another node is known")
	}
}
