package freshness

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed"
)

func TestFreshAfterPause(t *testing.T) {
	cases := []struct {
		name      string
		gap       time.Duration
		confirmed bool
		// confirmDuration is how long each confirmation takes.
		confirmDuration  time.Duration
		freshImmediately bool
		freshAfter       time.Duration
	}{
		{"short gap", time.Second, true, 0, true, 0},
		{"confirmed", time.Minute, true, 300 * time.Millisecond, false, 600 * time.Millisecond},
		{"not confirmed", time.Minute, false, time.Second, false, 4 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var skipped atomic.Int64
				monitor := New(Options{
					Now: func() time.Duration { return time.Since(start) + time.Duration(skipped.Load()) },
					Confirm: func(context.Context) bool {
						time.Sleep(test.confirmDuration)
						return test.confirmed
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = monitor.Run(ctx) }()
				time.Sleep(time.Second)
				if !monitor.Fresh() {
					t.Fatal("not fresh before the gap")
				}
				skipped.Add(int64(test.gap))
				if got := monitor.Fresh(); got != test.freshImmediately {
					t.Errorf("right after the gap: fresh %v, want %v", got, test.freshImmediately)
				}
				time.Sleep(readInterval + time.Millisecond)
				if got := monitor.Fresh(); got != test.freshImmediately {
					t.Errorf("after the next reading: fresh %v, want %v", got, test.freshImmediately)
				}
				time.Sleep(test.freshAfter)
				if !monitor.Fresh() {
					t.Errorf("not fresh %v after the next reading", test.freshAfter)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestWaitFresh guards against rejecting queries after a pause although the confirmation needs
// one round trip, and against waiting beyond their limit.
func TestWaitFresh(t *testing.T) {
	const limit = 500 * time.Millisecond
	cases := []struct {
		name            string
		gap             time.Duration
		confirmDuration time.Duration
		want            bool
		wantWait        time.Duration
	}{
		{"no pause", 0, time.Minute, true, 0},
		{"confirmed in time", time.Minute, limit / 5, true, limit / 5},
		{"not confirmed in time", time.Minute, 2 * limit, false, limit},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var skipped atomic.Int64
				monitor := New(Options{
					Now: func() time.Duration { return time.Since(start) + time.Duration(skipped.Load()) },
					Confirm: func(context.Context) bool {
						time.Sleep(test.confirmDuration)
						return true
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = monitor.Run(ctx) }()
				time.Sleep(readInterval + time.Millisecond)
				skipped.Add(int64(test.gap))
				asked := time.Now()
				got := monitor.WaitFresh(ctx, limit)
				if took := time.Since(asked); got != test.want || took != test.wantWait {
					t.Errorf("fresh %v after %v, want %v after %v", got, took, test.want, test.wantWait)
				}
				cancel()
				time.Sleep(test.confirmDuration)
				synctest.Wait()
			})
		})
	}
}

// TestWaitFreshExcludesPauses guards against rejecting queries with time to spare, as a further
// pause during the confirmation exceeds the limit of their wait.
func TestWaitFreshExcludesPauses(t *testing.T) {
	const limit, pause = 5 * time.Second, 5500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		// the meter and the monitor do not run in a pause
		meter := elapsed.New(elapsed.Config{Now: now})
		confirmed := make(chan struct{})
		monitor := New(Options{Now: now, Meter: meter, Confirm: func(context.Context) bool {
			<-confirmed
			return true
		}})
		time.Sleep(pause)
		result := make(chan bool, 1)
		go func() { result <- monitor.WaitFresh(t.Context(), limit) }()
		synctest.Wait()
		time.Sleep(pause)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = monitor.Run(ctx) }()
		go func() { _ = meter.Run(ctx) }()
		time.Sleep(readInterval)
		close(confirmed)
		if !<-result {
			t.Error("not fresh, though the table was confirmed as soon as the process ran")
		}
		cancel()
		synctest.Wait()
	})
}

// TestAttemptsExcludePauses guards against using the table unconfirmed, as pauses use up the time
// of each confirmation attempt.
func TestAttemptsExcludePauses(t *testing.T) {
	const pause = pauseThreshold - 100*time.Millisecond // too short to be detected
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		meter := elapsed.New(elapsed.Config{Now: now})
		attempts, aborted := 0, 0
		monitor := New(Options{Now: now, Meter: meter, Confirm: func(ctx context.Context) bool {
			attempts++
			time.Sleep(pause) // the answer arrives in a pause
			if ctx.Err() != nil {
				aborted++
			}
			return ctx.Err() == nil
		}})
		time.Sleep(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = monitor.Run(ctx) }()
		if !monitor.WaitFresh(t.Context(), time.Minute) || aborted > 0 || attempts != 1 {
			t.Errorf("%d of %d confirmation attempts aborted", aborted, attempts)
		}
		cancel()
		synctest.Wait()
	})
}

// TestPauseDuringConfirmation guards against taking an answer from before a second pause for a
// confirmation after it.
func TestPauseDuringConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var skipped atomic.Int64
		var confirmations atomic.Int32
		monitor := New(Options{
			Now: func() time.Duration { return time.Since(start) + time.Duration(skipped.Load()) },
			Confirm: func(context.Context) bool {
				if confirmations.Add(1) == 1 {
					skipped.Add(int64(time.Minute))
				}
				time.Sleep(time.Millisecond)
				return true
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = monitor.Run(ctx) }()
		time.Sleep(readInterval + time.Millisecond)
		skipped.Add(int64(time.Minute))
		if !monitor.WaitFresh(ctx, time.Second) || confirmations.Load() < 2 {
			t.Errorf("fresh after %d confirmations, want 2 or more", confirmations.Load())
		}
		cancel()
		synctest.Wait()
	})
}

// TestPauseWithinReading guards against missing a pause that falls between the two readings of the
// clock within read.
func TestPauseWithinReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var skipped atomic.Int64
		var confirmations atomic.Int32
		monitor := New(Options{
			Now: func() time.Duration {
				return time.Since(start) + time.Duration(skipped.Load())
			},
			Confirm: func(context.Context) bool { confirmations.Add(1); return true },
		})
		calls := 0
		monitor.options.Now = func() time.Duration {
			calls++
			if calls == 2 {
				skipped.Add(int64(time.Minute)) // the process is stopped after paused()
			}
			return time.Since(start) + time.Duration(skipped.Load())
		}
		monitor.read(t.Context())
		synctest.Wait()
		if monitor.Fresh() && confirmations.Load() == 0 {
			t.Error("fresh without a confirmation after a pause of a minute")
		}
	})
}

// TestAttemptsThatFailAtOnce guards against using the table unconfirmed within milliseconds, as all
// attempts fail at once: peers that were paused too refuse, and the store's connection is reset.
func TestAttemptsThatFailAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var skipped atomic.Int64
		var resumedAt atomic.Int64
		monitor := New(Options{
			Now: func() time.Duration { return time.Since(start) + time.Duration(skipped.Load()) },
			Confirm: func(context.Context) bool {
				// the store answers 100 ms after the pause
				return time.Since(start)-time.Duration(resumedAt.Load()) >= 100*time.Millisecond
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = monitor.Run(ctx) }()
		time.Sleep(readInterval + time.Millisecond)
		skipped.Add(int64(time.Minute))
		resumedAt.Store(int64(time.Since(start)))
		began := time.Now()
		monitor.WaitFresh(ctx, 5*time.Second)
		if waited := time.Since(began); waited < 100*time.Millisecond {
			t.Errorf("table used %v after the pause, before the store could be asked", waited)
		}
		cancel()
		synctest.Wait()
	})
}
