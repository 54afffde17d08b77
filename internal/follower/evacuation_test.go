package follower

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// evacuationOf is the store's entry of an evacuated zone.
func evacuationOf(revision int64, zone string) store.KeyValue {
	return store.KeyValue{Key: testKeys.Evacuations + zone, Value: []byte("{}"), ModRevision: revision}
}

// TestAnEvacuatedZoneTakesNoWork: however the news of it comes, and until it is
// withdrawn; replicas that record themselves meanwhile are no exception, and one that
// leaves stays one that leaves.
func TestAnEvacuatedZoneTakesNoWork(t *testing.T) {
	state, board := newTestState(t)
	serving, leaving := replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaLeaving)
	later := replicaAt(t, 6, "c", topology.ReplicaCold)
	state.replace(start, []store.KeyValue{serving, leaving})
	state.publish(start)
	steps := []struct {
		name   string
		change func()
		want   map[string]topology.ReplicaState
	}{
		{"an event", func() { state.apply(start, store.Event{KeyValue: evacuationOf(5, "z1")}) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving}},
		{"a replica that comes meanwhile", func() { state.put(later) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving, "c": topology.ReplicaEvacuated}},
		{"one whose entry goes meanwhile", func() { state.remove(start, later.Key) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving, "c": topology.ReplicaEvacuated}},
		{"another zone's is withdrawn", func() { state.remove(start, evacuationOf(0, "z2").Key) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving, "c": topology.ReplicaEvacuated}},
		{"a reading that lacks it", func() { state.replace(start, []store.KeyValue{serving, leaving, later}) },
			map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaLeaving, "c": topology.ReplicaCold}},
		{"a reading that has it", func() {
			state.replace(start, []store.KeyValue{serving, leaving, evacuationOf(9, "z1"), evacuationOf(9, "z2")})
		}, map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving, "c": topology.ReplicaEvacuated}},
	}
	for _, step := range steps {
		step.change()
		state.publish(start)
		if diff := cmp.Diff(step.want, replicaStates(board)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
	if state.hasReplica("g") {
		t.Error("a configuration is put in force for replicas that are evacuated")
	}
}
