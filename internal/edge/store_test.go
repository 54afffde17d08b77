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

// TestAConfigurationIsInForceThoughTheWatchIsDeaf: within the time for news.
func TestAConfigurationIsInForceThoughTheWatchIsDeaf(t *testing.T) {
	s := startSystem(t, nil)
	if err := s.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
		t.Fatal(err)
	}
	if err := s.Configure(shards - 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // the time to apply of the settings
	for range 20 {
		id, response, err := s.send(standin.ScatteredPath)
		if err != nil || len(response.Parts) != shards-1 {
			t.Fatalf("request %s has %d parts, error %v", id, len(response.Parts), err)
		}
	}
}

// TestANodeThatTheStoreRefusesKeepsUp: the store serves the operator and the
// other nodes, and refuses one; it learns of a configuration from the others.
func TestANodeThatTheStoreRefusesKeepsUp(t *testing.T) {
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
	s := startSystemOn(t, deployment.Store, func(settings *edge.Settings) {
		if settings.Node == "n2" {
			settings.Store.URL = throttled.URL
		}
	})
	refuse.Store(true)
	throttled.CloseClientConnections() // its watch ends as well
	if err := s.Configure(shards - 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // the time to apply of the settings
	own := &standin.Client{Region: "region-b", Zone: "b", Directories: []string{s.nodes[2].Addresses().Directory}, HTTP: s.caller.HTTP}
	for i := range 10 {
		response, err := own.Send(t.Context(), fmt.Sprint("t", i), standin.ScatteredPath, 4*time.Second)
		if err != nil || response.Node != s.nodes[2].Addresses().Callers || len(response.Parts) != shards-1 {
			t.Fatalf("node %s answers with %d parts, error %v", response.Node, len(response.Parts), err)
		}
	}
}

// TestANodeThatStartsWhileTheStoreRefusesItServes: it knows nobody but its seeds,
// of which some are gone.
func TestANodeThatStartsWhileTheStoreRefusesItServes(t *testing.T) {
	s := startPatientSystem(t)
	s.whole()
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

// TestTheStoreMayBeAway: what is known serves on, and what has changed
// meanwhile is in force soon after.
func TestTheStoreMayBeAway(t *testing.T) {
	s := startPatientSystem(t)
	if err := s.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		s.whole()
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

// TestCallersAreNotLedToANodeThatIsGone: while the store is away, a node's record
// stays though the node is gone.
func TestCallersAreNotLedToANodeThatIsGone(t *testing.T) {
	s := startSystem(t, nil)
	own := &standin.Client{Region: "region-b", Zone: "b", Directories: []string{s.nodes[0].Addresses().Directory}, HTTP: s.caller.HTTP}
	led := func(to string) func() bool {
		return func() bool {
			addresses, err := own.Resolve(t.Context())
			return err == nil && slices.Contains(addresses, to)
		}
	}
	gone := s.nodes[2].Addresses().Callers
	s.eventually("callers of zone b are led to its node", led(gone))
	if err := s.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	if err := s.nodes[2].Stop(); err != nil {
		t.Fatal(err)
	}
	s.eventually("callers of zone b are led to other nodes", func() bool { return !led(gone)() })
}
