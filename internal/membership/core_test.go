package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/topology"
)

const sizeOfCases = 12

func TestCoreFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(t *testing.T, w *network)
		alive int
		limit time.Duration
	}{
		{"join", func(*testing.T, *network) {}, sizeOfCases, 0},
		{"dead member is found out", func(_ *testing.T, w *network) { w.kill(address(5)) }, sizeOfCases - 1, 20 * time.Second},
		{"planned leave", func(t *testing.T, w *network) {
			w.step(address(5), LeaveRequested{})
			took := w.until(5*time.Second, func() bool { return w.stateEverywhere("node-0005", topology.MemberLeaving) })
			if took >= 5*time.Second {
				t.Error("leaving did not spread")
			}
			w.step(address(5), LeaveCompleted{})
			w.run(10 * time.Millisecond)
			w.kill(address(5))
		}, sizeOfCases - 1, 5 * time.Second},
		{"short freeze is refuted", func(_ *testing.T, w *network) {
			w.frozen[address(5)] = true
			w.run(3 * time.Second)
			w.resume(address(5))
		}, sizeOfCases, 20 * time.Second},
		{"dead member resumes", func(t *testing.T, w *network) {
			w.frozen[address(5)] = true
			w.until(30*time.Second, func() bool { return w.agree(sizeOfCases - 1) })
			before := w.cores[address(5)].Self().Incarnation
			w.resume(address(5))
			w.run(3 * time.Second)
			if after := w.cores[address(5)].Self().Incarnation; after <= before {
				t.Errorf("incarnation %d was not raised", after)
			}
			if w.resumed[address(5)] != 1 {
				t.Errorf("freeze noticed %d times", w.resumed[address(5)])
			}
		}, sizeOfCases, 20 * time.Second},
		{"cut and healed", func(t *testing.T, w *network) {
			for i := range sizeOfCases / 2 {
				w.side[address(i)] = 1
			}
			if w.until(60*time.Second, func() bool { return w.agree(sizeOfCases / 2) }) >= 60*time.Second {
				t.Error("the halves did not settle")
			}
			clear(w.side)
		}, sizeOfCases, 60 * time.Second},
		{"long cut, seeds on one side only, tombstones forgotten", func(_ *testing.T, w *network) {
			for i := range sizeOfCases / 2 {
				w.side[address(i)] = 1
			}
			w.run(30 * time.Minute)
			clear(w.side)
		}, sizeOfCases, 60 * time.Second},
		{"mass restart", func(_ *testing.T, w *network) {
			for i := range sizeOfCases {
				w.add(fmt.Sprintf("again-%04d", i), address(i), address(0), address(1))
			}
		}, sizeOfCases, 30 * time.Second},
		{"restart on the same address", func(_ *testing.T, w *network) {
			w.add("again", address(5), address(0), address(1))
		}, sizeOfCases, 5 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newNetwork(7)
			w.addMany(sizeOfCases)
			if w.until(20*time.Second, func() bool { return w.agree(sizeOfCases) }) >= 20*time.Second {
				t.Fatal("the members did not find each other")
			}
			test.fault(t, w)
			if took := w.until(test.limit, func() bool { return w.agree(test.alive) }); took > test.limit || !w.agree(test.alive) {
				t.Errorf("members did not agree on %d within %v", test.alive, test.limit)
			}
			w.run(30 * time.Second)
			if !w.agree(test.alive) {
				t.Errorf("members did not stay agreed on %d", test.alive)
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

func TestLossAloneKillsNobody(t *testing.T) {
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
	w.addMany(sizeOfCases)
	w.run(15 * time.Second)
	w.step(address(3), Announced{Record{Kind: RecordDocument, Key: "table", Version: 4}})
	w.step(address(4), Announced{Record{Kind: RecordDocument, Key: "table", Version: 3}})
	w.run(3 * time.Second)
	if got := w.holding(RecordDocument, "table", 4); got != sizeOfCases {
		t.Errorf("%d of %d hold the higher version", got, sizeOfCases)
	}
	w.step(address(3), Announced{Record{Kind: RecordReplicaLeaving, Key: "10.9.9.9:1|a", Version: 1}})
	w.add("late", address(100), address(0))
	w.run(15 * time.Second)
	if got := w.holding(RecordReplicaLeaving, "10.9.9.9:1|a", 1); got != sizeOfCases+1 {
		t.Errorf("%d of %d hold the record", got, sizeOfCases+1)
	}
	w.run(2 * time.Hour)
	if got := w.holding(RecordReplicaLeaving, "10.9.9.9:1|a", 1); got != 0 {
		t.Errorf("%d still hold the expired record", got)
	}
	if got := w.holding(RecordDocument, "table", 4); got != sizeOfCases+1 {
		t.Errorf("%d of %d still hold the document", got, sizeOfCases+1)
	}
}

func TestTheHighestStoreMarkSpreads(t *testing.T) {
	w := newNetwork(5)
	w.addMany(sizeOfCases)
	w.run(15 * time.Second)
	for number := range sizeOfCases {
		mark := Record{Kind: RecordStoreMark, Key: StoreMarkKey, Version: uint64(100 + number)}
		w.step(address(number), Announced{mark})
	}
	w.run(3 * time.Second)
	if got := w.holding(RecordStoreMark, StoreMarkKey, 100+sizeOfCases-1); got != sizeOfCases {
		t.Errorf("%d of %d hold the highest mark", got, sizeOfCases)
	}
}

func TestTombstonesAreForgotten(t *testing.T) {
	w := newNetwork(9)
	w.addMany(sizeOfCases)
	w.run(20 * time.Second)
	w.kill(address(5))
	w.run(40 * time.Minute)
	for at, core := range w.cores {
		if member, known := core.Member("node-0005"); known {
			t.Errorf("%s still holds %+v", at, member)
		}
	}
}

func TestTombstonesOfTheUnknownAreNotTakenOver(t *testing.T) {
	core := NewCore(CoreOptions{Self: topology.Member{ID: "a", PeerAddress: "a:1"}})
	dead := topology.Member{ID: "b", PeerAddress: "b:1", State: topology.MemberDead}
	core.Step(0, Received{Message{Kind: MessagePush, From: topology.Member{ID: "c", PeerAddress: "c:1"}, Members: []topology.Member{dead}}})
	if member, known := core.Member("b"); known {
		t.Errorf("holds %+v", member)
	}
}

func TestWhatOneCoreMakesOfOneMessage(t *testing.T) {
	const suspect, dead, alive = topology.MemberSuspect, topology.MemberDead, topology.MemberAlive
	b := func(incarnation uint64, state topology.MemberState) topology.Member {
		return topology.Member{ID: "b", PeerAddress: "b:1", Incarnation: incarnation, State: state}
	}
	other := topology.Member{ID: "c", PeerAddress: "c:1"}
	namesake := topology.Member{ID: "b2", PeerAddress: "b:1"}
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
		{"death by gossip", gossip(b(3, dead)), b(3, dead)},
		{"death by a digest exchange is only suspicion", Message{Kind: MessagePush, From: other, Members: []topology.Member{b(3, dead)}}, b(3, suspect)},
		{"refutation", gossip(b(3, suspect), b(4, alive)), b(4, alive)},
		{"another process at its address", gossip(namesake), b(3, dead)},
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
			for range 50 { // until the rumors are spent
				core.Step(0, Received{gossip()})
			}
			reply := core.Step(0, Received{Message{Kind: MessagePing, From: b(3, alive)}}).Reply
			worse := supersedes(got, b(3, alive))
			if told := len(reply.Members) > 0 && cmp.Equal(reply.Members[0], got); told && !worse {
				t.Errorf("told of %+v without need", got)
			} else if worse && !told {
				t.Errorf("not told of %+v", got)
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

func TestSameSeedSameRun(t *testing.T) {
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
			t.Errorf("runs differ:\n%s", diff)
		}
	}
}

// TestScale shows dissemination and detection times at 250 nodes.
func TestScale(t *testing.T) {
	const nodes = 250
	w := newNetwork(1)
	w.addMany(nodes)
	joined := w.until(60*time.Second, func() bool { return w.agree(nodes) })
	w.run(20 * time.Second)
	w.bytes, w.messages = 0, 0
	w.run(20 * time.Second)
	quietBytes, quietMessages := w.bytes/nodes/20, float64(w.messages)/nodes/20
	w.step(address(17), Announced{Record{Kind: RecordDocument, Key: "table", Version: 2}})
	spread := w.until(10*time.Second, func() bool { return w.holding(RecordDocument, "table", 2) == nodes })
	w.kill(address(42))
	detected := w.until(60*time.Second, func() bool { return w.agree(nodes - 1) })
	t.Logf("join %v, record on all %v, failure known by all %v, quiet %d B/s %.1f messages/s a node",
		joined, spread, detected, quietBytes, quietMessages)
	if joined >= 60*time.Second || spread > 3*time.Second || detected > 30*time.Second {
		t.Errorf("too slow: join %v, record %v, failure %v", joined, spread, detected)
	}
}

// coreOfMany makes a core that has just been told of many members.
func coreOfMany(members int) *Core {
	core := NewCore(CoreOptions{Self: topology.Member{ID: "self", PeerAddress: "self:1"}})
	told := Message{Kind: MessageGossip, From: topology.Member{ID: "b", PeerAddress: "b:1"}}
	for i := range members {
		told.Members = append(told.Members, topology.Member{ID: fmt.Sprintf("node-%04d", i), PeerAddress: address(i)})
	}
	core.Step(0, Received{told})
	return core
}

func TestNewsEndsWhereARandomPeerKnowsAll(t *testing.T) {
	const old = 20 * time.Second
	cases := []struct {
		name   string
		at     time.Duration
		digest func(own []uint64) []uint64
		want   bool
	}{
		{"old news, and the peer knows all", old, func(own []uint64) []uint64 { return own }, false},
		{"old news, and the peer does not know all", old, func(own []uint64) []uint64 { return make([]uint64, len(own)) }, true},
		{"fresh news, and the peer knows all", time.Second, func(own []uint64) []uint64 { return own }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			core := coreOfMany(100)
			asked := Message{Kind: MessageSync, From: topology.Member{ID: "b", PeerAddress: "b:1"}, Digest: test.digest(core.registry.digest())}
			core.Step(test.at, Received{asked})
			if core.HasPendingRumors() != test.want {
				t.Errorf("spreading %v, want %v", core.HasPendingRumors(), test.want)
			}
		})
	}
}

func TestRumorRateDoesNotHoldUpDocuments(t *testing.T) {
	const rounds, messages = 5, 100
	core := coreOfMany(1000)
	core.Step(0, Announced{Record{Kind: RecordDocument, Key: "table", Version: 4}})
	members, records := 0, 0
	for round := range rounds {
		for range messages {
			asked := Received{Message{Kind: MessagePing, From: topology.Member{ID: "b", PeerAddress: "b:1"}}}
			reply := core.Step(time.Duration(round)*time.Second, asked).Reply
			records += len(reply.Records)
			for _, member := range reply.Members {
				members += memberSize(member)
			}
		}
	}
	if most := allowanceMessages*core.timing.RumorBytes + rounds*core.timing.RumorRate; members > most || members == 0 {
		t.Errorf("%d bytes of rumors were sent in %d s, want at most %d", members, rounds, most)
	}
	if want := newsLimit(core.LiveCount()); records != want {
		t.Errorf("the document was told of %d times, want %d", records, want)
	}
}

func TestDocumentIsAnnouncedByThoseWhoHaveIt(t *testing.T) {
	core := NewCore(CoreOptions{Self: topology.Member{ID: "a", PeerAddress: "a:1"}})
	record := Record{Kind: RecordDocument, Key: "table", Version: 4}
	told := Received{Message{Kind: MessageGossip, From: topology.Member{ID: "b", PeerAddress: "b:1"}, Records: []Record{record}}}
	for range 2 { // reported until the document is had
		if ready := core.Step(0, told); len(ready.Learned) != 1 || len(ready.Reply.Records) != 0 {
			t.Errorf("learned %v and passed on %v before the document was fetched", ready.Learned, ready.Reply.Records)
		}
	}
	core.Step(0, Announced{record})
	if ready := core.Step(0, told); len(ready.Learned) != 0 || len(ready.Reply.Records) != 1 {
		t.Errorf("learned %v and passed on %v after it was announced", ready.Learned, ready.Reply.Records)
	}
}
