package admission

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// overload feeds a controller with signs of overload for a while.
func overload(controller *Controller, now time.Time, lasting time.Duration) time.Time {
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
	for end := now.Add(lasting); now.Before(end); now = now.Add(cutPause) {
		ticket, err := controller.Admit(row, client.PriorityCritical, now, time.Hour)
		if err != nil {
			continue
		}
		ticket.Ended(now, Ended{Took: time.Millisecond, Asked: 1, Answered: 1, Delayed: true})
		ticket.Release()
	}
	return now
}

// TestTheTimeToComeBackGrowsWithTheOverload: it is taken to last for as long
// again as it has lasted.
func TestTheTimeToComeBackGrowsWithTheOverload(t *testing.T) {
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
	for _, test := range []struct{ lasting, least, most time.Duration }{
		{3 * cutPause, shortest(), time.Second},
		{2 * time.Second, 1500 * time.Millisecond, 2 * time.Second},
		{time.Minute, longestRetryAfter, longestRetryAfter},
	} {
		controller := New(Options{})
		now := overload(controller, time.Unix(1000, 0), test.lasting)
		var refused *failure.Error
		for range leastLimit + 1 {
			if _, err := controller.Admit(row, client.PriorityBatch, now, time.Hour); err != nil {
				refused = failure.From(err)
			}
		}
		if refused == nil || refused.Kind != failure.Overloaded || !refused.NotRun {
			t.Fatalf("after %v: refusal %v", test.lasting, refused)
		}
		if refused.RetryAfter < test.least || refused.RetryAfter > test.most {
			t.Errorf("after %v: come back after %v, want from %v to %v", test.lasting, refused.RetryAfter, test.least, test.most)
		}
		if !controller.Loaded(now) || controller.Loaded(now.Add(2*calmAfter)) {
			t.Error("loaded is not told, or told for ever")
		}
	}
}

func shortest() time.Duration { return failure.New(failure.Overloaded, "").RetryAfter }

// TestABurstThatIsSoonWorkedOffIsNoOverload: only when nothing was on time for
// as long as the patience is the limit cut.
func TestABurstThatIsSoonWorkedOffIsNoOverload(t *testing.T) {
	const patience = 250 * time.Millisecond
	var limit adaptiveLimit
	limit.start(defaultTotal)
	now := time.Unix(1000, 0)
	ended := func(delayed bool) {
		limit.observe(now, 50, &Ended{Took: time.Millisecond, Asked: 1, Answered: 1, Delayed: delayed, Patience: patience})
	}
	for range 10 {
		ended(false)
		for range 10 {
			now = now.Add(patience / 12)
			ended(true)
		}
	}
	if got := limit.units.Load(); got != defaultTotal*limitScale {
		t.Errorf("the limit is %d after bursts", got/limitScale)
	}
	now = now.Add(patience)
	ended(true)
	if got := limit.units.Load(); got >= 50*limitScale {
		t.Errorf("the limit is %d though nothing is on time", got/limitScale)
	}
}

// TestAnOverloadOfOneTargetLeavesTheOthersAlone.
func TestAnOverloadOfOneTargetLeavesTheOthersAlone(t *testing.T) {
	targets := NewTargets(Options{})
	first := targets.Of("a")
	now := overload(first, time.Unix(1000, 0), time.Second)
	if !targets.Loaded(now) {
		t.Error("the overload is not told")
	}
	if targets.Of("b").Loaded(now) || targets.Of("a") != first {
		t.Error("targets share a controller, or have several")
	}
	if units := targets.Of("b").limit.units.Load(); units != defaultTotal*limitScale {
		t.Errorf("the other target's limit is %d", units/limitScale)
	}
}
