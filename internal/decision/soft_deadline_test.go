package decision

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/policy"
)

// newSoftDeadlineQuery starts a query of three shards with the plan of withSoftDeadline.
func newSoftDeadlineQuery() *Query {
	query := New(testPlan(3, withSoftDeadline))
	query.Step(0, Event{Kind: Started})
	return query
}

func succeeded(shard int, more bool) Event {
	return Event{Kind: AttemptCompleted, Shard: shard, Outcome: Success, ResultsReady: more}
}

// TestSoftDeadlineProcessesReadyResults guards against a partial answer although the reply of
// the missing shard is ready, which a process that ran late has not read.
func TestSoftDeadlineProcessesReadyResults(t *testing.T) {
	query := newSoftDeadlineQuery()
	late := 60 * ms
	query.Step(late, succeeded(0, true))
	query.Step(late, succeeded(1, true))
	query.Step(late, succeeded(2, false))
	if answered := query.Answered(); answered != 3 {
		t.Errorf("%d of 3 shards answered", answered)
	}
}

// TestNothingSentForReadyResults guards against retries after the soft deadline, which the query
// would not wait for.
func TestNothingSentForReadyResults(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Shed, ConnectFailed} {
		query := New(testPlan(3, func(plan *Plan, row *policy.Row) {
			withSoftDeadline(plan, row)
			plan.Shards[2].Budget = NewTokenBudget(0, 10)
		}))
		query.Step(0, Event{Kind: Started})
		query.Step(10*ms, succeeded(0, false))
		query.Step(60*ms, succeeded(1, true))
		failed := Event{Kind: AttemptCompleted, Shard: 2, Outcome: outcome, ResultsReady: true}
		for _, action := range query.Step(60*ms, failed) {
			if action.Kind == Send {
				t.Errorf("sent after the soft deadline and %v", outcome)
			}
		}
	}
}

// TestResumePostponesSoftDeadline guards against a partial answer at the moment at which a paused
// process resumes.
func TestResumePostponesSoftDeadline(t *testing.T) {
	cases := []struct {
		name              string
		resumedAt, paused time.Duration
		// want is when the query finishes although its last shard has not answered.
		want time.Duration
	}{
		{"soft deadline passed in the pause", 70 * ms, 40 * ms, 90 * ms},
		{"soft deadline not reached", 40 * ms, 30 * ms, 50 * ms},
		{"soft deadline passed before the pause", 95 * ms, 10 * ms, 95 * ms},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			query := newSoftDeadlineQuery()
			query.Step(10*ms, succeeded(0, false))
			query.Resume(test.resumedAt, test.paused, 20*ms)
			finished := finishTime(query, test.resumedAt, succeeded(1, false))
			if finished != test.want {
				t.Errorf("finished at %v, want %v", finished, test.want)
			}
		})
	}
}

// finishTime processes an event and the timers that follow, and returns when the query finishes.
func finishTime(query *Query, now time.Duration, event Event) time.Duration {
	for {
		timer := never
		for _, action := range query.Step(now, event) {
			switch action.Kind {
			case Finish:
				return now
			case SetTimer:
				timer = action.At
			}
		}
		now, event = max(now, timer), Event{Kind: TimerFired}
	}
}
