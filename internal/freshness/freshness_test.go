package freshness

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
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
