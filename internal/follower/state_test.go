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
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	state, board := newTestState(t)
	for _, step := range []struct {
		value store.KeyValue
		want  uint64
	}{
		{tableAt(t, 10, 4), 4},
		{tableAt(t, 12, 7), 7},
		{tableAt(t, 11, 6), 7}, // out of order
		{store.KeyValue{Key: "table", Value: []byte("not a document"), ModRevision: 13}, 7},
		{tableAt(t, 14, 9), 9},
	} {
		state.put(step.value)
		state.publish(start)
		if got := board.Routes.Load().Version; got != step.want {
			t.Errorf("revision %d: version %d active, want %d", step.value.ModRevision, got, step.want)
		}
	}
}

func TestReplicaUpdates(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{
		tableAt(t, 1, 1), replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaServing),
	})
	state.publish(start)
	first := board.Replicas.Load().Groups["g"][0]
	if first.ConnectionLimit != 9 || first.Place.Region != "r1" {
		t.Errorf("wrong connection limit or region: %+v", first)
	}
	state.apply(start, store.Event{KeyValue: replicaAt(t, 5, "b", topology.ReplicaLeaving)})
	state.apply(start, store.Event{KeyValue: replicaAt(t, 4, "b", topology.ReplicaServing)}) // outdated
	state.publish(start)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaLeaving}
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// TestVanishedReplicaRetention tests that a replica whose entry is gone remains as a last resort
// for a while, unless it was leaving.
func TestVanishedReplicaRetention(t *testing.T) {
	state, board := newTestState(t)
	serving, leaving := replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaLeaving)
	state.replace(start, []store.KeyValue{serving, leaving})
	state.publish(start)
	state.replace(start, nil)
	state.publish(start.Add(900 * time.Millisecond))
	want := map[string]topology.ReplicaState{"a": topology.ReplicaVanished, "b": topology.ReplicaLeaving}
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("within the retention period (-want +got):\n%s", diff)
	}
	serving.ModRevision = 9
	state.apply(start, store.Event{KeyValue: serving})
	state.publish(start.Add(1100 * time.Millisecond))
	want = map[string]topology.ReplicaState{"a": topology.ReplicaServing}
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("after a is registered again and b has expired (-want +got):\n%s", diff)
	}
}

func TestUnchangedEntryNotPublished(t *testing.T) {
	state, board := newTestState(t)
	state.put(replicaAt(t, 2, "a", topology.ReplicaServing))
	state.publish(start)
	before := board.Replicas.Load()
	state.put(replicaAt(t, 3, "a", topology.ReplicaServing))
	state.publish(start)
	if board.Replicas.Load() != before {
		t.Error("unchanged entry published again")
	}
}

// TestDepartedNodesCountInShared tests that a node whose entry has expired still counts in dividing
// shared limits for a while, as it may be alive.
func TestDepartedNodesCountInShared(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{nodeAt(t, 1, "n1"), nodeAt(t, 2, "n2")})
	state.publish(start)
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "nodes/n2"}, Deleted: true})
	state.publish(start.Add(time.Second))
	nodes := board.Nodes.Load()
	if len(nodes.Nodes) != 1 || nodes.BudgetShares != 2 {
		t.Errorf("%d nodes, shared %d", len(nodes.Nodes), nodes.BudgetShares)
	}
	state.publish(start.Add(2 * formerEntryRetention))
	if got := board.Nodes.Load().BudgetShares; got != 1 {
		t.Errorf("shared %d after the retention period", got)
	}
}

func TestStaleness(t *testing.T) {
	fresh := func() *staleness {
		return &staleness{checkInterval: time.Second, rankDelay: 100 * time.Millisecond, grace: 200 * time.Millisecond}
	}
	t.Run("checks are staggered by rank", func(t *testing.T) {
		s := fresh()
		s.confirm(start, start, 5)
		if got := s.nextCheck(3).Sub(start); got != 1300*time.Millisecond {
			t.Errorf("fourth node checks after %v", got)
		}
	})
	t.Run("peer confirmation delays the check", func(t *testing.T) {
		s := fresh()
		s.confirm(start, start, 5)
		s.confirm(start.Add(time.Second), start.Add(900*time.Millisecond), 5)
		if got := s.nextCheck(0).Sub(start); got != 1900*time.Millisecond {
			t.Errorf("checks after %v", got)
		}
	})
	t.Run("old confirmation is ignored", func(t *testing.T) {
		s := fresh()
		s.confirm(start, start, 5)
		if s.confirm(start, start.Add(-time.Minute), 4) {
			t.Error("old confirmation forwarded")
		}
		if !s.confirmedAt.Equal(start) || s.confirmed != 5 {
			t.Errorf("confirmed %d at %v", s.confirmed, s.confirmedAt)
		}
	})
	t.Run("lagging watch is given up after the grace period", func(t *testing.T) {
		s := fresh()
		s.markApplied(5)
		s.confirm(start, start, 5)
		if !s.watchDeadline().IsZero() {
			t.Error("given up with nothing missing")
		}
		s.confirm(start, start, 6)
		s.confirm(start.Add(100*time.Millisecond), start, 7)
		if got := s.watchDeadline().Sub(start); got != 200*time.Millisecond {
			t.Errorf("given up after %v", got)
		}
		s.markApplied(7)
		if !s.watchDeadline().IsZero() {
			t.Error("given up with all revisions applied")
		}
	})
	t.Run("timely watch survives continuous changes", func(t *testing.T) {
		s := fresh()
		for i := range 10 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			s.confirm(now, now, int64(i+1))
			if giveUp := s.watchDeadline(); !giveUp.IsZero() && !now.Before(giveUp) {
				t.Fatalf("given up after %v", now.Sub(start))
			}
			s.markApplied(int64(i)) // always one behind
		}
	})
	t.Run("revisions beyond the bound count from the last one kept", func(t *testing.T) {
		s := fresh()
		for i := range 2 * maxMissing {
			s.confirm(start.Add(time.Duration(i)*time.Millisecond), start, int64(i+1))
		}
		s.markApplied(2*maxMissing - 1)
		if got := s.watchDeadline().Sub(start); got != (maxMissing-1)*time.Millisecond+200*time.Millisecond {
			t.Errorf("given up after %v", got)
		}
	})
}

// TestEntryNodesAreMembers tests that connections are divided among the entry nodes, and that a
// former one still counts in Shared for a while.
func TestEntryNodesAreMembers(t *testing.T) {
	state, board := newTestState(t)
	state.replace(start, []store.KeyValue{nodeAt(t, 1, "n2"), nodeAt(t, 2, "n3"), nodeAt(t, 3, "n4")})
	state.publish(start)
	if got := entryIDs(board); !slices.Equal(got, []string{"n2", "n3"}) {
		t.Errorf("entry nodes %v", got)
	}
	state.apply(start, store.Event{KeyValue: nodeAt(t, 4, "n1")}) // displaces n3
	state.publish(start.Add(time.Second))
	if got, shared := entryIDs(board), board.Nodes.Load().BudgetShares; !slices.Equal(got, []string{"n1", "n2"}) || shared != 3 {
		t.Errorf("entry nodes %v, shared %d", got, shared)
	}
	if got := len(board.Members.Load().Members); got != 2 {
		t.Errorf("%d members", got)
	}
}

func entryIDs(board *blackboard.Board) []string {
	var ids []string
	for _, node := range board.Nodes.Load().EntryNodes {
		ids = append(ids, node.ID)
	}
	return ids
}

// TestReplicaLogAggregation tests that many replicas that change state at once, as in a reshard,
// are logged as one line.
func TestReplicaLogAggregation(t *testing.T) {
	for replicas, want := range map[int]int{maxReplicaLogLines: maxReplicaLogLines, maxReplicaLogLines + 1: 1} {
		var log bytes.Buffer
		state, _ := newTestState(t)
		state.options.Logger = slog.New(slog.NewTextHandler(&log, nil))
		for i := range replicas {
			state.put(replicaAt(t, int64(i+1), fmt.Sprint("r", i), topology.ReplicaLeaving))
		}
		state.publish(start)
		if lines := strings.Count(log.String(), "replica leaving"); lines != want {
			t.Errorf("%d replicas logged in %d lines:\n%s", replicas, lines, log.String())
		}
	}
}

// Guards against changes of tenants and conflicts among them that are not logged, that are logged
// with each publication, or whose lines contain a key.
func TestTenantsAreLoggedOncePerVersion(t *testing.T) {
	state, _ := newTestState(t)
	var output bytes.Buffer
	state.options.Logger = slog.New(slog.NewTextHandler(&output, nil))
	steps := []struct {
		value                string
		changed, conflicting string
	}{
		{`{"Version":1}`, "", ""},
		{`{"Version":2,"Tenants":{"a":"k-one","b":"k-two"}}`, "version=2 tenants=2 keys=2 added=2 removed=0 keys_added=2 keys_revoked=0 keys_moved=0", ""},
		{`{"Version":3,"Tenants":{"a":"k-one","b":"k-two"}}`, "", ""},
		{`{"Version":4,"Tenants":{"a":"k-two","b":"k-two"}}`, "version=4 tenants=2 keys=1 added=0 removed=0 keys_added=0 keys_revoked=1 keys_moved=1", "version=4 conflicts=1 first=[" + routing.KeyLabel("k-two") + "]"},
		{`{"Version":5,"Tenants":{"a":"k-two","b":"k-two"}}`, "", "version=5 conflicts=1"},
		{`{"Version":6}`, "version=6 tenants=0 keys=0 added=0 removed=2 keys_added=0 keys_revoked=1 keys_moved=0", ""},
	}
	for revision, step := range steps {
		output.Reset()
		state.put(store.KeyValue{Key: "table", Value: []byte(step.value), ModRevision: int64(revision + 1)})
		for range 3 {
			state.publish(start)
		}
		lines := output.String()
		for message, want := range map[string]string{"tenants changed": step.changed, "conflicting tenants": step.conflicting} {
			count := 0
			if want != "" {
				count = 1
			}
			if strings.Count(lines, message) != count || !strings.Contains(lines, want) {
				t.Errorf("%s: %d lines with %q, want %q, in\n%s", step.value, strings.Count(lines, message), message, want, lines)
			}
		}
		if strings.Contains(lines, "k-") {
			t.Errorf("a line contains a key:\n%s", lines)
		}
	}
}
