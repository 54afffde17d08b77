package replica_test

import (
	"context"
	"testing"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/topology"
)

// These tests check the backend protocol between a pool and the stand-in backend
// over loopback, with both HTTP versions.

const backendGroup = "cues-0"

// backendFixture is one stand-in replica and a pool that knows it.
type backendFixture struct {
	standin *backend.Replica
	server  *backend.Server
	pool    *replica.Pool
}

func newBackendFixture(t *testing.T, protocol replica.Protocol) *backendFixture {
	t.Helper()
	records := []corpus.Record{
		{Corpus: corpus.Cues, ID: "1", Index: "cues", Document: "a.srt", Text: "the rain"},
		{Corpus: corpus.Cues, ID: "2", Index: "cues", Document: "a.srt", Text: "the rain again"},
	}
	standin := backend.New(backend.Options{Group: backendGroup, Incarnation: "first"})
	standin.Hold(7, "cues", 0, 1, corpus.NewShard(records))
	server, err := backend.Start(standin, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	board := &blackboard.Board{}
	board.Replicas.Publish(&topology.Replicas{Groups: map[string][]topology.Replica{backendGroup: {{
		Address: server.Address, Incarnation: "first", Group: backendGroup, Slots: 4, ConnectionLimit: 75,
	}}}})
	pool := replica.NewPool(replica.PoolOptions{Board: board, Protocol: protocol})
	t.Cleanup(pool.Close)
	return &backendFixture{standin: standin, server: server, pool: pool}
}

func (f *backendFixture) search(t *testing.T, snapshot uint64) replica.SubrequestResult {
	t.Helper()
	handle := f.pool.Acquire(backendGroup, policy.Replicas{ZoneWeight: 1, RegionWeight: 1, FarWeight: 1}, nil)
	if handle == nil {
		t.Fatal("no replica could be acquired")
	}
	return f.pool.Search(t.Context(), handle, &backendapi.SearchRequest{
		QueryID: "q", Attempt: 1, Snapshot: snapshot, Index: "cues", Shards: 1,
		Phrase: "rain", Order: client.OrderRank, Limit: 10, TimeoutMilliseconds: 60_000,
	})
}

var protocols = []replica.Protocol{replica.ProtocolHTTP1, replica.ProtocolH2C}

func TestBackendSearch(t *testing.T) {
	cases := []struct {
		name     string
		faults   backend.Faults
		drain    bool
		snapshot uint64
		outcome  decision.Outcome
		notRun   bool
	}{
		{"whole reply", backend.Faults{}, false, 7, decision.Success, false},
		{"truncated", backend.Faults{Reply: backend.FaultTruncated}, false, 7, decision.Failed, false},
		{"short", backend.Faults{Reply: backend.FaultShort}, false, 7, decision.Invalid, false},
		{"duplicated hits", backend.Faults{Reply: backend.FaultDuplicated}, false, 7, decision.Invalid, false},
		{"wrong shard", backend.Faults{Reply: backend.FaultWrongShard}, false, 7, decision.Invalid, false},
		{"wrong snapshot", backend.Faults{Reply: backend.FaultWrongSnapshot}, false, 7, decision.Invalid, false},
		{"wrong attempt", backend.Faults{Reply: backend.FaultWrongAttempt}, false, 7, decision.Invalid, false},
		{"reply to another query", backend.Faults{Reply: backend.FaultCrossed}, false, 7, decision.Invalid, false},
		{"not JSON", backend.Faults{Reply: backend.FaultNotJSON}, false, 7, decision.Invalid, false},
		{"server error", backend.Faults{Reply: backend.FaultServerError}, false, 7, decision.Failed, false},
		{"reset before it ran", backend.Faults{Reply: backend.FaultResetBefore}, false, 7, decision.Failed, false},
		{"reset after it ran", backend.Faults{Reply: backend.FaultResetAfter}, false, 7, decision.Failed, false},
		{"shed", backend.Faults{Shed: true}, false, 7, decision.Shed, true},
		{"draining", backend.Faults{}, true, 7, decision.Draining, true},
		{"snapshot not held", backend.Faults{}, false, 8, decision.SnapshotNotHeld, true},
	}
	for _, protocol := range protocols {
		for _, test := range cases {
			t.Run(string(protocol)+"/"+test.name, func(t *testing.T) {
				fixture := newBackendFixture(t, protocol)
				fixture.standin.SetFaults(test.faults)
				if test.drain {
					fixture.standin.Drain()
				}
				got := fixture.search(t, test.snapshot)
				if got.Outcome != test.outcome || got.NotRun != test.notRun {
					t.Errorf("outcome %v, not run %v, error %v; want %v, %v", got.Outcome, got.NotRun, got.Err, test.outcome, test.notRun)
				}
				if (got.Reply != nil) != (test.outcome == decision.Success) {
					t.Errorf("reply %+v with outcome %v", got.Reply, got.Outcome)
				}
			})
		}
	}
}

func TestBackendCall(t *testing.T) {
	cases := []struct {
		name   string
		faults backend.Faults
		kind   failure.Kind
		notRun bool
		ran    int
	}{
		{"ran", backend.Faults{}, "", false, 1},
		{"shed", backend.Faults{Shed: true}, failure.BackendRefused, true, 0},
		{"reset before it ran", backend.Faults{Reply: backend.FaultResetBefore}, failure.OutcomeUnknown, false, 0},
		{"reset after it ran", backend.Faults{Reply: backend.FaultResetAfter}, failure.OutcomeUnknown, false, 1},
		{"server error", backend.Faults{Reply: backend.FaultServerError}, failure.OutcomeUnknown, false, 1},
		{"truncated", backend.Faults{Reply: backend.FaultTruncated}, failure.OutcomeUnknown, false, 1},
	}
	for _, protocol := range protocols {
		for _, test := range cases {
			t.Run(string(protocol)+"/"+test.name, func(t *testing.T) {
				fixture := newBackendFixture(t, protocol)
				fixture.standin.SetFaults(test.faults)
				err := fixture.call(t.Context())
				if test.kind == "" && err != nil {
					t.Fatal(err)
				}
				if test.kind != "" && (failure.KindOf(err) != test.kind || failure.From(err).NotRun != test.notRun) {
					t.Errorf("error %v, not run %v; want %s, %v", err, failure.From(err).NotRun, test.kind, test.notRun)
				}
				if ran := fixture.standin.Executions()["key-1"]; ran != test.ran {
					t.Errorf("call ran %d times, want %d", ran, test.ran)
				}
			})
		}
	}
}

func (f *backendFixture) call(ctx context.Context) error {
	_, err := f.pool.Call(ctx, backendGroup, backendapi.CallRequest{
		Key: "key-1", Operation: "credit", TimeoutMilliseconds: 60_000, NotAfterUnixMilliseconds: 1 << 60,
	})
	return err
}

func TestBackendClosed(t *testing.T) {
	for _, protocol := range protocols {
		t.Run(string(protocol), func(t *testing.T) {
			fixture := newBackendFixture(t, protocol)
			for range 2 { // a second Close, as by the cleanup, must succeed
				if err := fixture.server.Close(); err != nil {
					t.Fatal(err)
				}
			}
			if got := fixture.search(t, 7); got.Outcome != decision.Failed || !got.NotRun {
				t.Errorf("outcome %v, not run %v; want failed and not run after a refused connection", got.Outcome, got.NotRun)
			}
		})
	}
}
