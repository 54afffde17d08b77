package elapsed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pausableClock is a clock that can jump, as seen by a process that was stopped.
type pausableClock struct {
	start   time.Time
	skipped atomic.Int64
}

func (c *pausableClock) now() time.Duration {
	return time.Since(c.start) + time.Duration(c.skipped.Load())
}

func (c *pausableClock) pause(length time.Duration) { c.skipped.Add(int64(length)) }

// startMeter runs a Meter on a pausable clock until the test ends.
func startMeter(t *testing.T) (*Meter, *pausableClock) {
	t.Helper()
	clock := &pausableClock{start: time.Now()}
	meter := New(Config{Now: clock.now})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = meter.Run(ctx) }()
	t.Cleanup(cancel)
	return meter, clock
}

func TestMeterPause(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			meter, clock := startMeter(t)
			time.Sleep(time.Second + readInterval/2)
			before := meter.ActiveTime()
			clock.pause(pause)
			if active := meter.ActiveTime() - before; active > maxActivePerReading {
				t.Errorf("active time %v right after a pause of %v, want at most %v", active, pause, maxActivePerReading)
			}
			if meter.RanWithoutPause(readInterval) != (pause == 0) {
				t.Errorf("ran without pause right after a pause of %v: %v", pause, pause != 0)
			}
			time.Sleep(time.Second)
			if active := meter.ActiveTime() - before; active < time.Second || active > time.Second+maxActivePerReading {
				t.Errorf("active time %v one second after a pause of %v", active, pause)
			}
			if paused := meter.PausedTime(); paused < pause-maxActivePerReading || paused > pause {
				t.Errorf("paused time %v after a pause of %v", paused, pause)
			}
			if !meter.RanWithoutPause(time.Second-readInterval) || meter.RanWithoutPause(time.Minute) {
				t.Errorf("one second after a pause of %v the time without pause is not about one second", pause)
			}
		})
	}
}

func TestWithTimeoutExcludesPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter, clock := startMeter(t)
		time.Sleep(readInterval / 2)
		ctx, cancel := meter.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(500 * time.Millisecond)
		clock.pause(time.Minute)
		time.Sleep(300 * time.Millisecond)
		if ctx.Err() != nil {
			t.Error("context ended before its timeout of active time")
		}
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		if ctx.Err() == nil || context.Cause(ctx) != context.DeadlineExceeded {
			t.Errorf("cause %v after the timeout, want %v", context.Cause(ctx), context.DeadlineExceeded)
		}
	})
}

// TestPauseBetweenClockReadings guards against missing a pause, or counting it twice, until the
// next reading if it falls between the readings of the two clocks.
func TestPauseBetweenClockReadings(t *testing.T) {
	const pause = time.Minute
	for _, test := range []struct {
		name          string
		before, after time.Duration
	}{{"before the clock is read", pause, 0}, {"after the clock is read", 0, pause}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, pauseNext := time.Now(), false
				meter := New(Config{Now: func() time.Duration {
					paused := pauseNext
					pauseNext = false
					if paused {
						time.Sleep(test.before)
					}
					now := time.Since(start)
					if paused {
						time.Sleep(test.after)
					}
					return now
				}})
				before := meter.PausedTime()
				pauseNext = true
				meter.read()
				if paused := meter.PausedTime() - before; paused < pause-maxActivePerReading || paused > pause {
					t.Errorf("paused time %v after a pause of %v", paused, pause)
				}
			})
		})
	}
}

// TestEarlierPausedTime tests that a pause is part of the earlier paused time after one to two
// seconds of active time, however long it was.
func TestEarlierPausedTime(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			meter, clock := startMeter(t)
			time.Sleep(5*markInterval + readInterval/2)
			before := meter.PausedTime()
			if earlier := meter.EarlierPausedTime(); earlier != before {
				t.Errorf("earlier paused time %v without a pause, want %v", earlier, before)
			}
			clock.pause(pause)
			time.Sleep(markInterval - 2*readInterval)
			if earlier := meter.EarlierPausedTime(); earlier != before {
				t.Errorf("earlier paused time %v right after a pause of %v, want %v", earlier, pause, before)
			}
			time.Sleep(markInterval + 4*readInterval)
			if earlier, paused := meter.EarlierPausedTime(), meter.PausedTime(); earlier != paused {
				t.Errorf("earlier paused time %v two seconds after a pause of %v, want %v", earlier, pause, paused)
			}
		})
	}
}

// TestEarlierPausedTimeAtEachPhase tests that a pause is not part of the earlier paused time until one
// second of active time has passed, whenever it falls between two marks.
func TestEarlierPausedTimeAtEachPhase(t *testing.T) {
	for phase := time.Duration(0); phase < 2*markInterval; phase += readInterval {
		synctest.Test(t, func(t *testing.T) {
			meter, clock := startMeter(t)
			time.Sleep(5*markInterval + readInterval/2 + phase)
			before := meter.PausedTime()
			clock.pause(time.Minute)
			time.Sleep(markInterval - 2*readInterval)
			if earlier := meter.EarlierPausedTime(); earlier != before {
				t.Errorf("pause %v after a mark: earlier paused time %v, want %v", phase, earlier, before)
			}
		})
	}
}

func TestNilMeter(t *testing.T) {
	var meter *Meter
	synctest.Test(t, func(t *testing.T) {
		before := meter.ActiveTime()
		time.Sleep(time.Minute)
		if active := meter.ActiveTime() - before; active != time.Minute || meter.PausedTime() != 0 || !meter.RanWithoutPause(time.Hour) {
			t.Errorf("active time %v, paused time %v after a minute, want 1m0s and 0s", active, meter.PausedTime())
		}
	})
}

func TestMonotonic(t *testing.T) {
	before := Monotonic()
	time.Sleep(20 * time.Millisecond)
	if advanced := Monotonic() - before; advanced < 20*time.Millisecond {
		t.Errorf("clock advanced by %v in 20 ms", advanced)
	}
}

func BenchmarkPausedTime(b *testing.B) {
	meter := New(Config{})
	for b.Loop() {
		meter.PausedTime()
	}
}

func BenchmarkActiveTime(b *testing.B) {
	meter := New(Config{})
	for b.Loop() {
		meter.ActiveTime()
	}
}
