// Package operation bounds single operations by active time: time in which the process is paused
// does not count. Unlike an elapsed.Meter it runs only while an operation is pending, and it has
// no dependencies, as package client uses it in other programs.
package operation

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// readInterval is the time between two readings of the clock.
	readInterval = 100 * time.Millisecond
	// maxActivePerReading bounds the active time between two readings. A longer gap means that
	// the process was paused; a timeout loses at most this much per pause.
	maxActivePerReading = readInterval + readInterval/5
)

// stopwatch measures active time until it is stopped.
type stopwatch struct {
	now   func() time.Time
	mutex sync.Mutex
	// timer is nil once the stopwatch is stopped.
	timer  *time.Timer
	last   time.Time
	active time.Duration
	// limit is the active time after which expired is called, if it is not nil.
	limit   time.Duration
	expired func()
}

// newStopwatch returns a running stopwatch.
func newStopwatch(now func() time.Time, limit time.Duration, expired func()) *stopwatch {
	s := &stopwatch{now: now, last: now(), limit: limit, expired: expired}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.timer = time.AfterFunc(min(readInterval, limit), s.tick)
	return s
}

func (s *stopwatch) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer == nil {
		return
	}
	remaining := s.limit - s.read()
	if remaining > 0 {
		s.timer.Reset(min(readInterval, remaining))
		return
	}
	s.timer = nil
	if s.expired != nil {
		s.expired()
	}
}

// read reads the clock. It requires the lock.
func (s *stopwatch) read() time.Duration {
	now := s.now()
	s.active += min(now.Sub(s.last), maxActivePerReading)
	s.last = now
	return s.active
}

// remaining returns the active time left.
func (s *stopwatch) remaining() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit - s.read()
}

func (s *stopwatch) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// WithTimeout is like context.WithTimeout, but the timeout counts active time only. Once it has
// passed, the context is canceled, with context.DeadlineExceeded as its cause.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	watch := newStopwatch(time.Now, timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		watch.stop()
		cancel(context.Canceled)
	}
}

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose timeout counts active time only. If the dialer's timeout, which
// counts all time, passes during a pause, it dials again: nothing was sent on the connection. The
// timeout replaces that of the dialer.
func Dial(dialer net.Dialer, timeout time.Duration) DialFunc {
	return dialWith(time.Now, timeout, func(ctx context.Context, network, address string, remaining time.Duration) (net.Conn, error) {
		limited := dialer
		limited.Timeout = remaining
		return limited.DialContext(ctx, network, address)
	})
}

func dialWith(now func() time.Time, timeout time.Duration, dial func(ctx context.Context, network, address string, remaining time.Duration) (net.Conn, error)) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		watch := newStopwatch(now, timeout, nil)
		defer watch.stop()
		remaining := timeout
		for {
			conn, err := dial(ctx, network, address, remaining)
			if err == nil || ctx.Err() != nil || !isTimeout(err) {
				return conn, err
			}
			// A reading comes late by the delay of a timer, and the dialer's timeout may come
			// early by as much.
			if remaining = watch.remaining(); remaining < readInterval {
				return nil, err
			}
		}
	}
}

// isTimeout reports whether dialing has exceeded the dialer's timeout.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
