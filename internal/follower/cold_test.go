package follower

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// The settings of the test service.
const (
	testColdTime = 3 * time.Second
	testColdRate = 8
)

func newColdState(t *testing.T, now *time.Time) (*state, *blackboard.Board) {
	t.Helper()
	state, board := newTestState(t)
	state.options.Now = func() time.Time { return *now }
	state.options.ColdRateLimit = decision.ColdRateLimit{Overage: 1.5, Slack: 5}
	state.put(tableAt(t, 1, 1))
	return state, board
}

func coldReplica(t *testing.T, revision int64, left time.Duration) store.KeyValue {
	t.Helper()
	state := topology.ReplicaServing
	if left > 0 {
		state = topology.ReplicaCold
	}
	replica := topology.Replica{Address: "a:1", Group: "g", Place: topology.Place{Zone: "z1"}, State: state, ColdRemaining: left}
	return store.KeyValue{Key: "replicas/a", Value: mustEncode(t, replica), ModRevision: revision}
}

// TestReplicaColdPeriod tests that the cold period follows the entries, and ends by itself when
// none arrives, as during a store outage.
func TestReplicaColdPeriod(t *testing.T) {
	now := start
	state, board := newColdState(t, &now)
	expect := func(when string, want topology.ReplicaState, rate int) {
		t.Helper()
		state.publish(now)
		got := board.Replicas.Load().Groups["g"][0]
		if got.State != want || got.ColdRate != rate {
			t.Errorf("%s: state %v, cold rate %d", when, got.State, got.ColdRate)
		}
	}
	state.put(coldReplica(t, 2, 2*time.Second))
	expect("initially", topology.ReplicaCold, testColdRate)
	now = now.Add(1500 * time.Millisecond)
	state.put(coldReplica(t, 3, time.Second))
	expect("after a renewal", topology.ReplicaCold, testColdRate)
	if got := state.nextDeadline(); got.IsZero() || got.After(now.Add(time.Second)) {
		t.Errorf("next deadline %v", got)
	}
	now = now.Add(time.Second)
	expect("after the cold period", topology.ReplicaServing, 0)
	state.put(coldReplica(t, 4, 5*time.Second))
	expect("after a restart", topology.ReplicaCold, testColdRate)
	state.put(coldReplica(t, 5, 0))
	expect("after a warm entry", topology.ReplicaServing, 0)
}

// TestVanishedReplicaStaysCold tests that a cold replica without an entry, which may still receive
// requests, keeps its rate limit.
func TestVanishedReplicaStaysCold(t *testing.T) {
	now := start
	state, board := newColdState(t, &now)
	cold := coldReplica(t, 2, 3*time.Second)
	state.put(cold)
	state.remove(now, cold.Key)
	state.publish(now)
	if got := board.Replicas.Load().Groups["g"][0]; got.State != topology.ReplicaVanished || got.ColdRate != testColdRate {
		t.Errorf("state %v, cold rate %d", got.State, got.ColdRate)
	}
}

// TestReplicasColdAfterEvacuation tests that replicas are cold after an evacuation even if their
// entries have not changed.
func TestReplicasColdAfterEvacuation(t *testing.T) {
	now := start
	state, board := newColdState(t, &now)
	state.put(coldReplica(t, 2, 0))
	state.put(evacuationOf(3, "z1"))
	state.publish(now)
	now = now.Add(time.Minute)
	state.remove(now, evacuationOf(0, "z1").Key)
	for _, step := range []struct {
		after time.Duration
		want  topology.ReplicaState
	}{{0, topology.ReplicaCold}, {testColdTime - time.Millisecond, topology.ReplicaCold}, {testColdTime, topology.ReplicaServing}} {
		state.publish(now.Add(step.after))
		if got := board.Replicas.Load().Groups["g"][0].State; got != step.want {
			t.Errorf("%v after the evacuation: state %v", step.after, got)
		}
	}
}

// TestDepartedNodesShareColdRate tests that a node without an entry keeps its part of the cold rate
// for a while, as it may be alive but isolated.
func TestDepartedNodesShareColdRate(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{nodeAt(t, 1, "n1"), nodeAt(t, 2, "n2")})
	state.publish(start)
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "nodes/n2"}, Deleted: true})
	state.publish(start.Add(time.Second))
	if got := board.Members.Load().ColdRateSharers; len(got) != 2 {
		t.Errorf("cold rate shared by %v, want two nodes", got)
	}
}
