package edge_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/platform/standin"
)

// A configuration must be in force in time although the watches deliver nothing.
func TestConfigurationInForceWithFrozenWatches(t *testing.T) {
	s := startSystem(t, nil)
	if err := s.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
		t.Fatal(err)
	}
	if err := s.Configure(shards - 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // the Apply bound
	for range 20 {
		id, response, err := s.send(standin.ScatteredPath)
		if err != nil || len(response.Parts) != shards-1 {
			t.Fatalf("request %s: %d parts, error %v", id, len(response.Parts), err)
		}
	}
}

// A node that the store rejects must learn of a configuration from the other nodes.
func TestThrottledNodeFollowsPeers(t *testing.T) {
	var refuse atomic.Bool
	var deployment atomic.Pointer[standin.Deployment]
	throttled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuse.Load() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		deployment.Load().Store.ServeHTTP(w, r)
	}))
	t.Cleanup(throttled.Close)
	s := startSystemWithHook(t, deployment.Store, func(settings *edge.Settings) {
		if settings.Node == "n2" {
			settings.Store.URL = throttled.URL
		}
	})
	refuse.Store(true)
	throttled.CloseClientConnections() // ends its watch as well
	if err := s.Configure(shards - 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // the Apply bound
	own := &standin.Client{Region: "region-b", Zone: "b", Directories: []string{s.nodes[2].Addresses().Directory}, HTTP: s.caller.HTTP}
	for i := range 10 {
		response, err := own.Send(t.Context(), fmt.Sprint("t", i), standin.ScatteredPath, 4*time.Second)
		if err != nil || response.Node != s.nodes[2].Addresses().Callers || len(response.Parts) != shards-1 {
			t.Fatalf("node %s: %d parts, error %v", response.Node, len(response.Parts), err)
		}
	}
}

// A node that the store rejects from the start must become ready through its seeds, some of which
// are gone.
func TestThrottledNodeStartsFromSeeds(t *testing.T) {
	s := startSystemWithLongObjective(t)
	s.sendComplete()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	t.Cleanup(refusing.Close)
	settings := s.NodeSettings("late", "b")
	settings.Store.URL = refusing.URL
	settings.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(s.nodes[0].Addresses().State)}
	late, err := s.StartNode(settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.nodes = append(s.nodes, late)
	s.eventually("the late node is ready", func() bool {
		return s.get(late.Addresses().Readiness, standin.ReadyPath) == http.StatusOK
	})
	own := &standin.Client{Region: "region-b", Zone: "b", Directories: []string{late.Addresses().Directory}, HTTP: s.caller.HTTP}
	for i := range 10 {
		response, err := own.Send(t.Context(), fmt.Sprint("late", i), standin.ScatteredPath, 4*time.Second)
		if err != nil || len(response.Parts) != shards {
			t.Fatalf("%d parts, error %v", len(response.Parts), err)
		}
	}
}

// Nodes must serve during an outage of the store, and apply changes once it is back.
func TestStoreOutage(t *testing.T) {
	s := startSystemWithLongObjective(t)
	if err := s.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		s.sendComplete()
		time.Sleep(20 * time.Millisecond)
	}
	if err := s.Configure(shards - 1); err != nil {
		t.Fatal(err)
	}
	if err := s.Store.SetFaults(kv.Faults{}); err != nil {
		t.Fatal(err)
	}
	s.eventually("the new shards are in force", func() bool {
		_, response, err := s.send(standin.ScatteredPath)
		return err == nil && len(response.Parts) == shards-1
	})
}

// During an outage of the store, the entry of a stopped node remains; the directory must omit the
// node nevertheless.
func TestDirectoryOmitsStoppedNode(t *testing.T) {
	s := startSystem(t, nil)
	own := &standin.Client{Region: "region-b", Zone: "b", Directories: []string{s.nodes[0].Addresses().Directory}, HTTP: s.caller.HTTP}
	directedTo := func(node string) func() bool {
		return func() bool {
			addresses, err := own.Resolve(t.Context())
			return err == nil && slices.Contains(addresses, node)
		}
	}
	stopped := s.nodes[2].Addresses().Callers
	s.eventually("callers of zone b are directed to its node", directedTo(stopped))
	if err := s.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	if err := s.nodes[2].Stop(); err != nil {
		t.Fatal(err)
	}
	s.eventually("callers of zone b are directed to other nodes", func() bool { return !directedTo(stopped)() })
}
