package follower

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// testColdTime and testColdRate are those of the tests' service.
const (
	testColdTime = 3 * time.Second
	testColdRate = 8
)

func newColdState(t *testing.T, now *time.Time) (*state, *blackboard.Board) {
	t.Helper()
	state, board := newTestState(t)
	state.options.Now = func() time.Time { return *now }
	state.options.ColdBound = decision.ColdRateLimit{Overage: 1.5, Slack: 5}
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
	return store.KeyValue{Key: "replicas/a", Value: encoded(t, replica), ModRevision: revision}
}

// TestAReplicaIsColdForItsTime: as its entries say, and no longer when none comes, as
// while the store is away.
func TestAReplicaIsColdForItsTime(t *testing.T) {
	now := start
	state, board := newColdState(t, &now)
	expect := func(when string, want topology.ReplicaState, rate int) {
		t.Helper()
		state.publish(now)
		got := board.Replicas.Load().Groups["g"][0]
		if got.State != want || got.ColdRate != rate {
			t.Errorf("%s: state %v, %d a second", when, got.State, got.ColdRate)
		}
	}
	state.put(coldReplica(t, 2, 2*time.Second))
	expect("at first", topology.ReplicaCold, testColdRate)
	now = now.Add(1500 * time.Millisecond)
	state.put(coldReplica(t, 3, time.Second))
	expect("as it says again", topology.ReplicaCold, testColdRate)
	if got := state.dueAt(); got.IsZero() || got.After(now.Add(time.Second)) {
		t.Errorf("due at %v", got)
	}
	now = now.Add(time.Second)
	expect("when its time is over", topology.ReplicaServing, 0)
	state.put(coldReplica(t, 4, 5*time.Second))
	expect("cold again", topology.ReplicaCold, testColdRate)
	state.put(coldReplica(t, 5, 0))
	expect("as it says", topology.ReplicaServing, 0)
}

// TestAColdReplicaWhoseEntryIsGoneIsStillCold: it may be asked for a while, as the store
// may be at fault, and bears no more than before.
func TestAColdReplicaWhoseEntryIsGoneIsStillCold(t *testing.T) {
	now := start
	state, board := newColdState(t, &now)
	cold := coldReplica(t, 2, 3*time.Second)
	state.put(cold)
	state.remove(now, cold.Key)
	state.publish(now)
	if got := board.Replicas.Load().Groups["g"][0]; got.State != topology.ReplicaMissing || got.ColdRate != testColdRate {
		t.Errorf("state %v, %d a second", got.State, got.ColdRate)
	}
}

// TestAReadmittedZoneIsCold: its entries may say that nothing has changed.
func TestAReadmittedZoneIsCold(t *testing.T) {
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
			t.Errorf("%v after its evacuation: state %v", step.after, got)
		}
	}
}

// TestNodesThatAreGoneStillShareAColdReplica: they may live on, cut off, and use theirs.
func TestNodesThatAreGoneStillShareAColdReplica(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{nodeAt(t, 1, "n1"), nodeAt(t, 2, "n2")})
	state.publish(start)
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "nodes/n2"}, Deleted: true})
	state.publish(start.Add(time.Second))
	if got := board.Members.Load().ColdRateSharers; len(got) != 2 {
		t.Errorf("shared by %v", got)
	}
}
