package follower

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// tableWithShards returns a configuration with one route over the given shards.
func tableWithShards(version uint64, shards ...string) *routing.Table {
	return routing.NewTable(version, []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Shards: shards}}, nil, routing.Limits{})
}

// TestActivationWaitsForReplicas tests that a configuration with new groups is not activated before
// they have replicas, which cannot register during a store outage.
func TestActivationWaitsForReplicas(t *testing.T) {
	const wait = time.Second
	listed := map[string]bool{"a": true}
	hasReplica := func(group string) bool { return listed[group] }
	a := activation{wait: wait}
	a.offer(tableWithShards(1, "a", "b"))
	if !a.activate(start, hasReplica) {
		t.Fatal("first configuration not activated at once")
	}
	a.offer(tableWithShards(2, "a", "b"))
	if !a.activate(start, hasReplica) {
		t.Error("configuration waits for a group that is not new")
	}
	a.offer(tableWithShards(3, "c", "d"))
	if a.activate(start, hasReplica) {
		t.Error("configuration activated before its groups have replicas")
	}
	listed["c"], listed["d"] = true, true
	if !a.activate(start.Add(wait/4), hasReplica) || a.active.Version != 3 {
		t.Error("configuration not activated though its groups have replicas")
	}
}

// TestActivationDeadline tests that later configurations do not extend the wait, and that older
// ones are ignored.
func TestActivationDeadline(t *testing.T) {
	const wait = time.Second
	noReplica := func(string) bool { return false }
	a := activation{wait: wait}
	a.offer(tableWithShards(1, "a"))
	a.activate(start, noReplica)
	a.offer(tableWithShards(2, "b"))
	a.activate(start, noReplica)
	a.offer(tableWithShards(3, "c"))
	if a.activate(start.Add(wait-1), noReplica) || !a.nextDeadline().Equal(start.Add(wait)) {
		t.Errorf("activated too early, or deadline %v", a.nextDeadline())
	}
	a.offer(tableWithShards(2, "b"))
	if !a.activate(start.Add(wait), noReplica) || a.active.Version != 3 {
		t.Errorf("version %d active, want 3", a.active.Version)
	}
	if !a.nextDeadline().IsZero() {
		t.Error("deadline not cleared")
	}
}
