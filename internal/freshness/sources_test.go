package freshness

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestAsk guards against waiting for sources that do not answer until no time is left for one that
// would, and against asking more sources than needed.
func TestAsk(t *testing.T) {
	const delay, timeout = 50 * time.Millisecond, time.Second
	type source struct {
		takes   time.Duration // 0 means that it does not answer
		answers bool
	}
	silent, failing, quick := source{}, source{time.Millisecond, false}, source{20 * time.Millisecond, true}
	cases := []struct {
		name      string
		sources   []source
		want      bool
		wantTime  time.Duration
		wantAsked int
	}{
		{"none", nil, false, 0, 0},
		{"the first answers", []source{quick, quick}, true, 20 * time.Millisecond, 1},
		{"the first fails", []source{failing, quick, quick}, true, 21 * time.Millisecond, 2},
		{"two are silent", []source{silent, silent, quick}, true, 2*delay + 20*time.Millisecond, 3},
		{"the first is late", []source{{delay + 10*time.Millisecond, true}, silent}, true, delay + 10*time.Millisecond, 2},
		{"all fail", []source{failing, failing}, false, 2 * time.Millisecond, 2},
		{"one is silent, the last fails", []source{silent, failing}, false, timeout, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked atomic.Int32
				var sources []Source
				for _, described := range test.sources {
					sources = append(sources, func(ctx context.Context) bool {
						asked.Add(1)
						if described.takes == 0 {
							<-ctx.Done()
							return false
						}
						time.Sleep(described.takes)
						return described.answers
					})
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				start := time.Now()
				got := Ask(ctx, sources, delay)
				if took := time.Since(start); got != test.want || took != test.wantTime || int(asked.Load()) != test.wantAsked {
					t.Errorf("answered %v after %v by %d sources, want %v after %v by %d",
						got, took, asked.Load(), test.want, test.wantTime, test.wantAsked)
				}
				synctest.Wait()
			})
		})
	}
}
