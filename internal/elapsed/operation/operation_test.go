package operation

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// clock can jump, as seen by a process that was paused.
type clock struct{ skipped atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.skipped.Load())) }

func (c *clock) pause(duration time.Duration) { c.skipped.Add(int64(duration)) }

func TestDialExcludesPauses(t *testing.T) {
	const timeout = 5 * time.Second
	failed := &net.OpError{Op: "dial", Err: errors.New("refused")}
	timedOut := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	// attempt is one dialing: it takes a while, in which the process is paused.
	type attempt struct {
		active, paused time.Duration
		err            error
	}
	cases := []struct {
		name     string
		attempts []attempt
		want     error
	}{
		{"connected", []attempt{{time.Second, 0, nil}}, nil},
		{"refused", []attempt{{time.Second, 0, failed}}, failed},
		{"timed out", []attempt{{timeout, 0, timedOut}}, timedOut},
		{"connected after a pause", []attempt{{time.Second, timeout, timedOut}, {time.Second, 0, nil}}, nil},
		{"connected after two pauses", []attempt{{time.Second, timeout, timedOut}, {time.Second, timeout, timedOut}, {time.Second, 0, nil}}, nil},
		{"refused after a pause", []attempt{{time.Second, timeout, timedOut}, {time.Second, 0, failed}}, failed},
		{"timed out after a pause", []attempt{{time.Second, timeout, timedOut}, {timeout - time.Second, 0, timedOut}}, timedOut},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := &clock{}
				dialed := 0
				dial := dialWith(clock.now, timeout, func(context.Context, string, string, time.Duration) (net.Conn, error) {
					attempt := test.attempts[dialed]
					dialed++
					time.Sleep(attempt.active)
					clock.pause(attempt.paused)
					return nil, attempt.err
				})
				if _, err := dial(t.Context(), "tcp", "address"); err != test.want || dialed != len(test.attempts) {
					t.Errorf("error %v after %d attempts, want %v after %d", err, dialed, test.want, len(test.attempts))
				}
			})
		})
	}
}

func TestWithTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(time.Second - time.Nanosecond)
		if ctx.Err() != nil {
			t.Error("context ended before its timeout")
		}
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		if cause := context.Cause(ctx); cause != context.DeadlineExceeded {
			t.Errorf("cause %v after the timeout, want %v", cause, context.DeadlineExceeded)
		}
	})
}

func TestStopwatchExcludesPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = time.Second
		clock := &clock{}
		var expired atomic.Bool
		watch := newStopwatch(clock.now, limit, func() { expired.Store(true) })
		defer watch.stop()
		for range 3 {
			time.Sleep(limit / 5)
			clock.pause(time.Minute)
		}
		if expired.Load() {
			t.Error("expired during pauses")
		}
		time.Sleep(limit)
		if !expired.Load() {
			t.Error("not expired after its limit")
		}
	})
}

func TestCanceledTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(t.Context(), time.Second)
		cancel()
		time.Sleep(time.Minute)
		if cause := context.Cause(ctx); cause != context.Canceled {
			t.Errorf("cause %v, want %v", cause, context.Canceled)
		}
	})
}
