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

// lifeAt is the entry of a replica's life that began so many seconds after start.
func lifeAt(t *testing.T, revision int64, name string, born int, state topology.ReplicaState) store.KeyValue {
	t.Helper()
	replica := topology.Replica{Address: name + ":1", Group: "g", Place: topology.Place{Zone: "z1"}, State: state}
	if born > 0 {
		replica.StartedAt = start.Add(time.Duration(born) * time.Second)
	}
	return store.KeyValue{Key: "replicas/" + name, Value: encoded(t, replica), ModRevision: revision}
}

// TestALifeOfAReplicaKeepsItsOwn: a replica that starts again under its key serves though the one
// before has said that it leaves, and nothing of an earlier life counts any more.
func TestALifeOfAReplicaKeepsItsOwn(t *testing.T) {
	state, board := newTestState(t)
	for i, step := range []struct {
		what  string
		value store.KeyValue
		want  topology.ReplicaState
	}{
		{"the first life", lifeAt(t, 2, "a", 1, topology.ReplicaServing), topology.ReplicaServing},
		{"it leaves", lifeAt(t, 3, "a", 1, topology.ReplicaLeaving), topology.ReplicaLeaving},
		{"it is shown as serving", lifeAt(t, 4, "a", 1, topology.ReplicaServing), topology.ReplicaLeaving},
		{"the second life", lifeAt(t, 5, "a", 9, topology.ReplicaServing), topology.ReplicaServing},
		{"a late word of the first", lifeAt(t, 6, "a", 1, topology.ReplicaLeaving), topology.ReplicaServing},
		{"a word without a birth", lifeAt(t, 7, "a", 0, topology.ReplicaLeaving), topology.ReplicaServing},
		{"the first in a copy", inEra(1, lifeAt(t, 3, "a", 1, topology.ReplicaLeaving))[0], topology.ReplicaServing},
		{"the second leaves", inEra(1, lifeAt(t, 4, "a", 9, topology.ReplicaLeaving))[0], topology.ReplicaLeaving},
	} {
		state.apply(start, store.Event{KeyValue: step.value})
		state.publish(start)
		if diff := cmp.Diff(map[string]topology.ReplicaState{"a": step.want}, states(board)); diff != "" {
			t.Errorf("step %d, %s (-want +got):\n%s", i, step.what, diff)
		}
	}
}

// TestAnEarlierLifeDoesNotComeBackOutOfACopy: also when the later one has gone.
func TestAnEarlierLifeDoesNotComeBackOutOfACopy(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{lifeAt(t, 2, "a", 9, topology.ReplicaServing), lifeAt(t, 3, "b", 1, topology.ReplicaServing)})
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "replicas/a"}, Deleted: true})
	later := start.Add(5 * time.Second)
	state.publish(later)
	state.replaceByCopy(later, inEra(1, lifeAt(t, 1, "a", 1, topology.ReplicaServing), lifeAt(t, 3, "b", 1, topology.ReplicaServing)))
	state.publish(later)
	if diff := cmp.Diff(map[string]topology.ReplicaState{"b": topology.ReplicaServing}, states(board)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// TestAnUnusableEntryNamesNoReplica: neither the one that it replaces, nor, where replicas tell
// their births, one without. The others hold, and each key is logged once.
func TestAnUnusableEntryNamesNoReplica(t *testing.T) {
	state, board := newTestState(t)
	var logged bytes.Buffer
	state.options.Logger = slog.New(slog.NewTextHandler(&logged, nil))
	state.options.Now = func() time.Time { return start }
	state.replace(start, []store.KeyValue{
		lifeAt(t, 2, "a", 1, topology.ReplicaServing), lifeAt(t, 3, "b", 1, topology.ReplicaServing),
		lifeAt(t, 4, "c", 1, topology.ReplicaServing), lifeAt(t, 5, "d", 0, topology.ReplicaServing),
	})
	for revision := range int64(5) {
		unreadable := store.KeyValue{Key: "replicas/b", Value: []byte("\xff"), ModRevision: 6 + revision}
		state.apply(start, store.Event{KeyValue: unreadable})
	}
	state.publish(start)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaMissing, "c": topology.ReplicaServing}
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("at once (-want +got):\n%s", diff)
	}
	state.publish(start.Add(2 * time.Second))
	delete(want, "b")
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("later (-want +got):\n%s", diff)
	}
	if lines := strings.Count(logged.String(), "refused"); lines != 1 {
		t.Errorf("%d lines of one key:\n%s", lines, logged.String())
	}
	state.apply(start, store.Event{KeyValue: lifeAt(t, 20, "b", 1, topology.ReplicaServing)})
	state.publish(start.Add(2 * time.Second))
	want["b"] = topology.ReplicaServing
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("after its own next entry (-want +got):\n%s", diff)
	}
}

// TestLinesOfUnusableEntriesAreBounded: another writer may write any number of keys.
func TestLinesOfUnusableEntriesAreBounded(t *testing.T) {
	state, _ := newTestState(t)
	var logged bytes.Buffer
	state.options.Logger = slog.New(slog.NewTextHandler(&logged, nil))
	for i := range int64(4 * mostUnusable) {
		state.apply(start, store.Event{KeyValue: store.KeyValue{Key: fmt.Sprint("replicas/x", i), Value: []byte("null!"), ModRevision: i + 1}})
	}
	if lines := strings.Count(logged.String(), "\n"); lines > mostUnusable {
		t.Errorf("%d lines", lines)
	}
}

// TestANodesEntryNamesTheNodeOfItsKey: one that does not is another writer's.
func TestANodesEntryNamesTheNodeOfItsKey(t *testing.T) {
	state, _ := newTestState(t)
	for _, value := range []string{"null", "{}", `{"id":"other"}`, "7"} {
		state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "nodes/n", Value: []byte(value), ModRevision: 5}})
		if state.isRecorded("n") {
			t.Errorf("%s is a node", value)
		}
	}
}
