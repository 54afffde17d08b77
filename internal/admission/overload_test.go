package admission

import (
	"log/slog"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// overload feeds a controller for a while with alternating congestion, so that its
// cuts appear to help and the overload continues. It returns the time at the end.
func overload(controller *Controller, now time.Time, lasting time.Duration) time.Time {
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
	controller.limit.uncongestedWindows.Store(calibrationWindows)
	const period = 4 // steps with congestion, then as many without
	step := 0
	for end := now.Add(lasting); now.Before(end); now = now.Add(minCutInterval) {
		congested := step/period%2 == 0
		step++
		ticket, err := controller.Admit(row, client.PriorityCritical, now, time.Hour)
		if err != nil {
			continue
		}
		for range minWindowQueries {
			ticket.Observe(now, Outcome{Duration: time.Millisecond, Queried: 1, Answered: 1, Objective: minCutInterval, Congested: congested})
		}
		ticket.Release(now)
	}
	return now
}

func TestRetryAfterGrowsWithOverload(t *testing.T) {
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
	for _, test := range []struct{ lasting, min, max time.Duration }{
		{3 * minCutInterval, minRetryAfter(), time.Second},
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
			t.Fatalf("after an overload of %v: error %v, want overloaded and not run", test.lasting, refused)
		}
		if refused.RetryAfter < test.min || refused.RetryAfter > test.max {
			t.Errorf("after an overload of %v: retry after %v, want %v to %v", test.lasting, refused.RetryAfter, test.min, test.max)
		}
		if !controller.Overloaded(now) || controller.Overloaded(now.Add(2*overloadExpiry)) {
			t.Error("overload not reported, or reported after it expired")
		}
	}
}

func minRetryAfter() time.Duration { return failure.New(failure.Overloaded, "").RetryAfter }

// A single congested window, or windows in which less than half of the queries are
// congested, must not cut the limit.
func TestLimitIgnoresShortBursts(t *testing.T) {
	const objective = 250 * time.Millisecond
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(windows, congestedOfEleven int) {
		for range windows {
			for i := range 11 {
				now = now.Add(objective / 10)
				limit.observe(now, 50, &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: i < congestedOfEleven})
			}
		}
	}
	play(20, 5)
	if got := limit.forRank(3); got != defaultMaxInFlight {
		t.Errorf("limit %d after windows with 5 of 11 queries congested, want %d", got, defaultMaxInFlight)
	}
	for range 3 {
		play(1, 6)
		play(1, 0)
	}
	if got := limit.forRank(3); got != defaultMaxInFlight {
		t.Errorf("limit %d after single overloaded windows, want %d", got, defaultMaxInFlight)
	}
	play(overloadWindows, 6)
	if got := limit.forRank(3); got >= 50 {
		t.Errorf("limit %d after %d overloaded windows, want less than 50", got, overloadWindows)
	}
}

// Before calibration an overload takes longer to detect, so that a slow start does not
// reject queries.
func TestLimitCalibration(t *testing.T) {
	const objective = 200 * time.Millisecond
	play := func(limit *adaptiveLimit, now time.Time, windows int, congested bool) time.Time {
		for range windows * 11 {
			now = now.Add(objective / 10)
			limit.observe(now, 50, &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: congested})
		}
		return now
	}
	uncalibrated := &adaptiveLimit{logger: slog.New(slog.DiscardHandler)}
	uncalibrated.start(defaultMaxInFlight)
	now := play(uncalibrated, time.Unix(1000, 0), initialOverloadWindows-1, true)
	if got := uncalibrated.forRank(3); got != defaultMaxInFlight {
		t.Errorf("limit %d after %d overloaded windows before calibration, want %d", got, initialOverloadWindows-1, defaultMaxInFlight)
	}
	play(uncalibrated, now, 1, true)
	if got := uncalibrated.forRank(3); got == defaultMaxInFlight {
		t.Errorf("limit not cut after %d overloaded windows before calibration", initialOverloadWindows)
	}
	calibrated := &adaptiveLimit{logger: slog.New(slog.DiscardHandler)}
	calibrated.start(defaultMaxInFlight)
	now = play(calibrated, time.Unix(1000, 0), calibrationWindows, false)
	play(calibrated, now, overloadWindows, true)
	if got := calibrated.forRank(3); got == defaultMaxInFlight {
		t.Errorf("limit not cut after %d overloaded windows after calibration", overloadWindows)
	}
}

// By Little's law, the capacity is the completion rate times the target duration.
func TestLimitConvergesToCapacity(t *testing.T) {
	const (
		objective = 200 * time.Millisecond
		rate      = 400 // completed queries per second
	)
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(length time.Duration, congested bool) {
		for end := now.Add(length); now.Before(end); now = now.Add(time.Second / rate) {
			limit.observe(now, limit.forRank(3), &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: congested})
		}
	}
	play((overloadWindows+1)*objective, true)
	capacity := int64(rate * targetLatencyFraction * objective.Seconds())
	if got := limit.forRank(3); got < capacity*9/10 || got > capacity*11/10 {
		t.Errorf("limit %d, want the capacity of %d within 10%%", got, capacity)
	}
	reduced := limit.forRank(3)
	play(20*objective, false)
	if got := limit.forRank(3); got < 3*reduced {
		t.Errorf("limit %d after the congestion, want at least three times %d", got, reduced)
	}
}

// Back ends that are slow for a reason other than load stay slow after cuts; the limit
// must return to its maximum and be cut again only later.
func TestLimitSuspendsIneffectiveCuts(t *testing.T) {
	const objective = 200 * time.Millisecond
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(length time.Duration) (lowest int64) {
		lowest = defaultMaxInFlight
		for end := now.Add(length); now.Before(end); now = now.Add(objective / 40) {
			limit.observe(now, limit.forRank(3), &Outcome{Queried: 1, Answered: 1, Objective: objective, Congested: true})
			lowest = min(lowest, limit.forRank(3))
		}
		return lowest
	}
	if lowest := play((overloadWindows + maxIneffectiveCuts + 2) * objective); lowest == defaultMaxInFlight {
		t.Error("limit was never cut")
	}
	if got := limit.forRank(3); got != defaultMaxInFlight {
		t.Errorf("limit %d after %d ineffective cuts, want %d", got, maxIneffectiveCuts, defaultMaxInFlight)
	}
	if lowest := play(overloadExpiry / 2); lowest != defaultMaxInFlight {
		t.Errorf("limit cut to %d while cuts are suspended", lowest)
	}
	if lowest := play(10 * overloadExpiry); lowest == defaultMaxInFlight {
		t.Error("limit not cut after the suspension")
	}
}

func TestLimitIgnoresQueriesBeforeCut(t *testing.T) {
	const objective = 200 * time.Millisecond
	limit := newLimit(defaultMaxInFlight)
	now := time.Unix(1000, 0)
	play := func(length, took time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(objective / 40) {
			limit.observe(now, 50, &Outcome{Duration: took, Queried: 1, Answered: 1, Objective: objective, Congested: true})
		}
	}
	play(overloadWindows*(objective+objective/20), 0)
	reduced := limit.forRank(3)
	play(2*objective, 3*objective)
	if got := limit.forRank(3); got != reduced || reduced == defaultMaxInFlight {
		t.Errorf("limit %d, want %d as after the first cut, and less than %d", got, reduced, defaultMaxInFlight)
	}
}

func TestControllersIsolateTargets(t *testing.T) {
	controllers := NewControllers(Options{})
	first := controllers.ForTarget("a")
	now := overload(first, time.Unix(1000, 0), time.Second)
	if !controllers.Overloaded(now) {
		t.Error("overload of a target not reported")
	}
	if controllers.ForTarget("b").Overloaded(now) || controllers.ForTarget("a") != first {
		t.Error("targets share a controller, or a target has several")
	}
	if units := controllers.ForTarget("b").limit.units.Load(); units != defaultMaxInFlight*limitScale {
		t.Errorf("limit of the other target %d, want %d", units/limitScale, defaultMaxInFlight)
	}
}
