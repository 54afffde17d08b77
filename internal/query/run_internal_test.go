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

// allBusyProtocol has only busy replicas.
type allBusyProtocol struct{}

func (allBusyProtocol) acquire(*decision.ShardPlan, decision.Action, []*replica.Handle) replica.AcquireResult {
	return replica.AcquireResult{Busy: true}
}

func (allBusyProtocol) exchange(context.Context, *replica.Handle, *decision.ShardPlan, decision.Action) replica.SubrequestResult {
	panic("exchange called though no replica was acquired")
}

func (allBusyProtocol) hasAlternateSnapshot() bool { return false }

// manualInbox is an Inbox whose clock is set by the test.
type manualInbox struct{ now time.Duration }

func (i *manualInbox) Elapsed() time.Duration { return i.now }
func (i *manualInbox) SetTimer(time.Duration) {}
func (i *manualInbox) Deliver(AttemptResult)  {}
func (i *manualInbox) Next(context.Context) (AttemptResult, WakeReason) {
	return AttemptResult{}, WakeTimer
}
func (i *manualInbox) Ready() int { return 0 }

func (i *manualInbox) Close() {}

// TestRunCancelUnsentAttempt cancels an attempt for which no replica was found, before the
// core has processed that event.
func TestRunCancelUnsentAttempt(t *testing.T) {
	row := &policy.Row{Retry: policy.Retry{Attempts: 2}, Completeness: policy.Completeness{Target: 1}}
	inbox := &manualInbox{}
	shards := make([]decision.ShardPlan, 2)
	plan := decision.Plan{Shards: shards, Policy: row, Deadline: time.Second}
	r := &run{
		service: &Service{options: Options{Driver: goroutineDriver{}}}, protocol: allBusyProtocol{}, plan: plan,
		core: decision.New(plan), context: context.Background(), inbox: inbox, shards: make([]shardRun, len(shards)),
	}
	if r.step(decision.Event{Kind: decision.Started}) {
		t.Fatal("finished though replicas are only busy")
	}
	r.cancel(decision.Action{Kind: decision.Cancel, Shard: 1, Attempt: 0})
	inbox.now = plan.Deadline
	if !r.step(decision.Event{Kind: decision.TimerFired}) || r.reason != decision.DeadlineReached {
		t.Errorf("not finished at the deadline, reason %d", r.reason)
	}
}

// TestForwardOutcomeCongested checks that admission control does not take a few slow or
// unreachable shards for overload.
func TestForwardOutcomeCongested(t *testing.T) {
	const objective = 200 * time.Millisecond
	sentAt := func(at time.Duration) shardRun {
		return shardRun{attempts: []attempt{{handle: &replica.Handle{}, sentAt: at}}}
	}
	onTime, late, unsent := sentAt(time.Millisecond), sentAt(objective/2), shardRun{}
	cases := []struct {
		name        string
		shards      []shardRun
		leastShards int
		congested   bool
	}{
		{"all on time", []shardRun{onTime, onTime, onTime}, 2, false},
		{"one shard unreachable", []shardRun{onTime, unsent, onTime}, 2, false},
		{"one shard late", []shardRun{onTime, late, onTime}, 2, false},
		{"too many late", []shardRun{onTime, late, unsent}, 2, true},
		{"all required", []shardRun{onTime, late, onTime}, 3, true},
		{"plain, on time", []shardRun{onTime}, 0, false},
		{"plain, late", []shardRun{late}, 0, true},
		{"plain, never sent", []shardRun{{attempts: []attempt{{outcome: "no_replica"}}}}, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := decision.Plan{
				Shards: make([]decision.ShardPlan, len(test.shards)), MinShards: test.leastShards, Policy: &policy.Row{},
			}
			forward := &forwardRun{
				run:     &run{plan: plan, core: decision.New(plan), shards: test.shards},
				request: &ForwardRequest{Route: &routing.Route{Objective: objective}},
			}
			forward.halfAnsweredAt = time.Millisecond
			if got := forward.forwardOutcome(objective); got.Congested != test.congested || got.Objective != objective {
				t.Errorf("outcome %+v, want congested %v", got, test.congested)
			}
			forward.halfAnsweredAt = objective * 3 / 5
			if got := forward.forwardOutcome(objective); !got.Congested {
				t.Error("not congested though half of the shards were late")
			}
		})
	}
}

func TestHedgeDelay(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                                 string
		lateAfter, remaining, hedgeLateAfter time.Duration
		want                                 time.Duration
	}{
		{"time left for the hedge", 20 * ms, 105 * ms, 70 * ms, 35 * ms},
		{"not before the reply is late", 60 * ms, 105 * ms, 70 * ms, 60 * ms},
		{"at most half of the remaining time", 4 * ms, 220 * ms, 8 * ms, 110 * ms},
		{"no time left", 20 * ms, -5 * ms, 70 * ms, 20 * ms},
	}
	for _, test := range cases {
		if got := hedgeDelay(test.lateAfter, test.remaining, test.hedgeLateAfter); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// readyInbox is a manualInbox in which results wait.
type readyInbox struct {
	manualInbox
	ready int
}

func (i *readyInbox) Ready() int { return i.ready }

// Guards against ending a query at its deadline with the first of several replies that are
// ready.
func TestRunCountsReadyResultsAtDeadline(t *testing.T) {
	row := &policy.Row{Retry: policy.Retry{Attempts: 2}, Completeness: policy.Completeness{Target: 1}}
	inbox := &readyInbox{}
	plan := decision.Plan{Shards: make([]decision.ShardPlan, 3), Policy: row, Deadline: time.Second}
	r := &run{
		service: &Service{options: Options{Driver: goroutineDriver{}}}, protocol: allBusyProtocol{}, plan: plan,
		core: decision.New(plan), context: context.Background(), inbox: inbox, shards: make([]shardRun, 3),
	}
	r.core.Step(0, decision.Event{Kind: decision.Started})
	inbox.now = 2 * plan.Deadline
	for shard := range 3 {
		inbox.ready = 2 - shard
		finished := r.step(decision.Event{Kind: decision.AttemptCompleted, Shard: shard, Outcome: decision.Success})
		if finished != (shard == 2) {
			t.Errorf("finished %v after reply %d of 3", finished, shard+1)
		}
	}
	if answered := r.core.Answered(); answered != 3 {
		t.Errorf("%d shards answered, want 3", answered)
	}
}

// Guards against a partial answer at the moment at which a node resumes after a pause beyond the
// soft deadline: the reply of the missing shard has arrived and is read a moment later.
func TestRunAwaitsRepliesAfterPause(t *testing.T) {
	const soft, pause = 100 * time.Millisecond, 300 * time.Millisecond
	row := &policy.Row{Retry: policy.Retry{Attempts: 2}, Completeness: policy.Completeness{Target: 1}}
	plan := decision.Plan{Shards: make([]decision.ShardPlan, 3), Policy: row, Deadline: time.Second, SoftDeadline: soft, MinShards: 2}
	inbox := &readyInbox{}
	paused := time.Duration(0)
	r := &run{
		service:  &Service{options: Options{Driver: goroutineDriver{}, PausedTime: func() time.Duration { return paused }}},
		protocol: allBusyProtocol{}, plan: plan, core: decision.New(plan), context: context.Background(), inbox: inbox,
		shards: make([]shardRun, 3),
	}
	r.core.Step(0, decision.Event{Kind: decision.Started})
	paused, inbox.now = pause, soft/2+pause
	for shard := range 3 {
		finished := r.step(decision.Event{Kind: decision.AttemptCompleted, Shard: shard, Outcome: decision.Success})
		if finished != (shard == 2) {
			t.Errorf("finished %v after reply %d of 3", finished, shard+1)
		}
		inbox.now += time.Millisecond
	}
	if answered := r.core.Answered(); answered != 3 {
		t.Errorf("%d shards answered, want 3", answered)
	}
}
