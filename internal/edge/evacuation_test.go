package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// arrivalsAt returns the number of requests that arrived at the replicas of a zone.
func (s *system) arrivalsAt(zone string) int {
	count := 0
	for _, replica := range s.Replicas {
		if replica.Zone() == zone {
			count += replica.Arrivals()
		}
	}
	return count
}

// sendTo sends a scattered request directly to a node, and returns the status of the response or
// 0 if there is none.
func (s *system) sendTo(node *standin.Node, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+node.Addresses().Callers+standin.ScatteredPath+"x", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = standin.Host
	request.Header.Set("Request-Id", id)
	response, err := s.caller.HTTP.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// An evacuated zone must receive no requests until it is readmitted, neither hedges nor requests
// of a node that has just started. With both zones evacuated, requests are refused without
// running.
func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	s := startSystemWithLongObjective(t)
	for range 30 {
		s.sendComplete() // opens connections to both zones, and establishes the latency baseline
	}
	if err := s.Evacuate("a"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // the Evacuate bound
	before := s.arrivalsAt("a")
	s.ReplicasOf(standin.ShardService(1))[1].Pause() // in zone b: a hedge would go to zone a
	for range 5 {
		if _, response, err := s.send(standin.ScatteredPath); err != nil || response.Status != http.StatusOK {
			t.Errorf("status %d, error %v", response.Status, err)
		}
	}
	s.ReplicasOf(standin.ShardService(1))[1].Resume()
	node, err := s.StartNode(s.NodeSettings(fmt.Sprint("n", len(s.nodes)), "a"), nil)
	if err != nil {
		t.Fatal(err)
	}
	s.nodes = append(s.nodes, node)
	s.eventually("the new node is ready", func() bool {
		return s.get(node.Addresses().Readiness, standin.ReadyPath) == http.StatusOK
	})
	for i := range 5 {
		if status := s.sendTo(node, fmt.Sprint("direct-", i)); status != http.StatusOK {
			t.Errorf("status %d from the new node", status)
		}
	}
	if got := s.arrivalsAt("a"); got != before {
		t.Errorf("%d requests reached the evacuated zone", got-before)
	}
	if err := s.Evacuate("b"); err != nil {
		t.Fatal(err)
	}
	s.eventually("requests are refused with Retry-After", func() bool {
		id, response, err := s.send(standin.ScatteredPath)
		return err == nil && response.Status == http.StatusServiceUnavailable &&
			response.Header.Get("Retry-After") != "" && len(s.regionsRunning(id)) == 0
	})
	for _, zone := range zones {
		if err := s.Readmit(zone); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("both zones serve again", func() bool {
		_, _, _ = s.send(standin.ScatteredPath) // its effect is observed at the replicas
		return s.arrivalsAt("a") > before
	})
}
