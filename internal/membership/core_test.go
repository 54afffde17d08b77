package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/topology"
)

const clusterSize = 12

func TestCoreFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(t *testing.T, w *network)
		alive int
		limit time.Duration
	}{
		{"join", func(*testing.T, *network) {}, clusterSize, 0},
		{"dead member is detected", func(_ *testing.T, w *network) { w.kill(address(5)) }, clusterSize - 1, 20 * time.Second},
		{"planned leave", func(t *testing.T, w *network) {
			w.step(address(5), LeaveRequested{})
			took := w.runUntil(5*time.Second, func() bool { return w.stateEverywhere("node-0005", topology.MemberLeaving) })
			if took >= 5*time.Second {
				t.Error("leaving did not spread")
			}
			w.step(address(5), LeaveCompleted{})
			w.run(10 * time.Millisecond)
			w.kill(address(5))
		}, clusterSize - 1, 5 * time.Second},
		{"short suspension is refuted", func(_ *testing.T, w *network) {
			w.frozen[address(5)] = true
			w.run(3 * time.Second)
			w.resume(address(5))
		}, clusterSize, 20 * time.Second},
		{"dead member resumes", func(t *testing.T, w *network) {
			w.frozen[address(5)] = true
			w.runUntil(30*time.Second, func() bool { return w.converged(clusterSize - 1) })
			before := w.cores[address(5)].Self().Incarnation
			w.resume(address(5))
			w.run(3 * time.Second)
			if after := w.cores[address(5)].Self().Incarnation; after <= before {
				t.Errorf("incarnation %d was not raised", after)
			}
			if w.resumed[address(5)] != 1 {
				t.Errorf("suspension detected %d times", w.resumed[address(5)])
			}
		}, clusterSize, 20 * time.Second},
		{"partition heals", func(t *testing.T, w *network) {
			for i := range clusterSize / 2 {
				w.side[address(i)] = 1
			}
			if w.runUntil(60*time.Second, func() bool { return w.converged(clusterSize / 2) }) >= 60*time.Second {
				t.Error("the sides did not converge")
			}
			clear(w.side)
		}, clusterSize, 60 * time.Second},
		{"long partition with seeds on one side, tombstones expired", func(_ *testing.T, w *network) {
			for i := range clusterSize / 2 {
				w.side[address(i)] = 1
			}
			w.run(30 * time.Minute)
			clear(w.side)
		}, clusterSize, 60 * time.Second},
		{"mass restart", func(_ *testing.T, w *network) {
			for i := range clusterSize {
				w.add(fmt.Sprintf("again-%04d", i), address(i), address(0), address(1))
			}
		}, clusterSize, 30 * time.Second},
		{"restart on the same address", func(_ *testing.T, w *network) {
			w.add("again", address(5), address(0), address(1))
		}, clusterSize, 5 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newNetwork(7)
			w.addMany(clusterSize)
			if w.runUntil(20*time.Second, func() bool { return w.converged(clusterSize) }) >= 20*time.Second {
				t.Fatal("initial join did not converge")
			}
			test.fault(t, w)
			if took := w.runUntil(test.limit, func() bool { return w.converged(test.alive) }); took > test.limit || !w.converged(test.alive) {
				t.Errorf("no convergence on %d members within %v", test.alive, test.limit)
			}
			w.run(30 * time.Second)
			if !w.converged(test.alive) {
				t.Errorf("convergence on %d members did not last", test.alive)
			}
		})
	}
}

func (w *network) stateEverywhere(id string, state topology.MemberState) bool {
	for _, core := range w.cores {
		if member, _ := core.Member(id); member.State != state {
			return false
		}
	}
	return true
}

func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	w := newNetwork(3)
	w.loss = 0.1
	w.addMany(20)
	w.run(30 * time.Second)
	for range 60 {
		w.run(5 * time.Second)
		for at, core := range w.cores {
			if got := len(core.Members()); got != 20 {
				t.Fatalf("%s sees %d members at %v", at, got, w.now)
			}
		}
	}
}

func TestRecords(t *testing.T) {
	w := newNetwork(5)
	w.addMany(clusterSize)
	w.run(15 * time.Second)
	w.step(address(3), Announced{Record{Kind: RecordDocument, Key: "table", Version: 4}})
	w.step(address(4), Announced{Record{Kind: RecordDocument, Key: "table", Version: 3}})
	w.run(3 * time.Second)
	if got := w.holders(RecordDocument, "table", 4); got != clusterSize {
		t.Errorf("%d of %d have the higher version", got, clusterSize)
	}
	w.step(address(3), Announced{Record{Kind: RecordReplicaLeaving, Key: "10.9.9.9:1|a", Version: 1}})
	w.add("late", address(100), address(0))
	w.run(15 * time.Second)
	if got := w.holders(RecordReplicaLeaving, "10.9.9.9:1|a", 1); got != clusterSize+1 {
		t.Errorf("%d of %d have the record", got, clusterSize+1)
	}
	w.run(2 * time.Hour)
	if got := w.holders(RecordReplicaLeaving, "10.9.9.9:1|a", 1); got != 0 {
		t.Errorf("%d still have the expired record", got)
	}
	if got := w.holders(RecordDocument, "table", 4); got != clusterSize+1 {
		t.Errorf("%d of %d still have the document record", got, clusterSize+1)
	}
}

func TestHighestStoreMarkWins(t *testing.T) {
	w := newNetwork(5)
	w.addMany(clusterSize)
	w.run(15 * time.Second)
	for number := range clusterSize {
		watermark := Record{Kind: RecordStoreWatermark, Key: StoreWatermarkKey, Version: uint64(100 + number)}
		w.step(address(number), Announced{watermark})
	}
	w.run(3 * time.Second)
	if got := w.holders(RecordStoreWatermark, StoreWatermarkKey, 100+clusterSize-1); got != clusterSize {
		t.Errorf("%d of %d have the highest watermark", got, clusterSize)
	}
}

func TestTombstonesExpire(t *testing.T) {
	w := newNetwork(9)
	w.addMany(clusterSize)
	w.run(20 * time.Second)
	w.kill(address(5))
	w.run(40 * time.Minute)
	for at, core := range w.cores {
		if member, known := core.Member("node-0005"); known {
			t.Errorf("%s still has %+v", at, member)
		}
	}
}

// TestFailedSince guards against forgetting members that failed a moment ago, and against counting
// those that failed long before.
func TestFailedSince(t *testing.T) {
	w := newNetwork(9)
	w.addMany(clusterSize)
	w.run(20 * time.Second)
	w.kill(address(5))
	w.run(time.Minute)
	for at, core := range w.cores {
		if at == address(5) {
			continue
		}
		if failed := core.FailedSince(core.now - time.Minute); len(failed) != 1 || failed[0].ID != "node-0005" {
			t.Errorf("%s: failed within a minute: %v", at, failed)
		}
		if failed := core.FailedSince(core.now); len(failed) != 0 {
			t.Errorf("%s: failed just now: %v", at, failed)
		}
	}
}

func TestUnknownTombstoneIgnored(t *testing.T) {
	core := NewCore(CoreOptions{Self: topology.Member{ID: "a", PeerAddress: "a:1"}})
	dead := topology.Member{ID: "b", PeerAddress: "b:1", State: topology.MemberDead}
	core.Step(0, Received{Message{Kind: MessagePush, From: topology.Member{ID: "c", PeerAddress: "c:1"}, Members: []topology.Member{dead}}})
	if member, known := core.Member("b"); known {
		t.Errorf("member was added: %+v", member)
	}
}

func TestMergeMessage(t *testing.T) {
	const suspect, dead, alive = topology.MemberSuspect, topology.MemberDead, topology.MemberAlive
	b := func(incarnation uint64, state topology.MemberState) topology.Member {
		return topology.Member{ID: "b", PeerAddress: "b:1", Incarnation: incarnation, State: state}
	}
	other := topology.Member{ID: "c", PeerAddress: "c:1"}
	successor := topology.Member{ID: "b2", PeerAddress: "b:1"}
	gossip := func(members ...topology.Member) Message {
		return Message{Kind: MessageGossip, From: other, Members: members}
	}
	cases := []struct {
		name    string
		message Message
		want    topology.Member
	}{
		{"suspicion at the same incarnation", gossip(b(3, suspect)), b(3, suspect)},
		{"suspicion of an older incarnation", gossip(b(2, suspect)), b(3, alive)},
		{"dead by gossip", gossip(b(3, dead)), b(3, dead)},
		{"dead by digest exchange becomes suspect", Message{Kind: MessagePush, From: other, Members: []topology.Member{b(3, dead)}}, b(3, suspect)},
		{"refutation", gossip(b(3, suspect), b(4, alive)), b(4, alive)},
		{"another process at its address", gossip(successor), b(3, dead)},
		{"state out of range", gossip(b(9, 77)), b(3, alive)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			core := NewCore(CoreOptions{Self: topology.Member{ID: "a", PeerAddress: "a:1"}})
			core.Step(0, Received{gossip(b(3, alive))})
			core.Step(0, Received{test.message})
			got, _ := core.Member("b")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			for range 50 { // until all rumors have reached the transmit limit
				core.Step(0, Received{gossip()})
			}
			reply := core.Step(0, Received{Message{Kind: MessagePing, From: b(3, alive)}}).Reply
			superseding := supersedes(got, b(3, alive))
			if sent := len(reply.Members) > 0 && cmp.Equal(reply.Members[0], got); sent && !superseding {
				t.Errorf("reply contains %+v, which does not supersede the sender's", got)
			} else if superseding && !sent {
				t.Errorf("reply lacks %+v, which supersedes the sender's", got)
			}
		})
	}
}

func TestMessageBounds(t *testing.T) {
	core := NewCore(CoreOptions{Self: topology.Member{ID: "a", PeerAddress: "a:1"}})
	for i := range 5000 {
		core.Step(0, Announced{Record{Kind: RecordReplicaLeaving, Key: fmt.Sprintf("10.0.0.1:%d|x", i), Version: 1}})
	}
	peer := topology.Member{ID: "b", PeerAddress: "b:1"}
	gossip := core.Step(0, Received{Message{Kind: MessagePing, From: peer}}).Reply
	if len(gossip.Records) == 0 || gossip.Size() > 1400 {
		t.Errorf("reply to a ping has %d records, %d bytes", len(gossip.Records), gossip.Size())
	}
	sync := core.Step(0, Received{Message{Kind: MessageSync, From: peer, Digest: make([]uint64, DigestBuckets)}}).Reply
	if !sync.More || sync.Size() > 32<<10 {
		t.Errorf("reply to a sync: more %v, %d bytes", sync.More, sync.Size())
	}
}

func TestDeterminism(t *testing.T) {
	run := func() (int, int) {
		w := newNetwork(11)
		w.addMany(30)
		w.kill(address(9))
		w.run(60 * time.Second)
		return w.messages, w.bytes
	}
	messages, bytes := run()
	for range 3 {
		againMessages, againBytes := run()
		if diff := cmp.Diff([]int{messages, bytes}, []int{againMessages, againBytes}); diff != "" {
			t.Errorf("runs with the same seed differ (-first +again):\n%s", diff)
		}
	}
}

// TestScale checks dissemination and failure detection times with 250 nodes.
func TestScale(t *testing.T) {
	const nodes = 250
	w := newNetwork(1)
	w.addMany(nodes)
	joined := w.runUntil(60*time.Second, func() bool { return w.converged(nodes) })
	w.run(20 * time.Second)
	w.bytes, w.messages = 0, 0
	w.run(20 * time.Second)
	idleBytes, idleMessages := w.bytes/nodes/20, float64(w.messages)/nodes/20
	w.step(address(17), Announced{Record{Kind: RecordDocument, Key: "table", Version: 2}})
	disseminated := w.runUntil(10*time.Second, func() bool { return w.holders(RecordDocument, "table", 2) == nodes })
	w.kill(address(42))
	detected := w.runUntil(60*time.Second, func() bool { return w.converged(nodes - 1) })
	t.Logf("join %v, dissemination %v, failure detection %v, idle %d B/s and %.1f messages/s per node",
		joined, disseminated, detected, idleBytes, idleMessages)
	if joined >= 60*time.Second || disseminated > 3*time.Second || detected > 30*time.Second {
		t.Errorf("too slow: join %v, dissemination %v, failure detection %v", joined, disseminated, detected)
	}
}

// coreWithMembers returns a core that has just received many members by gossip.
func coreWithMembers(members int) *Core {
	core := NewCore(CoreOptions{Self: topology.Member{ID: "self", PeerAddress: "self:1"}})
	gossip := Message{Kind: MessageGossip, From: topology.Member{ID: "b", PeerAddress: "b:1"}}
	for i := range members {
		gossip.Members = append(gossip.Members, topology.Member{ID: fmt.Sprintf("node-%04d", i), PeerAddress: address(i)})
	}
	core.Step(0, Received{gossip})
	return core
}

func TestEqualDigestDropsOldRumors(t *testing.T) {
	const old = 20 * time.Second
	cases := []struct {
		name   string
		at     time.Duration
		digest func(own []uint64) []uint64
		want   bool
	}{
		{"old rumors, equal digest", old, func(own []uint64) []uint64 { return own }, false},
		{"old rumors, different digest", old, func(own []uint64) []uint64 { return make([]uint64, len(own)) }, true},
		{"fresh rumors, equal digest", time.Second, func(own []uint64) []uint64 { return own }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			core := coreWithMembers(100)
			request := Message{Kind: MessageSync, From: topology.Member{ID: "b", PeerAddress: "b:1"}, Digest: test.digest(core.registry.digest())}
			core.Step(test.at, Received{request})
			if core.HasPendingRumors() != test.want {
				t.Errorf("pending rumors %v, want %v", core.HasPendingRumors(), test.want)
			}
		})
	}
}

func TestRumorRateExemptsRecords(t *testing.T) {
	const rounds, messages = 5, 100
	core := coreWithMembers(1000)
	core.Step(0, Announced{Record{Kind: RecordDocument, Key: "table", Version: 4}})
	members, records := 0, 0
	for round := range rounds {
		for range messages {
			request := Received{Message{Kind: MessagePing, From: topology.Member{ID: "b", PeerAddress: "b:1"}}}
			reply := core.Step(time.Duration(round)*time.Second, request).Reply
			records += len(reply.Records)
			for _, member := range reply.Members {
				members += memberSize(member)
			}
		}
	}
	if most := rumorBudgetMessages*core.timing.RumorBytes + rounds*core.timing.RumorRate; members > most || members == 0 {
		t.Errorf("%d bytes of member rumors sent in %d s, want at most %d", members, rounds, most)
	}
	if want := recordTransmitLimit(core.LiveCount()); records != want {
		t.Errorf("document record sent %d times, want %d", records, want)
	}
}

func TestDocumentRecordNotRelayedBeforeFetch(t *testing.T) {
	core := NewCore(CoreOptions{Self: topology.Member{ID: "a", PeerAddress: "a:1"}})
	record := Record{Kind: RecordDocument, Key: "table", Version: 4}
	gossip := Received{Message{Kind: MessageGossip, From: topology.Member{ID: "b", PeerAddress: "b:1"}, Records: []Record{record}}}
	for range 2 { // reported until the document has been fetched
		if ready := core.Step(0, gossip); len(ready.Learned) != 1 || len(ready.Reply.Records) != 0 {
			t.Errorf("learned %v, sent %v before the document was fetched", ready.Learned, ready.Reply.Records)
		}
	}
	core.Step(0, Announced{record})
	if ready := core.Step(0, gossip); len(ready.Learned) != 0 || len(ready.Reply.Records) != 1 {
		t.Errorf("learned %v, sent %v after it was announced", ready.Learned, ready.Reply.Records)
	}
}
