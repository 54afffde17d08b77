package follower

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// instanceAt returns the entry of a replica instance that started the given number of seconds after
// start.
func instanceAt(t *testing.T, revision int64, name string, startedAfter int, state topology.ReplicaState) store.KeyValue {
	t.Helper()
	replica := topology.Replica{Address: name + ":1", Group: "g", Place: topology.Place{Zone: "z1"}, State: state}
	if startedAfter > 0 {
		replica.StartedAt = start.Add(time.Duration(startedAfter) * time.Second)
	}
	return store.KeyValue{Key: "replicas/" + name, Value: mustEncode(t, replica), ModRevision: revision}
}

// TestReplicaInstancesAreIndependent tests that a restarted replica serves although its earlier
// instance was leaving, and that entries of the earlier instance are ignored.
func TestReplicaInstancesAreIndependent(t *testing.T) {
	state, board := newTestState(t)
	for i, step := range []struct {
		what  string
		value store.KeyValue
		want  topology.ReplicaState
	}{
		{"first instance", instanceAt(t, 2, "a", 1, topology.ReplicaServing), topology.ReplicaServing},
		{"first instance leaves", instanceAt(t, 3, "a", 1, topology.ReplicaLeaving), topology.ReplicaLeaving},
		{"late entry of the first instance as serving", instanceAt(t, 4, "a", 1, topology.ReplicaServing), topology.ReplicaLeaving},
		{"second instance", instanceAt(t, 5, "a", 9, topology.ReplicaServing), topology.ReplicaServing},
		{"late entry of the first instance as leaving", instanceAt(t, 6, "a", 1, topology.ReplicaLeaving), topology.ReplicaServing},
		{"entry without a start time", instanceAt(t, 7, "a", 0, topology.ReplicaLeaving), topology.ReplicaServing},
		{"first instance in a restored store", withEra(1, instanceAt(t, 3, "a", 1, topology.ReplicaLeaving))[0], topology.ReplicaServing},
		{"second instance leaves", withEra(1, instanceAt(t, 4, "a", 9, topology.ReplicaLeaving))[0], topology.ReplicaLeaving},
	} {
		state.apply(start, store.Event{KeyValue: step.value})
		state.publish(start)
		if diff := cmp.Diff(map[string]topology.ReplicaState{"a": step.want}, replicaStates(board)); diff != "" {
			t.Errorf("step %d, %s (-want +got):\n%s", i, step.what, diff)
		}
	}
}

// TestRestoreIgnoresEarlierInstance tests that a restored store does not bring back an earlier
// instance, even after the later one has gone.
func TestRestoreIgnoresEarlierInstance(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{instanceAt(t, 2, "a", 9, topology.ReplicaServing), instanceAt(t, 3, "b", 1, topology.ReplicaServing)})
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "replicas/a"}, Deleted: true})
	later := start.Add(5 * time.Second)
	state.publish(later)
	state.replaceAfterRestore(later, withEra(1, instanceAt(t, 1, "a", 1, topology.ReplicaServing), instanceAt(t, 3, "b", 1, topology.ReplicaServing)))
	state.publish(later)
	if diff := cmp.Diff(map[string]topology.ReplicaState{"b": topology.ReplicaServing}, replicaStates(board)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// TestInvalidReplicaEntry tests that an undecodable entry makes its replica vanish, that an entry
// without a start time is ignored where others have one, and that each key is logged once.
func TestInvalidReplicaEntry(t *testing.T) {
	state, board := newTestState(t)
	var logged bytes.Buffer
	state.options.Logger = slog.New(slog.NewTextHandler(&logged, nil))
	state.options.Now = func() time.Time { return start }
	state.replace(start, []store.KeyValue{
		instanceAt(t, 2, "a", 1, topology.ReplicaServing), instanceAt(t, 3, "b", 1, topology.ReplicaServing),
		instanceAt(t, 4, "c", 1, topology.ReplicaServing), instanceAt(t, 5, "d", 0, topology.ReplicaServing),
	})
	for revision := range int64(5) {
		unreadable := store.KeyValue{Key: "replicas/b", Value: []byte("\xff"), ModRevision: 6 + revision}
		state.apply(start, store.Event{KeyValue: unreadable})
	}
	state.publish(start)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaVanished, "c": topology.ReplicaServing}
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("right after the invalid entries (-want +got):\n%s", diff)
	}
	state.publish(start.Add(2 * time.Second))
	delete(want, "b")
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("after the retention period (-want +got):\n%s", diff)
	}
	if lines := strings.Count(logged.String(), "invalid replica entry rejected"); lines != 1 {
		t.Errorf("%d log lines for one key:\n%s", lines, logged.String())
	}
	state.apply(start, store.Event{KeyValue: instanceAt(t, 20, "b", 1, topology.ReplicaServing)})
	state.publish(start.Add(2 * time.Second))
	want["b"] = topology.ReplicaServing
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("after the next valid entry (-want +got):\n%s", diff)
	}
}

// TestInvalidEntryLoggingIsBounded tests that a writer of many invalid keys cannot flood the log.
func TestInvalidEntryLoggingIsBounded(t *testing.T) {
	state, _ := newTestState(t)
	var logged bytes.Buffer
	state.options.Logger = slog.New(slog.NewTextHandler(&logged, nil))
	for i := range int64(4 * maxLoggedUnusable) {
		state.apply(start, store.Event{KeyValue: store.KeyValue{Key: fmt.Sprint("replicas/x", i), Value: []byte("null!"), ModRevision: i + 1}})
	}
	if lines := strings.Count(logged.String(), "\n"); lines > maxLoggedUnusable {
		t.Errorf("%d log lines", lines)
	}
}

// TestNodeEntryMustMatchKey tests that an entry that does not name the node of its key is rejected.
func TestNodeEntryMustMatchKey(t *testing.T) {
	state, _ := newTestState(t)
	for _, value := range []string{"null", "{}", `{"id":"other"}`, "7"} {
		state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "nodes/n", Value: []byte(value), ModRevision: 5}})
		if state.isRegistered("n") {
			t.Errorf("entry %s accepted", value)
		}
	}
}
