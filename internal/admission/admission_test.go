package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

func TestAdmitByPriority(t *testing.T) {
	controller := New(Options{MaxInFlight: 4})
	row := &policy.Row{Name: "test", Limits: policy.Limits{Concurrency: 100}}
	var admitted []client.Priority
	for _, priority := range []client.Priority{
		client.PriorityBatch, client.PriorityBatch, client.PriorityBatch, client.PriorityNormal,
		client.PriorityNormal, client.PriorityHigh, client.PriorityCritical, client.PriorityCritical,
	} {
		if _, err := controller.Admit(row, priority, time.Unix(1, 0), time.Second); err == nil {
			admitted = append(admitted, priority)
		}
	}
	want := []client.Priority{client.PriorityBatch, client.PriorityBatch, client.PriorityNormal, client.PriorityCritical}
	if !slices.Equal(admitted, want) {
		t.Errorf("admitted %v, want %v", admitted, want)
	}
}

// TestAdmitProbesUnreachableDeadline guards against refusing all queries of a policy for as long as the
// window of the fastest answer lasts, after one slow answer.
func TestAdmitProbesUnreachableDeadline(t *testing.T) {
	controller := New(Options{})
	row := &policy.Row{Name: "test", Limits: policy.Limits{Concurrency: 100}}
	now := time.Unix(1000, 0)
	admit := func(after time.Duration) (Ticket, bool) {
		ticket, err := controller.Admit(row, client.PriorityNormal, now.Add(after), time.Second)
		return ticket, err == nil
	}
	first, _ := admit(0)
	first.Observe(now, Outcome{Duration: 5 * time.Second, Queried: 1, Answered: 1})
	steps := []struct {
		after    time.Duration
		admitted bool
	}{
		{evidenceLifetime / 2, false},
		{evidenceLifetime, true},
		{evidenceLifetime + time.Millisecond, false},
		{2*evidenceLifetime - time.Millisecond, false},
		{2 * evidenceLifetime, true},
	}
	var probe Ticket
	for _, step := range steps {
		ticket, admitted := admit(step.after)
		if admitted != step.admitted {
			t.Errorf("admitted %v %v after the slow answer, want %v", admitted, step.after, step.admitted)
		}
		if admitted {
			probe = ticket
		}
	}
	probe.Observe(now.Add(2*evidenceLifetime), Outcome{Duration: 50 * time.Millisecond, Queried: 1, Answered: 1})
	if _, admitted := admit(2*evidenceLifetime + time.Millisecond); !admitted {
		t.Error("refused after a fast answer")
	}
}

func TestAdmitByDeadline(t *testing.T) {
	controller := New(Options{})
	row := &policy.Row{Name: "test", Limits: policy.Limits{Concurrency: 100}}
	now := time.Unix(1000, 0)
	ticket, err := controller.Admit(row, client.PriorityNormal, now, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	ticket.Observe(now, Outcome{Duration: 5 * time.Millisecond, Queried: 1, Answered: 1})
	ticket.Release(now)
	_, err = controller.Admit(row, client.PriorityNormal, now, time.Millisecond)
	if known := failure.From(err); err == nil || known.Kind != failure.DeadlineUnreachable || !known.NotRun {
		t.Errorf("error %v, want deadline_unreachable and not run", err)
	}
	if _, err = controller.Admit(row, client.PriorityNormal, now.Add(time.Minute), time.Millisecond); err != nil {
		t.Errorf("an expired answer time still rejects the query: %v", err)
	}
}

func TestLowerPriority(t *testing.T) {
	cases := []struct{ row, query, want client.Priority }{
		{client.PriorityHigh, "", client.PriorityHigh},
		{client.PriorityHigh, client.PriorityCritical, client.PriorityHigh},
		{client.PriorityHigh, client.PriorityBatch, client.PriorityBatch},
	}
	for _, test := range cases {
		if got := LowerPriority(test.row, test.query); got != test.want {
			t.Errorf("query priority %s, policy priority %s: got %s, want %s", test.query, test.row, got, test.want)
		}
	}
}
