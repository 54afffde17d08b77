package follower

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// tableWithShards makes a configuration of one scattered route.
func tableWithShards(version uint64, shards ...string) *routing.Table {
	return routing.NewTable(version, []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Shards: shards}}, nil, routing.Limits{})
}

// TestAConfigurationWaitsForItsReplicas: while the store is away, replicas of a new
// set of shards cannot record themselves, and a configuration can be accepted
// before they do. The one in force still serves.
func TestAConfigurationWaitsForItsReplicas(t *testing.T) {
	const wait = time.Second
	listed := map[string]bool{"a": true}
	known := func(group string) bool { return listed[group] }
	adopted := activation{wait: wait}
	adopted.offer(tableWithShards(1, "a", "b"))
	if !adopted.activate(start, known) {
		t.Fatal("the first configuration waits, though there is none to go on with")
	}
	adopted.offer(tableWithShards(2, "a", "b"))
	if !adopted.activate(start, known) {
		t.Error("a configuration waits for a group that has no replicas under the one in force either")
	}
	adopted.offer(tableWithShards(3, "c", "d"))
	if adopted.activate(start, known) {
		t.Error("a configuration without replicas is in force at once")
	}
	listed["c"], listed["d"] = true, true
	if !adopted.activate(start.Add(wait/4), known) || adopted.active.Version != 3 {
		t.Error("a configuration waits though its replicas are there")
	}
}

// TestAConfigurationDoesNotWaitForLong: further ones do not prolong the wait, and
// none that is older is taken.
func TestAConfigurationDoesNotWaitForLong(t *testing.T) {
	const wait = time.Second
	unknown := func(string) bool { return false }
	adopted := activation{wait: wait}
	adopted.offer(tableWithShards(1, "a"))
	adopted.activate(start, unknown)
	adopted.offer(tableWithShards(2, "b"))
	adopted.activate(start, unknown)
	adopted.offer(tableWithShards(3, "c"))
	if adopted.activate(start.Add(wait-1), unknown) || !adopted.nextDeadline().Equal(start.Add(wait)) {
		t.Errorf("in force before its time, or due at %v", adopted.nextDeadline())
	}
	adopted.offer(tableWithShards(2, "b"))
	if !adopted.activate(start.Add(wait), unknown) || adopted.active.Version != 3 {
		t.Errorf("version %d is in force, want 3", adopted.active.Version)
	}
	if !adopted.nextDeadline().IsZero() {
		t.Error("something is still due")
	}
}
