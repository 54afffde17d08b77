package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// withEra sets the era of the entries' revisions.
func withEra(era int64, values ...store.KeyValue) []store.KeyValue {
	for i := range values {
		values[i].ModRevision = store.MakeRevision(era, values[i].ModRevision)
	}
	return values
}

// TestRestoreRetainsMissingEntries tests that entries missing from a restored store are retained
// for the grace period of their writers, counted from the last restore, and are then removed.
func TestRestoreRetainsMissingEntries(t *testing.T) {
	state, board := newTestState(t)
	state.options.Now = func() time.Time { return start }
	state.replace(start, []store.KeyValue{
		tableAt(t, 1, 1), replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaServing),
		nodeAt(t, 4, "n"), evacuationOf(5, "z9"),
	})
	state.publish(start)
	state.replaceAfterRestore(start, withEra(1, replicaAt(t, 2, "a", topology.ReplicaServing)))
	state.replaceAfterRestore(start.Add(time.Second), withEra(2, replicaAt(t, 2, "a", topology.ReplicaServing)))
	before := start.Add(time.Second + rewriteGrace - time.Millisecond)
	state.publish(before)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaServing}
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" || !state.evacuated["z9"] || board.Routes.Load().Version != 1 {
		t.Errorf("within the grace period, evacuated %v (-want +got):\n%s", state.evacuated, diff)
	}
	if due := state.nextDeadline(); !due.Equal(start.Add(time.Second + rewriteGrace)) {
		t.Errorf("next deadline %v after the first restore", due.Sub(start))
	}
	state.publish(start.Add(time.Second + rewriteGrace))
	want["b"] = topology.ReplicaVanished
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" || state.evacuated["z9"] {
		t.Errorf("after the grace period, evacuated %v (-want +got):\n%s", state.evacuated, diff)
	}
	if !state.isRegistered("n") {
		t.Error("missing node removed at the end of the replicas' grace period")
	}
	state.publish(start.Add(time.Second + nodeRewriteGrace))
	if state.isRegistered("n") {
		t.Error("missing node still registered after its grace period")
	}
	if board.Routes.Load().Version != 1 {
		t.Error("configuration reverted")
	}
}

// TestRestoreDoesNotRevertState tests that a restored store reverts neither a replica's leaving nor
// its removal nor the configuration.
func TestRestoreDoesNotRevertState(t *testing.T) {
	state, board := newTestState(t)
	now := start
	state.options.Now = func() time.Time { return now }
	restored := func() []store.KeyValue {
		return []store.KeyValue{
			tableAt(t, 1, 1), replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaServing),
			replicaAt(t, 4, "c", topology.ReplicaServing),
		}
	}
	state.replace(start, restored())
	state.apply(start, store.Event{KeyValue: tableAt(t, 5, 3)})
	state.apply(start, store.Event{KeyValue: replicaAt(t, 6, "a", topology.ReplicaLeaving)})
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "replicas/b"}, Deleted: true})
	now = start.Add(10 * time.Second)
	state.publish(now)
	state.replaceAfterRestore(now, withEra(1, restored()...))
	state.publish(now)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaLeaving, "c": topology.ReplicaServing}
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" || board.Routes.Load().Version != 3 {
		t.Errorf("version %d (-want +got):\n%s", board.Routes.Load().Version, diff)
	}
	again := withEra(1, replicaAt(t, 7, "b", topology.ReplicaServing)) // it is alive and has written
	state.apply(now, store.Event{KeyValue: again[0]})
	state.publish(now)
	want["b"] = topology.ReplicaServing
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("after a new write of b (-want +got):\n%s", diff)
	}
}

// TestRestorePublishesOnlyChanges tests that only changed entries are published to the feed: a full
// set for all nodes of a zone would saturate a small node's link.
func TestRestorePublishesOnlyChanges(t *testing.T) {
	state, _ := newTestState(t)
	state.replace(start, []store.KeyValue{tableAt(t, 1, 1), nodeAt(t, 2, "n")})
	state.pendingEvents = nil
	state.replaceAfterRestore(start, withEra(1, tableAt(t, 1, 1), nodeAt(t, 2, "n"), replicaAt(t, 3, "a", topology.ReplicaServing)))
	if len(state.pendingEvents) != 1 || state.pendingEvents[0].KeyValue.Key != "replicas/a" {
		t.Errorf("%d events published", len(state.pendingEvents))
	}
}

// TestStalenessIgnoresOldEra tests that revisions of an earlier era confirm nothing, since nodes
// learn of a new era seconds apart.
func TestStalenessIgnoresOldEra(t *testing.T) {
	s := staleness{grace: time.Second}
	s.markApplied(store.MakeRevision(1, 5))
	s.confirm(start, start, store.MakeRevision(1, 5))
	if s.confirm(start.Add(time.Second), start.Add(time.Second), store.MakeRevision(0, 99)) || !s.confirmedAt.Equal(start) {
		t.Errorf("confirmed at %v by an earlier era", s.confirmedAt.Sub(start))
	}
	if !s.watchDeadline().IsZero() {
		t.Error("revision of an earlier era counted as missing")
	}
	s.confirm(start, start, store.MakeRevision(1, 6))
	if got := s.watchDeadline(); !got.Equal(start.Add(time.Second)) {
		t.Errorf("given up %v after the announcement of a change", got.Sub(start))
	}
	s.confirm(start, start, store.MakeRevision(2, 1))
	if got := s.watchDeadline(); !got.Equal(start) {
		t.Errorf("given up %v after the announcement of a later era", got.Sub(start))
	}
}

// TestNewEraResyncsImmediately tests that a later era leads to a listing at once, as the store's
// watch cannot deliver it.
func TestNewEraResyncsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{}
		fake.put(tableAt(t, 50, 1))
		board, announcer := startFollower(t, fake, time.Minute)
		eventually(t, "the first configuration is active", tableActive(board, 1))
		fake.setFaults(true, false)
		fake.put(withEra(1, tableAt(t, 3, 2))[0])
		announced := time.Now()
		announcer.received <- announce.Announcement{Revision: store.MakeRevision(1, 3)}
		eventually(t, "the configuration of the later era is active", tableActive(board, 2))
		if took := time.Since(announced); took > time.Second {
			t.Errorf("active after %v", took)
		}
		if lists, _ := fake.counts(); lists != 2 {
			t.Errorf("%d listings", lists)
		}
	})
}

// TestRepeatedWatchRejectionBacksOff tests that repeated rejections of the watch do not lead to a
// full listing each without backoff.
func TestRepeatedWatchRejectionBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{compactedWatches: 1 << 30}
		fake.put(tableAt(t, 5, 1))
		board, _ := startFollower(t, fake, time.Minute)
		eventually(t, "the configuration is active", tableActive(board, 1))
		time.Sleep(10 * time.Second)
		if lists, _ := fake.counts(); lists > 15 {
			t.Errorf("%d listings in 10 s", lists)
		}
	})
}

// TestRelayedNewEraUpdatesSnapshot tests that a node that watches a relay updates its snapshot on
// entering an era. Otherwise it would keep its lease and serve the state of the old era until the
// next confirmation.
func TestRelayedNewEraUpdatesSnapshot(t *testing.T) {
	fake := &fakeStore{}
	fake.put(tableAt(t, 50, 1))
	f := New(Options{
		Store: fake, Announcer: &fakeAnnouncer{received: make(chan announce.Announcement)}, Decoder: testDecoder{}, Keys: testKeys,
		Board: &blackboard.Board{}, Self: topology.Node{ID: "self"}, MaxStaleness: time.Minute, VanishedRetention: time.Second,
	})
	if err := f.resync(t.Context()); err != nil {
		t.Fatal(err)
	}
	table := withEra(1, tableAt(t, 3, 2))[0]
	f.confirm(start, start, store.MakeRevision(1, 9)) // announced before it is delivered
	f.handleBatch(store.WatchBatch{Revision: table.ModRevision, Events: []store.Event{{KeyValue: table}}, Relayed: true})
	if revision, _ := f.AppliedRevision(); revision != table.ModRevision {
		t.Errorf("applied revision %d of era %d", store.SequenceOf(revision), store.EraOf(revision))
	}
}

// TestRestoreKeepsDepartedReplicaLeaving tests that a replica that announced leaving before its
// removal is not served again when a restored store brings back its entry.
func TestRestoreKeepsDepartedReplicaLeaving(t *testing.T) {
	state, board := newTestState(t)
	restored := replicaAt(t, 2, "a", topology.ReplicaServing)
	state.replace(start, []store.KeyValue{restored, replicaAt(t, 3, "b", topology.ReplicaServing)})
	state.apply(start, store.Event{KeyValue: replicaAt(t, 6, "a", topology.ReplicaLeaving)})
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "replicas/a"}, Deleted: true})
	later := start.Add(5 * time.Second)
	state.publish(later)
	state.replaceAfterRestore(later, withEra(1, restored, replicaAt(t, 3, "b", topology.ReplicaServing)))
	state.publish(later)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaLeaving, "b": topology.ReplicaServing}
	if diff := cmp.Diff(want, replicaStates(board)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// TestWatchRejectionResyncsImmediately tests that a first rejected watch leads to a listing at
// once, as the initial one may be older than the compacted revision.
func TestWatchRejectionResyncsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{compactedWatches: 1}
		fake.put(tableAt(t, 5, 1))
		began := time.Now()
		board, _ := startFollower(t, fake, time.Minute)
		eventually(t, "the configuration is active", tableActive(board, 1))
		eventually(t, "it is listed again", func() bool { lists, _ := fake.counts(); return lists == 2 })
		if took := time.Since(began); took > minBackoff/2 {
			t.Errorf("listed again after %v", took)
		}
	})
}
