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

// inEra moves entries to an era of the store.
func inEra(era int64, values ...store.KeyValue) []store.KeyValue {
	for i := range values {
		values[i].ModRevision = store.RevisionIn(era, values[i].ModRevision)
	}
	return values
}

// TestWhatACopyLacksStaysForAWhile: its writers have the time to write it again; what they do not
// write again is gone then. A second copy within that time gives it to them once more.
func TestWhatACopyLacksStaysForAWhile(t *testing.T) {
	state, board := newTestState(t)
	state.options.Now = func() time.Time { return start }
	state.replace(start, []store.KeyValue{
		tableAt(t, 1, 1), replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaServing),
		nodeAt(t, 4, "n"), evacuationOf(5, "z9"),
	})
	state.publish(start)
	state.replaceByCopy(start, inEra(1, replicaAt(t, 2, "a", topology.ReplicaServing)))
	state.replaceByCopy(start.Add(time.Second), inEra(2, replicaAt(t, 2, "a", topology.ReplicaServing)))
	kept := start.Add(time.Second + rewriteTime - time.Millisecond)
	state.publish(kept)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaServing, "b": topology.ReplicaServing}
	if diff := cmp.Diff(want, states(board)); diff != "" || !state.evacuated["z9"] || board.Routes.Load().Version != 1 {
		t.Errorf("before the writers' time is over, evacuated %v (-want +got):\n%s", state.evacuated, diff)
	}
	if due := state.dueAt(); !due.Equal(start.Add(time.Second + rewriteTime)) {
		t.Errorf("due %v after the first copy", due.Sub(start))
	}
	state.publish(start.Add(time.Second + rewriteTime))
	want["b"] = topology.ReplicaMissing
	if diff := cmp.Diff(want, states(board)); diff != "" || state.evacuated["z9"] {
		t.Errorf("after it, evacuated %v (-want +got):\n%s", state.evacuated, diff)
	}
	if !state.isRecorded("n") {
		t.Error("a node that the copy lacks was taken for gone with the replicas")
	}
	state.publish(start.Add(time.Second + nodeRewriteTime))
	if state.isRecorded("n") {
		t.Error("a node that has not recorded itself again is still known")
	}
	if board.Routes.Load().Version != 1 {
		t.Error("the configuration was taken back")
	}
}

// TestACopyTakesNothingBack: it shows a replica as serving that has said since that it leaves, one
// that has gone since, and an older configuration.
func TestACopyTakesNothingBack(t *testing.T) {
	state, board := newTestState(t)
	now := start
	state.options.Now = func() time.Time { return now }
	copied := func() []store.KeyValue {
		return []store.KeyValue{
			tableAt(t, 1, 1), replicaAt(t, 2, "a", topology.ReplicaServing), replicaAt(t, 3, "b", topology.ReplicaServing),
			replicaAt(t, 4, "c", topology.ReplicaServing),
		}
	}
	state.replace(start, copied())
	state.apply(start, store.Event{KeyValue: tableAt(t, 5, 3)})
	state.apply(start, store.Event{KeyValue: replicaAt(t, 6, "a", topology.ReplicaLeaving)})
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "replicas/b"}, Deleted: true})
	now = start.Add(10 * time.Second)
	state.publish(now)
	state.replaceByCopy(now, inEra(1, copied()...))
	state.publish(now)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaLeaving, "c": topology.ReplicaServing}
	if diff := cmp.Diff(want, states(board)); diff != "" || board.Routes.Load().Version != 3 {
		t.Errorf("version %d (-want +got):\n%s", board.Routes.Load().Version, diff)
	}
	again := inEra(1, replicaAt(t, 7, "b", topology.ReplicaServing)) // it lives, and has written
	state.apply(now, store.Event{KeyValue: again[0]})
	state.publish(now)
	want["b"] = topology.ReplicaServing
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("after b has written again (-want +got):\n%s", diff)
	}
}

// TestOnlyWhatACopyChangesIsToldToOthers: all nodes of a zone are told, and an answer of all
// entries would fill a small node's link.
func TestOnlyWhatACopyChangesIsToldToOthers(t *testing.T) {
	state, _ := newTestState(t)
	state.replace(start, []store.KeyValue{tableAt(t, 1, 1), nodeAt(t, 2, "n")})
	state.unpublished = nil
	state.replaceByCopy(start, inEra(1, tableAt(t, 1, 1), nodeAt(t, 2, "n"), replicaAt(t, 3, "a", topology.ReplicaServing)))
	if len(state.unpublished) != 1 || state.unpublished[0].KeyValue.Key != "replicas/a" {
		t.Errorf("told %d changes", len(state.unpublished))
	}
}

// TestWhatIsSaidOfAnEraThatIsOverConfirmsNothing: nodes hear of a new era seconds apart.
func TestWhatIsSaidOfAnEraThatIsOverConfirmsNothing(t *testing.T) {
	known := staleness{grace: time.Second}
	known.learn(store.RevisionIn(1, 5))
	known.confirm(start, start, store.RevisionIn(1, 5))
	if known.confirm(start.Add(time.Second), start.Add(time.Second), store.RevisionIn(0, 99)) || !known.confirmedAt.Equal(start) {
		t.Errorf("confirmed at %v by an era that is over", known.confirmedAt.Sub(start))
	}
	if !known.giveUpAt().IsZero() {
		t.Error("a revision of an era that is over is missed")
	}
	known.confirm(start, start, store.RevisionIn(1, 6))
	if got := known.giveUpAt(); !got.Equal(start.Add(time.Second)) {
		t.Errorf("given up %v after a change was heard of", got.Sub(start))
	}
	known.confirm(start, start, store.RevisionIn(2, 1))
	if got := known.giveUpAt(); !got.Equal(start) {
		t.Errorf("given up %v after a later era was heard of", got.Sub(start))
	}
}

// TestALaterEraIsReadAtOnce: the store's watch cannot tell of it, though it goes on.
func TestALaterEraIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		source.put(tableAt(t, 50, 1))
		board, peers := startFollower(t, source, time.Minute)
		eventually(t, "the first table is in force", inForce(board, 1))
		source.set(true, false)
		source.put(inEra(1, tableAt(t, 3, 2))[0])
		heard := time.Now()
		peers.received <- announce.Announcement{Revision: store.RevisionIn(1, 3)}
		eventually(t, "the table of the later era is in force", inForce(board, 2))
		if took := time.Since(heard); took > time.Second {
			t.Errorf("in force after %v", took)
		}
		if lists, _ := source.counts(); lists != 2 {
			t.Errorf("%d readings", lists)
		}
	})
}

// TestAWatchThatIsRefusedAgainAndAgainIsPaused: each refusal used to lead to a whole reading at
// once, 50 a second by one node.
func TestAWatchThatIsRefusedAgainAndAgainIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{compacted: 1 << 30}
		source.put(tableAt(t, 5, 1))
		board, _ := startFollower(t, source, time.Minute)
		eventually(t, "the table is in force", inForce(board, 1))
		time.Sleep(10 * time.Second)
		if lists, _ := source.counts(); lists > 15 {
			t.Errorf("%d readings in 10 s", lists)
		}
	})
}

// TestANodeThatWatchesAnotherEntersTheEraAtOnce: it would hold its lease of before, and hand over
// the state of before, until the next confirmation.
func TestANodeThatWatchesAnotherEntersTheEraAtOnce(t *testing.T) {
	source := &fakeSource{}
	source.put(tableAt(t, 50, 1))
	made := New(Options{
		Store: source, Announcer: &fakePeers{received: make(chan announce.Announcement)}, Decoder: testDecoder{}, Keys: testKeys,
		Board: &blackboard.Board{}, Self: topology.Node{ID: "self"}, MaxStaleness: time.Minute, VanishedRetention: time.Second,
	})
	if err := made.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	table := inEra(1, tableAt(t, 3, 2))[0]
	made.confirm(start, start, store.RevisionIn(1, 9)) // heard of before it is told
	made.deliver(store.WatchBatch{Revision: table.ModRevision, Events: []store.Event{{KeyValue: table}}, Relayed: true})
	if revision, _ := made.AppliedRevision(); revision != table.ModRevision {
		t.Errorf("revision %d of era %d is known", store.NumberOf(revision), store.EraOf(revision))
	}
}

// TestAReplicaThatHasLeftDoesNotComeBackAsServing: it said that it leaves, and went; the copy is
// from before it said so.
func TestAReplicaThatHasLeftDoesNotComeBackAsServing(t *testing.T) {
	state, board := newTestState(t)
	copied := replicaAt(t, 2, "a", topology.ReplicaServing)
	state.replace(start, []store.KeyValue{copied, replicaAt(t, 3, "b", topology.ReplicaServing)})
	state.apply(start, store.Event{KeyValue: replicaAt(t, 6, "a", topology.ReplicaLeaving)})
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "replicas/a"}, Deleted: true})
	later := start.Add(5 * time.Second)
	state.publish(later)
	state.replaceByCopy(later, inEra(1, copied, replicaAt(t, 3, "b", topology.ReplicaServing)))
	state.publish(later)
	want := map[string]topology.ReplicaState{"a": topology.ReplicaLeaving, "b": topology.ReplicaServing}
	if diff := cmp.Diff(want, states(board)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// TestAWatchThatIsRefusedOnceIsFollowedByAReadingAtOnce: a first reading may be older than what
// the store still keeps.
func TestAWatchThatIsRefusedOnceIsFollowedByAReadingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{compacted: 1}
		source.put(tableAt(t, 5, 1))
		began := time.Now()
		board, _ := startFollower(t, source, time.Minute)
		eventually(t, "the table is in force", inForce(board, 1))
		eventually(t, "it is read again", func() bool { lists, _ := source.counts(); return lists == 2 })
		if took := time.Since(began); took > shortestPause/2 {
			t.Errorf("read again after %v", took)
		}
	})
}
