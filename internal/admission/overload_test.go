package admission

import (
	"log/slog"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// overload feeds a controller with an overload for a while: the cuts help, and
// the strain comes back.
func overload(controller *Controller, now time.Time, lasting time.Duration) time.Time {
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
	controller.limit.uncongestedWindows.Store(calibrationWindows)
	const alternate = 4 // steps with strain, then as many without
	step := 0
	for end := now.Add(lasting); now.Before(end); now = now.Add(minCutInterval) {
		strained := step/alternate%2 == 0
		step++
		ticket, err := controller.Admit(row, client.PriorityCritical, now, time.Hour)
		if err != nil {
			continue
		}
		for range minWindowQueries {
			ticket.Observe(now, Outcome{Duration: time.Millisecond, Queried: 1, Answered: 1, Objective: minCutInterval, Congested: strained})
		}
		ticket.Release()
	}
	return now
}

// TestTheTimeToComeBackGrowsWithTheOverload: it is taken to last for as long
// again as it has lasted.
func TestTheTimeToComeBackGrowsWithTheOverload(t *testing.T) {
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
	for _, test := range []struct{ lasting, least, most time.Duration }{
		{3 * minCutInterval, shortest(), time.Second},
		{2 * time.Second, 1500 * time.Millisecond, 2 * time.Second},
		{time.Minute, maxRetryAfter, maxRetryAfter},
	} {
		controller := New(Options{})
		now := overload(controller, time.Unix(1000, 0), test.lasting)
		var refused *failure.Error
		for range minLimit + 1 {
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
		if !controller.Overloaded(now) || controller.Overloaded(now.Add(2*overloadExpiry)) {
			t.Error("loaded is not told, or told for ever")
		}
	}
}

func shortest() time.Duration { return failure.New(failure.Overloaded, "").RetryAfter }

// TestABurstThatIsSoonWorkedOffIsNoOverload: only when half of the queries that
// end in an objective's time are strained, twice in a row, is the limit cut.
func TestABurstThatIsSoonWorkedOffIsNoOverload(t *testing.T) {
	const objective = 250 * time.Millisecond
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(windows, strainedOfTen int) {
		for range windows {
			for i := range 11 {
				now = now.Add(objective / 10)
				limit.observe(now, 50, &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: i < strainedOfTen})
			}
		}
	}
	play(20, 5) // 5 of 11
	if got := limit.forRank(3); got != defaultMaxInFlight {
		t.Errorf("the limit is %d after bursts", got)
	}
	for range 3 {
		play(1, 6)
		play(1, 0)
	}
	if got := limit.forRank(3); got != defaultMaxInFlight {
		t.Errorf("the limit is %d after single windows of strain", got)
	}
	play(overloadWindows, 6)
	if got := limit.forRank(3); got >= 50 {
		t.Errorf("the limit is %d though most queries are strained", got)
	}
}

// TestStrainAfterAStartIsNoOverloadAtOnce: until back ends have been seen without
// strain, it takes longer to tell an overload from a slow start; then no longer.
func TestStrainAfterAStartIsNoOverloadAtOnce(t *testing.T) {
	const objective = 200 * time.Millisecond
	play := func(limit *adaptiveLimit, now time.Time, windows int, strained bool) time.Time {
		for range windows * 11 {
			now = now.Add(objective / 10)
			limit.observe(now, 50, &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: strained})
		}
		return now
	}
	unknown := &adaptiveLimit{logger: slog.New(slog.DiscardHandler)}
	unknown.start(defaultMaxInFlight)
	now := play(unknown, time.Unix(1000, 0), initialOverloadWindows-1, true)
	if got := unknown.forRank(3); got != defaultMaxInFlight {
		t.Errorf("the limit is %d while nothing is known of the back ends", got)
	}
	play(unknown, now, 1, true)
	if got := unknown.forRank(3); got == defaultMaxInFlight {
		t.Error("a strain that lasts is never taken for an overload")
	}
	known := &adaptiveLimit{logger: slog.New(slog.DiscardHandler)}
	known.start(defaultMaxInFlight)
	now = play(known, time.Unix(1000, 0), calibrationWindows, false)
	play(known, now, overloadWindows, true)
	if got := known.forRank(3); got == defaultMaxInFlight {
		t.Error("an overload of back ends that are known is not noticed soon")
	}
}

// TestTheLimitIsWhatTheBackEndsBear: by Little's law, as many queries are in
// flight as end in the time that each may take.
func TestTheLimitIsWhatTheBackEndsBear(t *testing.T) {
	const (
		objective = 200 * time.Millisecond
		rate      = 400 // queries that end in a second
	)
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(length time.Duration, strained bool) {
		for end := now.Add(length); now.Before(end); now = now.Add(time.Second / rate) {
			limit.observe(now, limit.forRank(3), &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: strained})
		}
	}
	play((overloadWindows+1)*objective, true)
	borne := int64(rate * targetLatencyFraction * objective.Seconds())
	if got := limit.forRank(3); got < borne*9/10 || got > borne*11/10 {
		t.Errorf("the limit is %d, the back ends bear %d", got, borne)
	}
	cut := limit.forRank(3)
	play(20*objective, false)
	if got := limit.forRank(3); got < 3*cut {
		t.Errorf("the limit is %d some time after the strain, it was %d", got, cut)
	}
}

// TestCutsThatDoNotHelpAreTakenBack: back ends that are slow for another reason
// stay so however few queries are let in.
func TestCutsThatDoNotHelpAreTakenBack(t *testing.T) {
	const objective = 200 * time.Millisecond
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(length time.Duration) (least int64) {
		least = defaultMaxInFlight
		for end := now.Add(length); now.Before(end); now = now.Add(objective / 40) {
			limit.observe(now, limit.forRank(3), &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: true})
			least = min(least, limit.forRank(3))
		}
		return least
	}
	if least := play((overloadWindows + maxIneffectiveCuts + 2) * objective); least == defaultMaxInFlight {
		t.Error("the limit was never cut")
	}
	if got := limit.forRank(3); got != defaultMaxInFlight {
		t.Errorf("the limit is still %d after %d cuts in vain", got, maxIneffectiveCuts)
	}
	if least := play(overloadExpiry / 2); least != defaultMaxInFlight {
		t.Errorf("the limit is cut to %d again at once", least)
	}
	if least := play(10 * overloadExpiry); least == defaultMaxInFlight {
		t.Error("the limit is never tried again")
	}
}

// TestQueriesFromBeforeACutDoNotCount: a cut cannot help them.
func TestQueriesFromBeforeACutDoNotCount(t *testing.T) {
	const objective = 200 * time.Millisecond
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(length, took time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(objective / 40) {
			limit.observe(now, 50, &Outcome{Duration: took, Queried: 1, Answered: 1, Objective: objective, Congested: true})
		}
	}
	play(overloadWindows*(objective+objective/20), 0)
	cut := limit.forRank(3)
	play(2*objective, 3*objective)
	if got := limit.forRank(3); got != cut || cut == defaultMaxInFlight {
		t.Errorf("the limit is %d, it was %d after the first cut", got, cut)
	}
}

// TestAnOverloadOfOneTargetLeavesTheOthersAlone.
func TestAnOverloadOfOneTargetLeavesTheOthersAlone(t *testing.T) {
	targets := NewControllers(Options{})
	first := targets.ForTarget("a")
	now := overload(first, time.Unix(1000, 0), time.Second)
	if !targets.Overloaded(now) {
		t.Error("the overload is not told")
	}
	if targets.ForTarget("b").Overloaded(now) || targets.ForTarget("a") != first {
		t.Error("targets share a controller, or have several")
	}
	if units := targets.ForTarget("b").limit.units.Load(); units != defaultMaxInFlight*limitScale {
		t.Errorf("the other target's limit is %d", units/limitScale)
	}
}
