package query

import (
	"context"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
)

// busyProtocol finds every replica busy.
type busyProtocol struct{}

func (busyProtocol) acquire(*decision.ShardPlan, bool, []*replica.Handle) replica.AcquireResult {
	return replica.AcquireResult{Busy: true}
}

func (busyProtocol) exchange(context.Context, *replica.Handle, *decision.ShardPlan, decision.Action) replica.SubrequestResult {
	panic("nothing is sent")
}

func (busyProtocol) otherSnapshot() bool { return false }

// scriptedInbox is an Inbox whose clock stands where a test puts it.
type scriptedInbox struct{ now time.Duration }

func (i *scriptedInbox) Elapsed() time.Duration { return i.now }
func (i *scriptedInbox) SetTimer(time.Duration) {}
func (i *scriptedInbox) Deliver(AttemptResult)  {}
func (i *scriptedInbox) Next(context.Context) (AttemptResult, WakeReason) {
	return AttemptResult{}, WakeTimer
}
func (i *scriptedInbox) Close() {}

// TestAnAttemptThatWasNotSentIsNotCancelled: the core gives up an attempt for
// which the run has found no replica, and whose failure it was not told yet.
func TestAnAttemptThatWasNotSentIsNotCancelled(t *testing.T) {
	row := &policy.Row{Retry: policy.Retry{Attempts: 2}, Completeness: policy.Completeness{Target: 1}}
	inbox := &scriptedInbox{}
	shards := make([]decision.ShardPlan, 2)
	plan := decision.Plan{Shards: shards, Policy: row, Deadline: time.Second}
	under := &run{
		service: &Service{options: Options{Driver: goroutines{}}}, protocol: busyProtocol{}, plan: plan,
		core: decision.New(plan), context: context.Background(), inbox: inbox, shards: make([]shardRun, len(shards)),
	}
	if under.step(decision.Event{Kind: decision.Started}) {
		t.Fatal("ended though replicas are only busy")
	}
	under.cancel(decision.Action{Kind: decision.Cancel, Shard: 1, Attempt: 0})
	inbox.now = plan.Deadline
	if !under.step(decision.Event{Kind: decision.TimerFired}) || under.reason != decision.DeadlineReached {
		t.Errorf("not ended at the deadline; reason %d", under.reason)
	}
}

// TestAShardOutOfReachIsNoOverload: admission must not refuse requests for a
// shard that the answer can do without.
func TestAShardOutOfReachIsNoOverload(t *testing.T) {
	const objective = 200 * time.Millisecond
	sentAt := func(at time.Duration) shardRun {
		return shardRun{attempts: []attempt{{handle: &replica.Handle{}, sent: at}}}
	}
	onTime, late, never := sentAt(time.Millisecond), sentAt(objective/2), shardRun{}
	cases := []struct {
		name    string
		shards  []shardRun
		least   int
		delayed bool
	}{
		{"all on time", []shardRun{onTime, onTime, onTime}, 2, false},
		{"one shard out of reach", []shardRun{onTime, never, onTime}, 2, false},
		{"one shard late", []shardRun{onTime, late, onTime}, 2, false},
		{"too many late", []shardRun{onTime, late, never}, 2, true},
		{"all are needed", []shardRun{onTime, late, onTime}, 3, true},
		{"plain, on time", []shardRun{onTime}, 0, false},
		{"plain, late", []shardRun{late}, 0, true},
		{"plain, never sent", []shardRun{{attempts: []attempt{{ended: "no_replica"}}}}, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := decision.Plan{
				Shards: make([]decision.ShardPlan, len(test.shards)), MinShards: test.least, Policy: &policy.Row{},
			}
			under := &forwardRun{
				run:        &run{plan: plan, core: decision.New(plan), shards: test.shards},
				forwarding: &ForwardRequest{Route: &routing.Route{Objective: objective}},
			}
			under.halfAt = time.Millisecond
			if got := under.endedWith(objective); got.Congested != test.delayed || got.Objective != objective {
				t.Errorf("ended %+v, want strained %v", got, test.delayed)
			}
			under.halfAt = objective * 3 / 5
			if got := under.endedWith(objective); !got.Congested {
				t.Error("half of the shards were late, and that is no strain")
			}
		})
	}
}

func TestHedgeAfter(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                string
		late, left, another time.Duration
		want                time.Duration
	}{
		{"leaves the hedge its own late time", 20 * ms, 105 * ms, 70 * ms, 35 * ms},
		{"not before the answer is late", 60 * ms, 105 * ms, 70 * ms, 60 * ms},
		{"half of the time where replicas are fast", 4 * ms, 220 * ms, 8 * ms, 110 * ms},
		{"no time left", 20 * ms, -5 * ms, 70 * ms, 20 * ms},
	}
	for _, test := range cases {
		if got := hedgeAfter(test.late, test.left, test.another); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
