package quarantine

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/upstream"
)

func message(change func(*upstream.Message)) *upstream.Message {
	made := &upstream.Message{
		ID: "a", Caller: netip.MustParseAddr("192.0.2.1"), Method: http.MethodPost, Host: "h", Target: "/p?q=1",
		Header: http.Header{"Accept": {"*/*"}}, Body: []byte("body"),
	}
	if change != nil {
		change(made)
	}
	return made
}

// TestIdentity: what a replica sees of a request tells it from others, what differs with each
// try does not.
func TestIdentity(t *testing.T) {
	same := map[string]func(*upstream.Message){
		"another identifier": func(m *upstream.Message) { m.ID = "b" },
		"another address":    func(m *upstream.Message) { m.Caller = netip.MustParseAddr("192.0.2.2") },
		"another header":     func(m *upstream.Message) { m.Header = http.Header{"User-Agent": {"x"}} },
	}
	for name, change := range same {
		if IdentityOf(message(change)) != IdentityOf(message(nil)) {
			t.Errorf("%s makes it another request", name)
		}
	}
	other := map[string]func(*upstream.Message){
		"method":      func(m *upstream.Message) { m.Method = http.MethodPut },
		"host":        func(m *upstream.Message) { m.Host = "i" },
		"path":        func(m *upstream.Message) { m.Target = "/r?q=1" },
		"query":       func(m *upstream.Message) { m.Target = "/p?q=2" },
		"body":        func(m *upstream.Message) { m.Body = []byte("bodz") },
		"credentials": func(m *upstream.Message) { m.Header = http.Header{"Authorization": {"x"}} },
		"host and path that join to the same": func(m *upstream.Message) {
			m.Host, m.Target = "h/p", "?q=1"
		},
	}
	seen := map[Identity]string{IdentityOf(message(nil)): "itself"}
	for name, change := range other {
		identity := IdentityOf(message(change))
		if before, known := seen[identity]; known {
			t.Errorf("%s is taken for %s", name, before)
		}
		seen[identity] = name
	}
	parsed, valid := ParseIdentity(IdentityOf(message(nil)).String())
	if !valid || parsed != IdentityOf(message(nil)) {
		t.Error("an identity does not survive being printed")
	}
}

// clock is a time that a test moves.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

var testRoute = Route{Name: "r", Shards: 10}

var (
	suspected = decision.CrashEvidence{Crashes: 4, Incidents: 1, Attribution: 1}
	convicted = decision.CrashEvidence{Crashes: 6, Incidents: 3, Attribution: 3}
)

func newTestList(change func(*Config)) (*List, *clock, *[]Record) {
	time0 := &clock{now: time.Unix(1000, 0)}
	told := &[]Record{}
	config := Config{Now: time0.read, Broadcast: func(record Record) { *told = append(*told, record) }}
	if change != nil {
		change(&config)
	}
	return New(config), time0, told
}

func convict(list *List, found *upstream.Message) {
	list.RecordCrash(found, testRoute, "", convicted)
	list.Quarantine(found)
}

func target(n int) *upstream.Message {
	return message(func(m *upstream.Message) { m.Target = fmt.Sprint("/", n) })
}

// TestASuspectBecomesQuarantined: others are told of it, and it is tried again after its time.
func TestASuspectBecomesQuarantined(t *testing.T) {
	list, now, told := newTestList(nil)
	if got := list.Lookup(message(nil)); got != (Status{}) {
		t.Fatalf("unknown: %+v", got)
	}
	list.RecordCrash(message(nil), testRoute, "", suspected)
	if got := list.Lookup(message(nil)); got.Evidence != suspected || got.RefuseFor != 0 {
		t.Fatalf("suspect: %+v", got)
	}
	list.RecordCrash(message(nil), testRoute, "a/1", convicted)
	if got := list.Lookup(message(nil)); got.RefuseFor != verdictDue {
		t.Fatalf("before the verdict: %+v", got)
	}
	list.Quarantine(message(nil))
	list.Quarantine(message(nil))
	if got := list.Lookup(message(nil)); got.RefuseFor != DefaultDuration {
		t.Fatalf("quarantined: %+v", got)
	}
	if len(*told) != 3 || (*told)[1].RefuseMilliseconds != 0 || (*told)[2].RefuseFor() != DefaultDuration {
		t.Errorf("told: %+v", *told)
	}
	if got := list.IsQuarantined(target(1)); got {
		t.Error("another request is quarantined")
	}
	if other := list.Lookup(target(1)); other != (Status{}) {
		t.Errorf("another request: %+v", other)
	}
	now.now = now.now.Add(DefaultDuration)
	got := list.Lookup(message(nil))
	if got.RefuseFor != 0 || !got.Evidence.Suspicious() || got.Evidence.Conclusive() {
		t.Fatalf("after its time: %+v", got)
	}
	again := got.Evidence
	again.Incidents, again.Attribution = again.Incidents+1, again.Attribution+1
	if !again.Conclusive() {
		t.Error("another end does not convict it again")
	}
	list.RecordAnswer(message(nil))
	if got := list.Lookup(message(nil)); got != (Status{}) {
		t.Errorf("after an answer: %+v", got)
	}
}

// TestASuspectIsForgotten: nothing is kept or asked afterwards.
func TestASuspectIsForgotten(t *testing.T) {
	list, now, _ := newTestList(nil)
	list.RecordCrash(message(nil), testRoute, "", suspected)
	now.now = now.now.Add(suspectFor)
	if got := list.Lookup(message(nil)); got != (Status{}) || list.size.Load() != 0 {
		t.Errorf("%+v, %d are kept", got, list.size.Load())
	}
}

// TestOthersAreBelieved: what a node hears counts as its own, and is news only once.
func TestOthersAreBelieved(t *testing.T) {
	list, _, told := newTestList(nil)
	from, _, heard := newTestList(nil)
	convict(from, message(nil))
	encoded, err := msgpack.Marshal(&(*heard)[1])
	if err != nil {
		t.Fatal(err)
	}
	var record Record
	if err := msgpack.Unmarshal(encoded, &record); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff((*heard)[1], record); diff != "" {
		t.Errorf("record (-told +heard):\n%s", diff)
	}
	if !list.Receive(record) || list.Receive(record) {
		t.Error("it is not news exactly once")
	}
	if got := list.Lookup(message(nil)); got.RefuseFor != DefaultDuration {
		t.Errorf("heard of: %+v", got)
	}
	if len(*told) != 0 || len(list.unstored(-1)) != 0 || len(list.unstored(0)) != 1 || len(from.unstored(-1)) != 1 {
		t.Error("the node that found it out, and after a wait others, have to write it")
	}
	if !list.Release(IdentityOf(message(nil))) || list.Release(IdentityOf(message(nil))) {
		t.Error("it is not released exactly once")
	}
	if len(*told) != 1 || !(*told)[0].Released || !from.Receive((*told)[0]) {
		t.Errorf("told of the release: %+v", *told)
	}
	if got := from.Lookup(message(nil)); got != (Status{}) {
		t.Errorf("released by another node: %+v", got)
	}
}

// TestTheListIsBounded: suspects make room for others, what is quarantined does not.
func TestTheListIsBounded(t *testing.T) {
	const most = 8
	list, now, told := newTestList(func(config *Config) { config.MaxEntries = most })
	for n := range 3 * most {
		now.now = now.now.Add(time.Millisecond)
		list.RecordCrash(target(n), testRoute, "", suspected)
	}
	if size := list.size.Load(); size != most || list.Lookup(target(3*most-1)) == (Status{}) {
		t.Errorf("%d are kept, and not the latest", size)
	}
	if len(*told) > toldAtOnce+1 {
		t.Errorf("others were told of %d suspects", len(*told))
	}
	for n := range 3 * most {
		convict(list, target(n))
	}
	if got := list.Lookup(target(0)); got.RefuseFor == 0 || list.size.Load() != most {
		t.Errorf("the first quarantined: %+v, %d are kept", got, list.size.Load())
	}
}

// TestAListThatIsOff knows nothing.
func TestAListThatIsOff(t *testing.T) {
	var list *List
	convict(list, message(nil))
	list.RecordAnswer(message(nil))
	list.Adopt("x", nil)
	list.Forgotten("x")
	if list.Receive(Record{}) || list.Release(Identity{}) || list.Lookup(message(nil)) != (Status{}) || len(list.Records()) != 0 {
		t.Error("it knows something")
	}
}

func BenchmarkSuspicion(b *testing.B) {
	asked := message(func(m *upstream.Message) { m.Body = make([]byte, 1024) })
	b.Run("nobody suspected", func(b *testing.B) {
		list := New(Config{})
		for b.Loop() {
			list.Lookup(asked)
		}
	})
	b.Run("somebody suspected, 1 KiB", func(b *testing.B) {
		list := New(Config{})
		convict(list, target(1))
		for b.Loop() {
			list.Lookup(asked)
		}
	})
}

// TestAConvictionCanBeContested: as long as another request was tried at the same replicas.
func TestAConvictionCanBeContested(t *testing.T) {
	list, now, _ := newTestList(nil)
	from, _, heard := newTestList(nil)
	for _, canary := range []string{"a/1", "b/2"} {
		list.RecordCrash(message(nil), testRoute, canary, suspected)
		from.RecordCrash(target(1), testRoute, canary, suspected)
	}
	list.RecordCrash(message(nil), testRoute, "b/2", convicted)
	if list.Ambiguous(message(nil)) {
		t.Error("contested before anything is heard")
	}
	from.RecordCrash(target(1), testRoute, "b/2", convicted)
	for _, record := range *heard {
		list.Receive(record)
	}
	if !list.Ambiguous(message(nil)) {
		t.Error("not contested by a request that was tried at the same replicas")
	}
	list.RecordCrash(message(nil), testRoute, "c/3", convicted)
	if list.Ambiguous(message(nil)) {
		t.Error("contested by a request that was not tried at the last one")
	}
	now.now = now.now.Add(verdictDue)
	if got := list.Lookup(message(nil)); got.RefuseFor != 0 || got.Evidence.Conclusive() || !got.Evidence.Suspicious() {
		t.Errorf("without a verdict: %+v", got)
	}
}

// TestARequestThatWasAnsweredIsNoSuspect: for a while, as it is not what ends replicas now.
func TestARequestThatWasAnsweredIsNoSuspect(t *testing.T) {
	list, now, told := newTestList(nil)
	list.RecordAnswer(message(nil))
	now.now = now.now.Add(answeredFor)
	convict(list, message(nil))
	if list.IsQuarantined(message(nil)) || list.size.Load() != 0 {
		t.Error("it is suspected though it was answered")
	}
	convict(list, target(1))
	if !list.IsQuarantined(target(1)) {
		t.Error("another request is not")
	}
	list.Receive(Record{Identity: IdentityOf(message(nil)), CrashedReplicas: 12, Rounds: 3, Blame: 3, RefuseMilliseconds: 600_000})
	if got := list.Lookup(message(nil)); got != (Status{}) {
		t.Errorf("it is refused as another node says: %+v", got)
	}
	list.RecordAnswer(message(nil))
	if last := (*told)[len(*told)-1]; !last.Released || last.Identity != IdentityOf(message(nil)) {
		t.Errorf("the other nodes are not told of the answer: %+v", last)
	}
	now.now = now.now.Add(answeredFor)
	now.now = now.now.Add(2 * time.Second)
	convict(list, message(nil))
	if !list.IsQuarantined(message(nil)) {
		t.Error("an answer counts for longer than it should")
	}
}

func BenchmarkAnswered(b *testing.B) {
	asked := message(func(m *upstream.Message) { m.Body = make([]byte, 1024) })
	list := New(Config{})
	for b.Loop() {
		list.RecordAnswer(asked)
	}
}

// TestOtherNodesAreToldOfTwoEndsUnderOneRequest: one end may be any other request's doing, two under
// one request seldom are. A request whose shards have few replicas left ends before a third one
// ends under it, and with each node it would begin from nothing: one that came to eight nodes in
// turn ended 23 replicas in 8 s.
func TestOtherNodesAreToldOfTwoEndsUnderOneRequest(t *testing.T) {
	for _, test := range []struct{ ended, told int }{{1, 0}, {2, 1}} {
		list, _, told := newTestList(nil)
		list.RecordCrash(message(nil), Route{Name: "r", Shards: 4}, "", decision.CrashEvidence{Crashes: test.ended, Incidents: 1, Attribution: 1})
		if len(*told) != test.told {
			t.Errorf("%d ended: told %d times", test.ended, len(*told))
		}
	}
}
