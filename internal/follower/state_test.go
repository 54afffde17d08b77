package follower

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

func TestTheConfigurationNeverGoesBack(t *testing.T) {
	state, board := newTestState(t)
	for _, step := range []struct {
		value store.KeyValue
		want  uint64
	}{
		{tableAt(t, 10, 4), 4},
		{tableAt(t, 12, 7), 7},
		{tableAt(t, 11, 6), 7}, // a late reading
		{store.KeyValue{Key: "table", Value: []byte("not a document"), ModRevision: 13}, 7},
		{tableAt(t, 14, 9), 9},
	} {
		state.put(step.value)
		state.publish(start)
		if got := board.Routes.Load().Version; got != step.want {
			t.Errorf("revision %d: version %d in force, want %d", step.value.ModRevision, got, step.want)
		}
	}
}

func TestReplicasAreFollowed(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{
		tableAt(t, 1, 1), replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaServing),
	})
	state.publish(start)
	first := board.Replicas.Load().Groups["g"][0]
	if first.ConnectionLimit != 9 || first.Place.Region != "r1" {
		t.Errorf("the replica lacks its service's limit or its region: %+v", first)
	}
	state.apply(start, store.Event{KeyValue: replicaAt(t, 5, "b", topology.ReplicaLeaving)})
	state.apply(start, store.Event{KeyValue: replicaAt(t, 4, "b", topology.ReplicaServing)}) // older
	state.publish(start)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaLeaving}
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// TestAVanishedReplicaStaysForAWhile: entries vanish also while the store is
// down; one that said that it leaves is not asked any more.
func TestAVanishedReplicaStaysForAWhile(t *testing.T) {
	state, board := newTestState(t)
	serving, leaving := replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaLeaving)
	state.replace(start, []store.KeyValue{serving, leaving})
	state.publish(start)
	state.replace(start, nil)
	state.publish(start.Add(900 * time.Millisecond))
	want := map[string]topology.ReplicaState{"a": topology.ReplicaMissing, "b": topology.ReplicaLeaving}
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("at first (-want +got):\n%s", diff)
	}
	serving.ModRevision = 9
	state.apply(start, store.Event{KeyValue: serving})
	state.publish(start.Add(1100 * time.Millisecond))
	want = map[string]topology.ReplicaState{"a": topology.ReplicaServing}
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("after a is back and b is forgotten (-want +got):\n%s", diff)
	}
}

func TestBeatsDoNotPublish(t *testing.T) {
	state, board := newTestState(t)
	state.put(replicaAt(t, 2, "a", topology.ReplicaServing))
	state.publish(start)
	before := board.Replicas.Load()
	state.put(replicaAt(t, 3, "a", topology.ReplicaServing))
	state.publish(start)
	if board.Replicas.Load() != before {
		t.Error("an entry that has not changed was published anew")
	}
}

// TestNodesThatAreGoneCountForShares: a node whose entry has lapsed may live on
// and spend its part of what nodes share.
func TestNodesThatAreGoneCountForShares(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{nodeAt(t, 1, "n1"), nodeAt(t, 2, "n2")})
	state.publish(start)
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "nodes/n2"}, Deleted: true})
	state.publish(start.Add(time.Second))
	nodes := board.Nodes.Load()
	if len(nodes.Nodes) != 1 || nodes.BudgetShares != 2 {
		t.Errorf("%d nodes, shared by %d", len(nodes.Nodes), nodes.BudgetShares)
	}
	state.publish(start.Add(2 * sharedMemory))
	if got := board.Nodes.Load().BudgetShares; got != 1 {
		t.Errorf("shared by %d for ever", got)
	}
}

func TestStaleness(t *testing.T) {
	fresh := func() *staleness {
		return &staleness{checkAfter: time.Second, slot: 100 * time.Millisecond, grace: 200 * time.Millisecond}
	}
	t.Run("each node waits for its turn", func(t *testing.T) {
		checked := fresh()
		checked.confirm(start, start, 5)
		if got := checked.checkAt(3).Sub(start); got != 1300*time.Millisecond {
			t.Errorf("the fourth node asks after %v", got)
		}
	})
	t.Run("a confirmation by another node counts", func(t *testing.T) {
		checked := fresh()
		checked.confirm(start, start, 5)
		checked.confirm(start.Add(time.Second), start.Add(900*time.Millisecond), 5)
		if got := checked.checkAt(0).Sub(start); got != 1900*time.Millisecond {
			t.Errorf("asks after %v", got)
		}
	})
	t.Run("an old confirmation changes nothing", func(t *testing.T) {
		checked := fresh()
		checked.confirm(start, start, 5)
		if checked.confirm(start, start.Add(-time.Minute), 4) {
			t.Error("it is passed on")
		}
		if !checked.confirmedAt.Equal(start) || checked.confirmed != 5 {
			t.Errorf("confirmed %d at %v", checked.confirmed, checked.confirmedAt)
		}
	})
	t.Run("a watch that misses news is given up after the grace", func(t *testing.T) {
		checked := fresh()
		checked.learn(5)
		checked.confirm(start, start, 5)
		if !checked.giveUpAt().IsZero() {
			t.Error("given up though nothing is missing")
		}
		checked.confirm(start, start, 6)
		checked.confirm(start.Add(100*time.Millisecond), start, 7)
		if got := checked.giveUpAt().Sub(start); got != 200*time.Millisecond {
			t.Errorf("given up after %v", got)
		}
		checked.learn(7)
		if !checked.giveUpAt().IsZero() {
			t.Error("given up though all is known")
		}
	})
	t.Run("a watch that tells each change in time is not given up while more come", func(t *testing.T) {
		checked := fresh()
		for i := range 10 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			checked.confirm(now, now, int64(i+1))
			if giveUp := checked.giveUpAt(); !giveUp.IsZero() && !now.Before(giveUp) {
				t.Fatalf("given up after %v", now.Sub(start))
			}
			checked.learn(int64(i)) // always one behind
		}
	})
	t.Run("what is heard of beyond the bound counts from the last that is kept", func(t *testing.T) {
		checked := fresh()
		for i := range 2 * mostMissing {
			checked.confirm(start.Add(time.Duration(i)*time.Millisecond), start, int64(i+1))
		}
		checked.learn(2*mostMissing - 1)
		if got := checked.giveUpAt().Sub(start); got != (mostMissing-1)*time.Millisecond+200*time.Millisecond {
			t.Errorf("given up after %v", got)
		}
	})
}

// TestEntryNodesAreTheMembers: the connections to the replicas are divided among
// the nodes to which callers are led, and one that was such a node has its part
// of what they share for a while.
func TestEntryNodesAreTheMembers(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{nodeAt(t, 1, "n2"), nodeAt(t, 2, "n3"), nodeAt(t, 3, "n4")})
	state.publish(start)
	if got := entryIDs(board); !slices.Equal(got, []string{"n2", "n3"}) {
		t.Errorf("entry nodes %v", got)
	}
	state.apply(start, store.Event{KeyValue: nodeAt(t, 4, "n1")}) // goes before n3
	state.publish(start.Add(time.Second))
	if got, shared := entryIDs(board), board.Nodes.Load().BudgetShares; !slices.Equal(got, []string{"n1", "n2"}) || shared != 3 {
		t.Errorf("entry nodes %v, shared by %d", got, shared)
	}
	if got := len(board.Members.Load().Members); got != 2 {
		t.Errorf("%d members", got)
	}
}

func entryIDs(board *blackboard.Board) []string {
	var found []string
	for _, node := range board.Nodes.Load().EntryNodes {
		found = append(found, node.ID)
	}
	return found
}

// TestManyReplicasAreLoggedInOneLine: a reshard takes hundreds away, on each node.
func TestManyReplicasAreLoggedInOneLine(t *testing.T) {
	for replicas, want := range map[int]int{mostReplicaLines: mostReplicaLines, mostReplicaLines + 1: 1} {
		var log bytes.Buffer
		known, _ := newTestState(t)
		known.options.Logger = slog.New(slog.NewTextHandler(&log, nil))
		for i := range replicas {
			known.put(replicaAt(t, int64(i+1), fmt.Sprint("r", i), topology.ReplicaLeaving))
		}
		known.publish(start)
		if lines := strings.Count(log.String(), "replica leaving"); lines != want {
			t.Errorf("%d replicas in %d lines:\n%s", replicas, lines, log.String())
		}
	}
}
