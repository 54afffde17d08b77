package edge_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/platform/standin"
)

// The store was away for three seconds and came back from a copy that was some seconds old: its
// revisions had gone back and were given out again. The nodes took the highest revision that
// they had ever seen for the newest: their logs show 150 readings in 7.5 s that each ended well,
// each followed by a refused watch (known_revision 87 in all of them), until the store had passed
// that revision. A configuration that was written at or below it, after the last reading, was
// told by no watch: version 30 was acknowledged at 26.5 s and in force at none of nine nodes,
// and the six that watch other nodes missed two versions that the readers had.

// newsTime is within what time a change must be in force, of the settings of these nodes.
const newsTime = 3 * time.Second

// restoreStore lets the store be away while it goes back to a revision, and lets meanwhile happen.
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

// configured lets the nodes take some configurations in, and tells the store's revision.
func (s *system) configured(times int) int64 {
	s.t.Helper()
	for range times {
		s.must(s.Configure(shards))
	}
	time.Sleep(newsTime)
	return s.Store.Memory.Revision()
}

// inForceInTime checks that a configuration with one shard less than before is in force once
// the time for news is over.
func (s *system) inForceInTime() {
	s.t.Helper()
	time.Sleep(newsTime)
	for range 20 {
		id, response, err := s.send(standin.ScatteredPath)
		if err != nil || len(response.Parts) != shards-1 {
			s.t.Fatalf("request %s has %d parts %v after the configuration, error %v", id, len(response.Parts), newsTime, err)
		}
	}
}

// TestAConfigurationIsInForceAfterTheStoreCameBackFromACopy: whether the store's revisions are
// lower, equal or higher than those that the nodes know when it is back.
func TestAConfigurationIsInForceAfterTheStoreCameBackFromACopy(t *testing.T) {
	t.Run("the revisions are lower", func(t *testing.T) {
		s := startPatientSystem(t)
		copied := s.Store.Memory.Revision()
		s.configured(40)
		s.restoreStore(copied, func() {})
		time.Sleep(200 * time.Millisecond)
		s.must(s.Rewrite())
		s.must(s.Configure(shards - 1))
		s.inForceInTime()
	})
	for _, test := range []struct {
		name string
		past int64
	}{
		{"the revisions are equal", 0},
		{"the revisions have passed what is known", 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startPatientSystem(t)
			copied := s.Store.Memory.Revision()
			known := s.configured(10)
			s.restoreStore(copied, func() {
				s.must(s.Configure(shards - 1))
				for s.Store.Memory.Revision() < known+test.past {
					s.write()
				}
			})
			time.Sleep(newsTime / 10) // the watches wait again
			s.write()
			s.inForceInTime()
		})
	}
}

// write changes a key that says nothing to the nodes.
func (s *system) write() {
	s.t.Helper()
	s.must(s.Store.Put("another/key", s.Store.Memory.Revision()))
}

// TestNoStormOfReadingsAfterTheStoreCameBackFromACopy: one reading for each node that watches
// the store, and a replica that leaves is not sent to.
func TestNoStormOfReadingsAfterTheStoreCameBackFromACopy(t *testing.T) {
	s := startPatientSystem(t)
	copied := s.Store.Memory.Revision()
	s.configured(40)
	leaving := s.Of(standin.ShardService(1))[0]
	before := s.Store.Readings()
	s.restoreStore(copied, func() {})
	time.Sleep(200 * time.Millisecond)
	s.must(s.Rewrite())
	s.must(leaving.Drain())
	time.Sleep(newsTime)
	arrived := leaving.Arrivals()
	for range 40 {
		s.whole()
	}
	if more := leaving.Arrivals() - arrived; more > 0 {
		t.Errorf("%d requests to a replica that said %v ago that it leaves", more, newsTime)
	}
	const watching = 3 // at most: all nodes
	if readings := s.Store.Readings() - before; readings > watching {
		t.Errorf("%d readings by %d nodes", readings, len(s.nodes))
	}
}

// TestTheStoreComesBackFromACopyTwice: within ten seconds, the second time beside a node that
// starts and before the operator has written the newest configuration again. All nodes, the new
// one among them, are recorded in the last era and have that configuration in time.
func TestTheStoreComesBackFromACopyTwice(t *testing.T) {
	s := startPatientSystem(t)
	copied := s.Store.Memory.Revision()
	s.configured(3)
	s.restoreStore(copied, func() {})
	time.Sleep(time.Second)
	s.must(s.Rewrite())
	time.Sleep(newsTime)
	s.must(s.Configure(shards - 1))
	s.restoreStore(copied, func() {})
	late, err := s.StartNode(s.NodeSettings("late", "b"), nil)
	s.must(err)
	s.nodes = append(s.nodes, late)
	time.Sleep(time.Second)
	s.must(s.Rewrite())
	s.inForceInTime()
	s.eventually("all nodes are recorded and know the era", func() bool {
		for _, one := range s.nodes {
			known := s.knownBy(one)
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

// knownBy returns what a node tells operators of the system; nil when it does not answer.
func (s *system) knownBy(node *standin.Node) *inspect.System {
	response, err := s.caller.HTTP.Get("http://" + node.Addresses().State + "/v1/system")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }() // what matters was read
	var known inspect.System
	if err := json.NewDecoder(response.Body).Decode(&known); err != nil {
		return nil
	}
	return &known
}
