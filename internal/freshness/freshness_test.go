package freshness

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestAfterAPauseTheTableIsTrustedOnlyOnceConfirmed(t *testing.T) {
	cases := []struct {
		name    string
		gap     time.Duration
		answers bool
		// confirmAfter is how long each confirmation takes.
		confirmAfter time.Duration
		freshAtOnce  bool
		freshAfter   time.Duration
	}{
		{"a short gap", time.Second, true, 0, true, 0},
		{"a pause, a peer answers", time.Minute, true, 300 * time.Millisecond, false, 600 * time.Millisecond},
		{"a pause, nobody answers", time.Minute, false, time.Second, false, 4 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var skipped atomic.Int64
				monitor := New(Options{
					Now: func() time.Duration { return time.Since(start) + time.Duration(skipped.Load()) },
					Confirm: func(context.Context) bool {
						time.Sleep(test.confirmAfter)
						return test.answers
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = monitor.Run(ctx) }()
				time.Sleep(time.Second)
				if !monitor.Fresh() {
					t.Fatal("not fresh before the gap")
				}
				skipped.Add(int64(test.gap))
				if got := monitor.Fresh(); got != test.freshAtOnce {
					t.Errorf("fresh right after the gap: %v", got)
				}
				time.Sleep(readInterval + time.Millisecond)
				if got := monitor.Fresh(); got != test.freshAtOnce {
					t.Errorf("fresh after the next reading: %v", got)
				}
				time.Sleep(test.freshAfter)
				if !monitor.Fresh() {
					t.Error("never fresh again")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
