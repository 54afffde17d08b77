package follower

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// tableOf makes a configuration of one scattered route.
func tableOf(version uint64, shards ...string) *routing.Table {
	return routing.NewTable(version, []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Shards: shards}}, nil, routing.Limits{})
}

// TestAConfigurationWaitsForItsReplicas: while the store is away, replicas of a new
// set of shards cannot record themselves, and a configuration can be accepted
// before they do. The one in force still serves.
func TestAConfigurationWaitsForItsReplicas(t *testing.T) {
	const wait = time.Second
	listed := map[string]bool{"a": true}
	known := func(group string) bool { return listed[group] }
	adopted := adoption{wait: wait}
	adopted.offer(tableOf(1, "a", "b"))
	if !adopted.adopt(start, known) {
		t.Fatal("the first configuration waits, though there is none to go on with")
	}
	adopted.offer(tableOf(2, "a", "b"))
	if !adopted.adopt(start, known) {
		t.Error("a configuration waits for a group that has no replicas under the one in force either")
	}
	adopted.offer(tableOf(3, "c", "d"))
	if adopted.adopt(start, known) {
		t.Error("a configuration without replicas is in force at once")
	}
	listed["c"], listed["d"] = true, true
	if !adopted.adopt(start.Add(wait/4), known) || adopted.inForce.Version != 3 {
		t.Error("a configuration waits though its replicas are there")
	}
}

// TestAConfigurationDoesNotWaitForLong: further ones do not prolong the wait, and
// none that is older is taken.
func TestAConfigurationDoesNotWaitForLong(t *testing.T) {
	const wait = time.Second
	unknown := func(string) bool { return false }
	adopted := adoption{wait: wait}
	adopted.offer(tableOf(1, "a"))
	adopted.adopt(start, unknown)
	adopted.offer(tableOf(2, "b"))
	adopted.adopt(start, unknown)
	adopted.offer(tableOf(3, "c"))
	if adopted.adopt(start.Add(wait-1), unknown) || !adopted.dueAt().Equal(start.Add(wait)) {
		t.Errorf("in force before its time, or due at %v", adopted.dueAt())
	}
	adopted.offer(tableOf(2, "b"))
	if !adopted.adopt(start.Add(wait), unknown) || adopted.inForce.Version != 3 {
		t.Errorf("version %d is in force, want 3", adopted.inForce.Version)
	}
	if !adopted.dueAt().IsZero() {
		t.Error("something is still due")
	}
}
