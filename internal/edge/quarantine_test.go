package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/platform/standin"
)

const crashingPath = standin.ScatteredPath + "x" + standin.CrashSuffix

// crashedReplicas counts the replicas that a request has crashed.
func (s *system) crashedReplicas() int {
	count := 0
	for _, replica := range s.Replicas {
		if by, _ := replica.CrashedBy(); by != "" {
			count++
		}
	}
	return count
}

// sendCrashing sends the request that crashes replicas to a node.
func (s *system) sendCrashing(node *standin.Node) (standin.Response, error) {
	caller := &standin.Client{HTTP: s.caller.HTTP}
	caller.Pin(node.Addresses().Callers)
	return caller.Send(s.t.Context(), fmt.Sprint("q", s.serial.Add(1)), crashingPath, 4*time.Second)
}

// replaceNodes stops all nodes and starts new ones without any state.
func (s *system) replaceNodes() {
	s.t.Helper()
	s.stop()
	s.nodes, s.caller.Directories = nil, nil
	s.startNodes(nil)
}

// post sends a POST request and returns the status, or 0 if there is no response.
func (s *system) post(address, path string) int {
	response, err := s.caller.HTTP.Post("http://"+address+path, "", nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// quarantined returns the suspected and quarantined requests of all nodes.
func (s *system) quarantined() []inspect.QuarantinedRequest {
	var known inspect.System
	response, err := s.caller.HTTP.Get("http://" + s.nodes[0].Addresses().State + "/v1/system")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&known); err != nil {
		s.t.Fatal(err)
	}
	return known.Quarantined
}

// All nodes must refuse a request that crashes replicas, once one of them has detected it and
// also after all nodes were replaced, until an operator releases it.
func TestAllNodesRefuseCrashingRequest(t *testing.T) {
	s := startSystemWithLongObjective(t)
	if response, err := s.sendCrashing(s.nodes[0]); err != nil || response.Status != http.StatusBadGateway {
		t.Fatalf("first try: status %d, error %v", response.Status, err)
	}
	crashed := s.crashedReplicas()
	if limit := shards + 2; crashed > limit {
		t.Errorf("%d replicas crashed, want at most %d", crashed, limit)
	}
	refused := func() bool {
		found := s.quarantined()
		return len(found) == 1 && found[0].Refusing == len(s.nodes)
	}
	s.eventually("all nodes refuse the request", refused)
	s.expectRefusedByAll()
	s.eventually("the store holds the request", func() bool {
		held, err := s.Quarantined()
		return err == nil && held == 1
	})

	s.replaceNodes()
	s.eventually("all new nodes refuse the request", refused)
	s.expectRefusedByAll()
	if now := s.crashedReplicas(); now != crashed {
		t.Errorf("%d more replicas crashed", now-crashed)
	}

	identity := s.quarantined()[0].Identity
	if status := s.post(s.nodes[1].Addresses().State, "/v1/release?identity="+identity); status != http.StatusOK {
		t.Fatalf("release: status %d", status)
	}
	s.eventually("no node refuses the request", func() bool { return len(s.quarantined()) == 0 })
	if status := s.post(s.nodes[1].Addresses().State, "/v1/release?identity="+identity); status != http.StatusNotFound {
		t.Errorf("second release: status %d", status)
	}
	if status := s.post(s.nodes[1].Addresses().State, "/v1/release?identity=x"); status != http.StatusBadRequest {
		t.Errorf("release of an invalid identity: status %d", status)
	}
}

// expectRefusedByAll checks that each node refuses the request without running it.
func (s *system) expectRefusedByAll() {
	s.t.Helper()
	for i, node := range s.nodes {
		response, err := s.sendCrashing(node)
		if err != nil || response.Status != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			s.t.Errorf("node %d: status %d, error %v", i, response.Status, err)
		}
	}
}

func TestQuarantineDisabled(t *testing.T) {
	s := startSystem(t, func(settings *edge.Settings) { settings.Quarantine.Disabled = true })
	for range 2 {
		if response, err := s.sendCrashing(s.nodes[0]); err != nil || response.Status == http.StatusOK {
			t.Fatalf("status %d, error %v", response.Status, err)
		}
	}
	if found := s.quarantined(); len(found) != 0 {
		t.Errorf("quarantined: %+v", found)
	}
}
