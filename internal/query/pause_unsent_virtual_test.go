package query_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
)

// TestSearchPauseBeforeSubRequestsAreWritten suspends the process for longer than the query's
// timeout before its sub-requests have been written. Replicas could not work on them during the
// pause, so that they must have the time that they would have had without it, but not more.
func TestSearchPauseBeforeSubRequestsAreWritten(t *testing.T) {
	const (
		timeout = time.Second // of the policy
		paused  = 3 * time.Second
	)
	cases := []struct {
		name string
		// beforeRun, beforeWrites and beforeLastWrite select what the pause precedes.
		beforeRun, beforeWrites, beforeLastWrite bool
		// tableWait is how long the query waits for the policy table after a pause before its run.
		tableWait time.Duration
		// serviceTime is how long replicas take.
		serviceTime time.Duration
		answered    int
	}{
		{name: "before the run", beforeRun: true, serviceTime: 800 * time.Millisecond, answered: 2},
		{name: "before the run, too slow", beforeRun: true, serviceTime: 1100 * time.Millisecond},
		{name: "before the wait for the table", beforeRun: true, tableWait: 200 * time.Millisecond, serviceTime: 600 * time.Millisecond, answered: 2},
		{name: "before the wait for the table, too slow", beforeRun: true, tableWait: 200 * time.Millisecond, serviceTime: 900 * time.Millisecond},
		{name: "before all writes", beforeWrites: true, serviceTime: 800 * time.Millisecond, answered: 2},
		{name: "before all writes, too slow", beforeWrites: true, serviceTime: 1100 * time.Millisecond},
		{name: "before the last write", beforeLastWrite: true, serviceTime: 800 * time.Millisecond, answered: 2},
	}
	for _, test := range cases {
		runSynctest(t, test.name, func(t *testing.T) {
			f := newFixture(t, []replyFunc{replyAfter(test.serviceTime)}, []replyFunc{replyAfter(test.serviceTime)})
			f.setTimeout(timeout)
			began := time.Now()
			f.options.PausedTime = func() time.Duration { return min(time.Since(began), paused) }
			f.options.WaitFresh = func(context.Context, time.Duration) bool {
				if test.beforeRun {
					time.Sleep(paused + test.tableWait)
				}
				return true
			}
			var dials atomic.Int64
			f.useDial(t, func(ctx context.Context, network, address string) (net.Conn, error) {
				dial := dials.Add(1)
				if test.beforeWrites || test.beforeLastWrite && dial == 2 {
					time.Sleep(paused)
				}
				return f.network.dial(ctx, network, address)
			})
			answer, err := query.NewService(f.options).Search(t.Context(), phraseQuery())
			if answer.Coverage.Answered != test.answered {
				t.Errorf("%d of 2 shards answered after %v, want %d; error %v", answer.Coverage.Answered, time.Since(began), test.answered, err)
			}
			if over := time.Since(began) - paused - timeout; over > 10*time.Millisecond {
				t.Errorf("ended %v after the timeout, not counting the pause", over)
			}
		})
	}
}

// setTimeout changes the policy's timeout.
func (f *fixture) setTimeout(timeout time.Duration) {
	f.row.Wait.Timeout = policy.Duration(timeout)
	f.publishPolicy()
}

// useDial replaces the function that connects to replicas.
func (f *fixture) useDial(t *testing.T, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	t.Helper()
	f.options.Pool = replica.NewPool(replica.PoolOptions{Board: f.board, Random: func() uint64 { return 0 }, Dial: dial})
	t.Cleanup(f.options.Pool.Close)
}
