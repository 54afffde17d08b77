package decision

import (
	"testing"

	"github.com/doorpond/doorpond/internal/policy"
)

// TestAHedgeThatWasNotSentWaitsForTheBudget: beside an attempt in flight, a hedge that reached
// nobody is due again at once; when the budget denies it then, time has to pass before it is
// asked again. (The timer was set to the same moment, and fired until the first attempt
// ended.)
func TestAHedgeThatWasNotSentWaitsForTheBudget(t *testing.T) {
	query := New(testPlan(1, func(plan *Plan, row *policy.Row) {
		plan.Shards[0].HedgeDelay = 10 * ms
		plan.Shards[0].Budget = NewTokenBudget(0, 1) // for one hedge
		row.Retry.Attempts = 2
	}))
	query.Step(0, Event{Kind: Started})
	query.Step(10*ms, Event{Kind: TimerFired})
	if query.shards[0].sent != 2 {
		t.Fatalf("%d sub-requests, want a hedge beside the first", query.shards[0].sent)
	}
	query.Step(12*ms, Event{Kind: AttemptCompleted, Shard: 0, Attempt: 1, Outcome: ConnectFailed})
	for _, action := range query.Step(12*ms, Event{Kind: TimerFired}) {
		if action.Kind == SetTimer && action.At <= 12*ms {
			t.Errorf("the timer is set to %v at 12ms", action.At)
		}
	}
	if query.shards[0].sent != 2 {
		t.Errorf("%d sub-requests, though the budget is spent", query.shards[0].sent)
	}
}
