package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// partialAnswerAfter is when a scattered request is answered without late shards: 0.88 of the
// stand-in's objective of 250 ms. Each shard has one replica per region, so that on a busy machine
// no hedge can cover for a late one.
const partialAnswerAfter = 220 * time.Millisecond

// regionsRunning returns the regions whose replicas ran a request.
func (s *system) regionsRunning(id string) map[string]bool {
	regions := make(map[string]bool)
	for _, replica := range s.Replicas {
		if replica.Executions(id) > 0 {
			regions[replica.Region()] = true
		}
	}
	return regions
}

// A region-bound route must be served only by replicas of its regions, on each node and at each
// attempt. If too few shards have replicas there, the request is refused without running.
func TestRegionBoundRoute(t *testing.T) {
	s := startSystemWithLongObjective(t)
	for _, node := range s.nodes {
		caller := &standin.Client{Directories: []string{node.Addresses().Directory}, HTTP: s.caller.HTTP}
		s.caller = caller
		for range 20 {
			sent := time.Now()
			id, response, err := s.send(standin.RegionalPath)
			took := time.Since(sent)
			if err != nil || response.Status != http.StatusOK {
				t.Fatalf("status %d, error %v", response.Status, err)
			}
			if err := standin.CheckScattered(id, shards, response); err != nil {
				t.Fatal(err)
			}
			if response.Missing > 0 && took < partialAnswerAfter {
				t.Fatalf("%d shards missing after %v", response.Missing, took)
			}
			if regions := s.regionsRunning(id); len(regions) != 1 || !regions[s.AllowedRegion()] {
				t.Fatalf("request ran in %v", regions)
			}
		}
	}
	for shard := range 2 {
		allowed := s.ReplicasOf(standin.ShardService(shard))[0]
		allowed.Close()
		if err := allowed.Deregister(); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("a bound request is refused, as two shards have no replica in its region", func() bool {
		id, response, err := s.send(standin.RegionalPath)
		return err == nil && response.Status == http.StatusServiceUnavailable &&
			response.Header.Get("Retry-After") != "" && len(s.regionsRunning(id)) == 0
	})
	s.sendComplete()
}
