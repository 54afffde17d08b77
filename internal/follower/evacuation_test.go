package follower

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// evacuationOf returns the entry of an evacuated zone.
func evacuationOf(revision int64, zone string) store.KeyValue {
	return store.KeyValue{Key: testKeys.Evacuations + zone, Value: []byte("{}"), ModRevision: revision}
}

// TestEvacuatedZone tests the states of a zone's replicas during an evacuation, including replicas
// that register meanwhile, and after it. A leaving replica stays so.
func TestEvacuatedZone(t *testing.T) {
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
		{"evacuation event", func() { state.apply(start, store.Event{KeyValue: evacuationOf(5, "z1")}) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving}},
		{"replica registered meanwhile", func() { state.put(later) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving, "c": topology.ReplicaEvacuated}},
		{"replica entry removed meanwhile", func() { state.remove(start, later.Key) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving, "c": topology.ReplicaEvacuated}},
		{"end of another zone's evacuation", func() { state.remove(start, evacuationOf(0, "z2").Key) },
			map[string]topology.ReplicaState{"a": topology.ReplicaEvacuated, "b": topology.ReplicaLeaving, "c": topology.ReplicaEvacuated}},
		{"listing without the evacuation", func() { state.replace(start, []store.KeyValue{serving, leaving, later}) },
			map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaLeaving, "c": topology.ReplicaCold}},
		{"listing with the evacuation", func() {
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
		t.Error("evacuated replicas count as taking requests")
	}
}
