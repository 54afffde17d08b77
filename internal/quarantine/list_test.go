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

func message(change func(*upstream.Request)) *upstream.Request {
	made := &upstream.Request{
		ID: "a", Caller: netip.MustParseAddr("192.0.2.1"), Method: http.MethodPost, Host: "h", Target: "/p?q=1",
		Header: http.Header{"Accept": {"*/*"}}, Body: []byte("body"),
	}
	if change != nil {
		change(made)
	}
	return made
}

// The identity must cover everything that a replica sees of a request, and nothing that differs
// between tries of the same request.
func TestIdentity(t *testing.T) {
	same := map[string]func(*upstream.Request){
		"request ID":     func(m *upstream.Request) { m.ID = "b" },
		"caller address": func(m *upstream.Request) { m.Caller = netip.MustParseAddr("192.0.2.2") },
		"other header":   func(m *upstream.Request) { m.Header = http.Header{"User-Agent": {"x"}} },
	}
	for name, change := range same {
		if IdentityOf(message(change)) != IdentityOf(message(nil)) {
			t.Errorf("%s changes the identity", name)
		}
	}
	different := map[string]func(*upstream.Request){
		"method":      func(m *upstream.Request) { m.Method = http.MethodPut },
		"host":        func(m *upstream.Request) { m.Host = "i" },
		"path":        func(m *upstream.Request) { m.Target = "/r?q=1" },
		"query":       func(m *upstream.Request) { m.Target = "/p?q=2" },
		"body":        func(m *upstream.Request) { m.Body = []byte("bodz") },
		"credentials": func(m *upstream.Request) { m.Header = http.Header{"Authorization": {"x"}} },
		"tenant":      func(m *upstream.Request) { m.Tenant = "acme" },
		"host and path with the same concatenation": func(m *upstream.Request) {
			m.Host, m.Target = "h/p", "?q=1"
		},
	}
	seen := map[Identity]string{IdentityOf(message(nil)): "the original"}
	for name, change := range different {
		identity := IdentityOf(message(change))
		if previous, collides := seen[identity]; collides {
			t.Errorf("%s has the same identity as %s", name, previous)
		}
		seen[identity] = name
	}
	parsed, valid := ParseIdentity(IdentityOf(message(nil)).String())
	if !valid || parsed != IdentityOf(message(nil)) {
		t.Error("ParseIdentity does not invert String")
	}
}

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

var testRoute = Route{Name: "r", Shards: 10}

var (
	suspicious = decision.CrashEvidence{Crashes: 4, Incidents: 1, Attribution: 1}
	conclusive = decision.CrashEvidence{Crashes: 6, Incidents: 3, Attribution: 3}
)

// newTestList returns a list, its clock and the records that it has broadcast.
func newTestList(change func(*Config)) (*List, *clock, *[]Record) {
	fakeClock := &clock{now: time.Unix(1000, 0)}
	broadcasts := &[]Record{}
	config := Config{Now: fakeClock.read, Broadcast: func(record Record) { *broadcasts = append(*broadcasts, record) }}
	if change != nil {
		change(&config)
	}
	return New(config), fakeClock, broadcasts
}

func quarantine(list *List, request *upstream.Request) {
	list.RecordCrash(request, testRoute, "", conclusive)
	list.Quarantine(request)
}

// target returns one of several distinct requests.
func target(n int) *upstream.Request {
	return message(func(m *upstream.Request) { m.Target = fmt.Sprint("/", n) })
}

// A request passes from suspect to quarantined, back to suspect when the quarantine expires, and is
// cleared by an answer.
func TestRequestLifecycle(t *testing.T) {
	list, now, broadcasts := newTestList(nil)
	if got := list.Lookup(message(nil)); got != (Status{}) {
		t.Fatalf("unknown request: %+v", got)
	}
	list.RecordCrash(message(nil), testRoute, "", suspicious)
	if got := list.Lookup(message(nil)); got.Evidence != suspicious || got.RefuseFor != 0 {
		t.Fatalf("suspect: %+v", got)
	}
	list.RecordCrash(message(nil), testRoute, "a/1", conclusive)
	if got := list.Lookup(message(nil)); got.RefuseFor != confirmationWindow {
		t.Fatalf("conclusive evidence: %+v", got)
	}
	list.Quarantine(message(nil))
	list.Quarantine(message(nil))
	if got := list.Lookup(message(nil)); got.RefuseFor != DefaultDuration {
		t.Fatalf("quarantined: %+v", got)
	}
	if len(*broadcasts) != 3 || (*broadcasts)[1].RefuseMilliseconds != 0 || (*broadcasts)[2].RefuseFor() != DefaultDuration {
		t.Errorf("broadcasts: %+v", *broadcasts)
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
		t.Fatalf("after the quarantine: %+v", got)
	}
	again := got.Evidence
	again.Incidents, again.Attribution = again.Incidents+1, again.Attribution+1
	if !again.Conclusive() {
		t.Error("one more crash is not conclusive again")
	}
	list.RecordAnswer(message(nil))
	if got := list.Lookup(message(nil)); got != (Status{}) {
		t.Errorf("after an answer: %+v", got)
	}
}

func TestSuspectExpires(t *testing.T) {
	list, now, _ := newTestList(nil)
	list.RecordCrash(message(nil), testRoute, "", suspicious)
	now.now = now.now.Add(suspectTTL)
	if got := list.Lookup(message(nil)); got != (Status{}) || list.size.Load() != 0 {
		t.Errorf("%+v, %d entries", got, list.size.Load())
	}
}

// A record from another node must take effect like a local one, and must be forwarded only once.
func TestReceiveRecord(t *testing.T) {
	list, _, broadcasts := newTestList(nil)
	sender, _, sent := newTestList(nil)
	quarantine(sender, message(nil))
	encoded, err := msgpack.Marshal(&(*sent)[1])
	if err != nil {
		t.Fatal(err)
	}
	var record Record
	if err := msgpack.Unmarshal(encoded, &record); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff((*sent)[1], record); diff != "" {
		t.Errorf("record (-sent +received):\n%s", diff)
	}
	if !list.Receive(record) || list.Receive(record) {
		t.Error("record is not new exactly once")
	}
	if got := list.Lookup(message(nil)); got.RefuseFor != DefaultDuration {
		t.Errorf("received: %+v", got)
	}
	if len(*broadcasts) != 0 || len(list.unstored(-1)) != 0 || len(list.unstored(0)) != 1 || len(sender.unstored(-1)) != 1 {
		t.Error("the request must be due for the sender at once and for the receiver after a wait")
	}
	if !list.Release(IdentityOf(message(nil))) || list.Release(IdentityOf(message(nil))) {
		t.Error("request is not released exactly once")
	}
	if len(*broadcasts) != 1 || !(*broadcasts)[0].Released || !sender.Receive((*broadcasts)[0]) {
		t.Errorf("broadcasts of the release: %+v", *broadcasts)
	}
	if got := sender.Lookup(message(nil)); got != (Status{}) {
		t.Errorf("released by another node: %+v", got)
	}
}

// A full list must evict suspects but not quarantined requests.
func TestMaxEntries(t *testing.T) {
	const limit = 8
	list, now, broadcasts := newTestList(func(config *Config) { config.MaxEntries = limit })
	for n := range 3 * limit {
		now.now = now.now.Add(time.Millisecond)
		list.RecordCrash(target(n), testRoute, "", suspicious)
	}
	if size := list.size.Load(); size != limit || list.Lookup(target(3*limit-1)) == (Status{}) {
		t.Errorf("%d entries, or the latest is missing", size)
	}
	if len(*broadcasts) > broadcastBurst+1 {
		t.Errorf("%d broadcasts of suspects", len(*broadcasts))
	}
	for n := range 3 * limit {
		quarantine(list, target(n))
	}
	if got := list.Lookup(target(0)); got.RefuseFor == 0 || list.size.Load() != limit {
		t.Errorf("first quarantined request: %+v, %d entries", got, list.size.Load())
	}
}

func TestNilList(t *testing.T) {
	var list *List
	quarantine(list, message(nil))
	list.RecordAnswer(message(nil))
	list.HandleStored("x", nil)
	list.HandleDeleted("x")
	if list.Receive(Record{}) || list.Release(Identity{}) || list.Lookup(message(nil)) != (Status{}) || len(list.Records()) != 0 {
		t.Error("a nil list is not empty")
	}
}

func BenchmarkLookup(b *testing.B) {
	asked := message(func(m *upstream.Request) { m.Body = make([]byte, 1024) })
	b.Run("no suspect", func(b *testing.B) {
		list := New(Config{})
		for b.Loop() {
			list.Lookup(asked)
		}
	})
	b.Run("one suspect, 1 KiB", func(b *testing.B) {
		list := New(Config{})
		quarantine(list, target(1))
		for b.Loop() {
			list.Lookup(asked)
		}
	})
}

// The cause is disputed while another request crashed all of the same replicas.
func TestDisputed(t *testing.T) {
	list, now, _ := newTestList(nil)
	sender, _, sent := newTestList(nil)
	for _, canary := range []string{"a/1", "b/2"} {
		list.RecordCrash(message(nil), testRoute, canary, suspicious)
		sender.RecordCrash(target(1), testRoute, canary, suspicious)
	}
	list.RecordCrash(message(nil), testRoute, "b/2", conclusive)
	if list.Disputed(message(nil), nil) {
		t.Error("disputed without another request")
	}
	sender.RecordCrash(target(1), testRoute, "b/2", conclusive)
	for _, record := range *sent {
		list.Receive(record)
	}
	if !list.Disputed(message(nil), nil) {
		t.Error("not disputed with a request that crashed the same replicas")
	}
	list.RecordCrash(message(nil), testRoute, "c/3", conclusive)
	if list.Disputed(message(nil), nil) {
		t.Error("disputed with a request that did not crash the last replica")
	}
	now.now = now.now.Add(confirmationWindow)
	if got := list.Lookup(message(nil)); got.RefuseFor != 0 || got.Evidence.Conclusive() || !got.Evidence.Suspicious() {
		t.Errorf("after the confirmation window: %+v", got)
	}
}

// A request that was answered recently is not the cause of current crashes, also if another node
// has quarantined it.
func TestRecentAnswerClearsRequest(t *testing.T) {
	list, now, broadcasts := newTestList(nil)
	list.RecordAnswer(message(nil))
	now.now = now.now.Add(recentAnswerTTL)
	quarantine(list, message(nil))
	if list.IsQuarantined(message(nil)) || list.size.Load() != 0 {
		t.Error("recently answered request is suspected")
	}
	quarantine(list, target(1))
	if !list.IsQuarantined(target(1)) {
		t.Error("another request is not quarantined")
	}
	list.Receive(Record{Identity: IdentityOf(message(nil)), CrashedReplicas: 12, Rounds: 3, Blame: 3, RefuseMilliseconds: 600_000})
	if got := list.Lookup(message(nil)); got != (Status{}) {
		t.Errorf("recently answered request is refused for another node: %+v", got)
	}
	list.RecordAnswer(message(nil))
	if last := (*broadcasts)[len(*broadcasts)-1]; !last.Released || last.Identity != IdentityOf(message(nil)) {
		t.Errorf("last broadcast %+v, want a release", last)
	}
	now.now = now.now.Add(recentAnswerTTL)
	now.now = now.now.Add(2 * time.Second)
	quarantine(list, message(nil))
	if !list.IsQuarantined(message(nil)) {
		t.Error("request is not quarantined after the answer has expired")
	}
}

// A request that was answered recently is in no record, and its canaries may meet those of another
// one all the same.
func TestRecentlyAnsweredRequestDisputed(t *testing.T) {
	list, _, _ := newTestList(nil)
	list.RecordAnswer(message(nil))
	for _, canary := range []string{"a/1", "b/2"} {
		list.RecordCrash(message(nil), testRoute, canary, suspicious)
		list.RecordCrash(target(1), testRoute, canary, suspicious)
	}
	if !list.Disputed(message(nil), []string{"a/1", "b/2"}) {
		t.Error("not disputed with a request that crashed the same replicas")
	}
	if list.Disputed(message(nil), []string{"a/1", "c/3"}) {
		t.Error("disputed with a request that did not crash the last replica")
	}
}

func BenchmarkRecordAnswer(b *testing.B) {
	asked := message(func(m *upstream.Request) { m.Body = make([]byte, 1024) })
	list := New(Config{})
	for b.Loop() {
		list.RecordAnswer(asked)
	}
}

// A suspect must be broadcast from the second crash: a request whose shards have few replicas left
// may fail before the third, and each node would collect evidence anew.
func TestBroadcastFromSecondCrash(t *testing.T) {
	for _, test := range []struct{ crashed, broadcasts int }{{1, 0}, {2, 1}} {
		list, _, sent := newTestList(nil)
		list.RecordCrash(message(nil), Route{Name: "r", Shards: 4}, "", decision.CrashEvidence{Crashes: test.crashed, Incidents: 1, Attribution: 1})
		if len(*sent) != test.broadcasts {
			t.Errorf("%d crashes: %d broadcasts", test.crashed, len(*sent))
		}
	}
}
