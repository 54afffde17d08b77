package elapsed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// paused is a clock that jumps, as that of a process does which was stopped.
type paused struct {
	start   time.Time
	skipped atomic.Int64
}

func (p *paused) now() time.Duration { return time.Since(p.start) + time.Duration(p.skipped.Load()) }

func (p *paused) pause(lasting time.Duration) { p.skipped.Add(int64(lasting)) }

// startMeter runs a Meter on a clock that can jump until the test ends.
func startMeter(t *testing.T) (*Meter, *paused) {
	t.Helper()
	clock := &paused{start: time.Now()}
	meter := New(Config{Now: clock.now})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = meter.Run(ctx) }()
	t.Cleanup(cancel)
	return meter, clock
}

func TestAPauseIsNotTimeThatTheProcessHasRun(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			meter, clock := startMeter(t)
			time.Sleep(time.Second + readInterval/2)
			before := meter.ActiveTime()
			clock.pause(pause)
			if ran := meter.ActiveTime() - before; ran > maxActivePerReading {
				t.Errorf("right after a pause of %v it has run for %v of it", pause, ran)
			}
			if meter.RanWithoutPause(readInterval) != (pause == 0) {
				t.Errorf("steady right after a pause of %v: %v", pause, pause != 0)
			}
			time.Sleep(time.Second)
			if ran := meter.ActiveTime() - before; ran < time.Second || ran > time.Second+maxActivePerReading {
				t.Errorf("ran %v in a second after a pause of %v", ran, pause)
			}
			if lost := meter.PausedTime(); lost < pause-maxActivePerReading || lost > pause {
				t.Errorf("lost %v by a pause of %v", lost, pause)
			}
			if !meter.RanWithoutPause(time.Second-readInterval) || meter.RanWithoutPause(time.Minute) {
				t.Errorf("a second after a pause of %v it does not count as steady for just that", pause)
			}
		})
	}
}

// TestATimeoutIsOfTimeThatTheProcessRuns: a pause does not use it up.
func TestATimeoutIsOfTimeThatTheProcessRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter, clock := startMeter(t)
		time.Sleep(readInterval / 2)
		ctx, cancel := meter.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(500 * time.Millisecond)
		clock.pause(time.Minute)
		time.Sleep(300 * time.Millisecond)
		if ctx.Err() != nil {
			t.Error("a pause has ended it")
		}
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		if ctx.Err() == nil || context.Cause(ctx) != context.DeadlineExceeded {
			t.Errorf("after its time it has ended by %v", context.Cause(ctx))
		}
	})
}

func TestWithoutAMeterAllTimeIsRun(t *testing.T) {
	var meter *Meter
	synctest.Test(t, func(t *testing.T) {
		before := meter.ActiveTime()
		time.Sleep(time.Minute)
		if ran := meter.ActiveTime() - before; ran != time.Minute || meter.PausedTime() != 0 || !meter.RanWithoutPause(time.Hour) {
			t.Errorf("ran %v, lost %v", ran, meter.PausedTime())
		}
	})
}

func TestTheClockOfTheMachineGoesOn(t *testing.T) {
	before := Monotonic()
	time.Sleep(20 * time.Millisecond)
	if gone := Monotonic() - before; gone < 20*time.Millisecond {
		t.Errorf("%v in 20 ms", gone)
	}
}

// BenchmarkLost: it is asked at each step of a query. 29 ns; by the clock that counts a
// suspension it takes a system call, and 166 ns (BenchmarkRan).
func BenchmarkLost(b *testing.B) {
	meter := New(Config{})
	for b.Loop() {
		meter.PausedTime()
	}
}

func BenchmarkRan(b *testing.B) {
	meter := New(Config{})
	for b.Loop() {
		meter.ActiveTime()
	}
}
