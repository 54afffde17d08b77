package edge_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/platform/standin"
)

// When the store is restored from a backup, its revisions go back and are assigned again. Nodes
// must not wait for the highest revision they have seen, nor miss changes at or below it.

// maxStaleness is the time within which a change must be in force, by the nodes' settings.
const maxStaleness = 3 * time.Second

// restoreStore restores the store to a revision during an outage, and calls meanwhile before the
// outage ends.
func (s *system) restoreStore(revision int64, meanwhile func()) {
	s.t.Helper()
	s.must(s.Store.SetFaults(kv.Faults{Outage: true}))
	time.Sleep(300 * time.Millisecond)
	s.must(s.RestoreStore(revision))
	meanwhile()
	s.must(s.Store.SetFaults(kv.Faults{}))
}

func (s *system) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// configureTimes writes a number of configurations, waits until the nodes apply them, and returns
// the store's revision.
func (s *system) configureTimes(times int) int64 {
	s.t.Helper()
	for range times {
		s.must(s.Configure(shards))
	}
	time.Sleep(maxStaleness)
	return s.Store.Memory.Revision()
}

// expectReducedShards checks that a configuration with one shard less is in force after maxStaleness.
func (s *system) expectReducedShards() {
	s.t.Helper()
	time.Sleep(maxStaleness)
	for range 20 {
		id, response, err := s.send(standin.ScatteredPath)
		if err != nil || len(response.Parts) != shards-1 {
			s.t.Fatalf("request %s: %d parts %v after the configuration, error %v", id, len(response.Parts), maxStaleness, err)
		}
	}
}

// After a restore the store's revisions may be lower than, equal to or higher than those that the
// nodes know.
func TestConfigurationInForceAfterStoreRestore(t *testing.T) {
	t.Run("lower revisions", func(t *testing.T) {
		s := startSystemWithLongObjective(t)
		backup := s.Store.Memory.Revision()
		s.configureTimes(40)
		s.restoreStore(backup, func() {})
		time.Sleep(200 * time.Millisecond)
		s.must(s.Republish())
		s.must(s.Configure(shards - 1))
		s.expectReducedShards()
	})
	for _, test := range []struct {
		name string
		past int64
	}{
		{"equal revisions", 0},
		{"higher revisions", 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystemWithLongObjective(t)
			backup := s.Store.Memory.Revision()
			known := s.configureTimes(10)
			s.restoreStore(backup, func() {
				s.must(s.Configure(shards - 1))
				for s.Store.Memory.Revision() < known+test.past {
					s.touchStore()
				}
			})
			time.Sleep(maxStaleness / 10) // until the watches are re-established
			s.touchStore()
			s.expectReducedShards()
		})
	}
}

// touchStore raises the store's revision by writing a key that the nodes ignore.
func (s *system) touchStore() {
	s.t.Helper()
	s.must(s.Store.Put("another/key", s.Store.Memory.Revision()))
}

// After a restore each node that watches the store must read it only once, and must not miss that
// a replica is draining.
func TestReadsAfterStoreRestore(t *testing.T) {
	s := startSystemWithLongObjective(t)
	backup := s.Store.Memory.Revision()
	s.configureTimes(40)
	leaving := s.ReplicasOf(standin.ShardService(1))[0]
	before := s.Store.RangeCalls()
	s.restoreStore(backup, func() {})
	time.Sleep(200 * time.Millisecond)
	s.must(s.Republish())
	s.must(leaving.Drain())
	time.Sleep(maxStaleness)
	arrived := leaving.Arrivals()
	for range 40 {
		s.sendComplete()
	}
	if more := leaving.Arrivals() - arrived; more > 0 {
		t.Errorf("%d requests to a replica that has been draining for %v", more, maxStaleness)
	}
	const watching = 3 // at most: all nodes
	if readings := s.Store.RangeCalls() - before; readings > watching {
		t.Errorf("%d reads by %d nodes", readings, len(s.nodes))
	}
}

// The second restore coincides with the start of a node, before the operator has written the
// newest configuration again. All nodes must be listed in the last era and apply that
// configuration in time.
func TestStoreRestoredTwice(t *testing.T) {
	s := startSystemWithLongObjective(t)
	backup := s.Store.Memory.Revision()
	s.configureTimes(3)
	s.restoreStore(backup, func() {})
	time.Sleep(time.Second)
	s.must(s.Republish())
	time.Sleep(maxStaleness)
	s.must(s.Configure(shards - 1))
	s.restoreStore(backup, func() {})
	late, err := s.StartNode(s.NodeSettings("late", "b"), nil)
	s.must(err)
	s.nodes = append(s.nodes, late)
	time.Sleep(time.Second)
	s.must(s.Republish())
	s.expectReducedShards()
	s.eventually("all nodes are listed with the last era", func() bool {
		for _, one := range s.nodes {
			known := s.systemSeenBy(one)
			if known == nil || len(known.Nodes) != len(s.nodes) {
				return false
			}
			for _, node := range known.Nodes {
				if node.StoreEra != 2 {
					return false
				}
			}
		}
		return true
	})
}

// systemSeenBy returns the system state reported by a node, or nil if it does not answer.
func (s *system) systemSeenBy(node *standin.Node) *inspect.System {
	response, err := s.caller.HTTP.Get("http://" + node.Addresses().State + "/v1/system")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	var known inspect.System
	if err := json.NewDecoder(response.Body).Decode(&known); err != nil {
		return nil
	}
	return &known
}
