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

const endingPath = standin.ScatteredPath + "x" + standin.EndingTarget

// endedReplicas counts the replicas that a request has ended.
func (s *system) endedReplicas() int {
	count := 0
	for _, replica := range s.Replicas {
		if by, _ := replica.EndedBy(); by != "" {
			count++
		}
	}
	return count
}

// sendEnding sends the request that ends replicas to one node.
func (s *system) sendEnding(node *standin.Node) (standin.Response, error) {
	caller := &standin.Client{HTTP: s.caller.HTTP}
	caller.StayWith(node.Addresses().Callers)
	return caller.Send(s.t.Context(), fmt.Sprint("q", s.serial.Add(1)), endingPath, 4*time.Second)
}

// restart ends all nodes and starts others in their place, which know nothing.
func (s *system) restart() {
	s.t.Helper()
	s.stop()
	s.nodes, s.caller.Directories = nil, nil
	s.startNodes(nil)
}

// post makes a call and returns the status.
func (s *system) post(address, path string) int {
	response, err := s.caller.HTTP.Post("http://"+address+path, "", nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// quarantined returns what the nodes know of requests that end replicas.
func (s *system) quarantined() []inspect.Request {
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

// TestAllNodesRefuseARequestThatEndsReplicas: one of them finds it out, the others hear of it,
// also those that start after all have ended; an operator can release it.
func TestAllNodesRefuseARequestThatEndsReplicas(t *testing.T) {
	s := startPatientSystem(t)
	if response, err := s.sendEnding(s.nodes[0]); err != nil || response.Status != http.StatusBadGateway {
		t.Fatalf("the first try: status %d, error %v", response.Status, err)
	}
	ended := s.endedReplicas()
	if most := shards + 2; ended > most {
		t.Errorf("%d replicas ended, want %d at the most", ended, most)
	}
	refused := func() bool {
		found := s.quarantined()
		return len(found) == 1 && found[0].Refusing == len(s.nodes)
	}
	s.eventually("all nodes refuse it", refused)
	s.refusedByAll()
	s.eventually("the store holds it", func() bool {
		held, err := s.Quarantined()
		return err == nil && held == 1
	})

	s.restart()
	s.eventually("all nodes that have started anew refuse it", refused)
	s.refusedByAll()
	if now := s.endedReplicas(); now != ended {
		t.Errorf("%d replicas have ended since", now-ended)
	}

	identity := s.quarantined()[0].Identity
	if status := s.post(s.nodes[1].Addresses().State, "/v1/release?identity="+identity); status != http.StatusOK {
		t.Fatalf("released: status %d", status)
	}
	s.eventually("no node refuses it", func() bool { return len(s.quarantined()) == 0 })
	if status := s.post(s.nodes[1].Addresses().State, "/v1/release?identity="+identity); status != http.StatusNotFound {
		t.Errorf("released again: status %d", status)
	}
	if status := s.post(s.nodes[1].Addresses().State, "/v1/release?identity=x"); status != http.StatusBadRequest {
		t.Errorf("released by no identity: status %d", status)
	}
}

// refusedByAll checks that each node refuses the request with a promise that it has not run.
func (s *system) refusedByAll() {
	s.t.Helper()
	for i, node := range s.nodes {
		response, err := s.sendEnding(node)
		if err != nil || response.Status != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			s.t.Errorf("node %d: status %d, error %v", i, response.Status, err)
		}
	}
}

// TestTheQuarantineCanBeOff: then ends of replicas are failures like others.
func TestTheQuarantineCanBeOff(t *testing.T) {
	s := startSystem(t, func(settings *edge.Settings) { settings.Quarantine.Disabled = true })
	for range 2 {
		if response, err := s.sendEnding(s.nodes[0]); err != nil || response.Status == http.StatusOK {
			t.Fatalf("status %d, error %v", response.Status, err)
		}
	}
	if found := s.quarantined(); len(found) != 0 {
		t.Errorf("quarantined: %+v", found)
	}
}
