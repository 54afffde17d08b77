package decision

import (
	"testing"

	"github.com/doorpond/doorpond/internal/policy"
)

// A hedge that failed to connect is due again at once. If the budget then denies
// it, the timer must not be set to the same time again, which would make it fire in
// a busy loop.
func TestUnsentHedgeWaitsForBudget(t *testing.T) {
	query := New(testPlan(1, func(plan *Plan, row *policy.Row) {
		plan.Shards[0].HedgeDelay = 10 * ms
		plan.Shards[0].Budget = NewTokenBudget(0, 1) // for one hedge
		row.Retry.Attempts = 2
	}))
	query.Step(0, Event{Kind: Started})
	query.Step(10*ms, Event{Kind: TimerFired})
	if query.shards[0].sent != 2 {
		t.Fatalf("%d sub-requests, want a hedge and the first attempt", query.shards[0].sent)
	}
	query.Step(12*ms, Event{Kind: AttemptCompleted, Shard: 0, Attempt: 1, Outcome: ConnectFailed})
	for _, action := range query.Step(12*ms, Event{Kind: TimerFired}) {
		if action.Kind == SetTimer && action.At <= 12*ms {
			t.Errorf("timer set to %v at 12ms", action.At)
		}
	}
	if query.shards[0].sent != 2 {
		t.Errorf("%d sub-requests with an exhausted budget, want 2", query.shards[0].sent)
	}
}
