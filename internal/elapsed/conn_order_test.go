package elapsed

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// hookedConn calls functions at the steps at which a pause may begin.
type hookedConn struct {
	net.Conn
	// beforeSet and afterSet are called before and after a read deadline is set, afterExceeded
	// when a read has failed for its deadline.
	beforeSet, afterSet, afterExceeded func()
}

func call(hook func()) {
	if hook != nil {
		hook()
	}
}

func (c *hookedConn) SetReadDeadline(at time.Time) error {
	call(c.beforeSet)
	defer call(c.afterSet)
	return c.Conn.SetReadDeadline(at)
}

func (c *hookedConn) Read(content []byte) (int, error) {
	n, err := c.Conn.Read(content)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		call(c.afterExceeded)
	}
	return n, err
}

// TestConnPauseAtEachStep guards against counting a pause that begins while a deadline is being
// set or extended, which closes the connection although its input is there or about to come.
func TestConnPauseAtEachStep(t *testing.T) {
	const timeout, pause, inputAfter = 5 * time.Second, 5500 * time.Millisecond, 30 * time.Millisecond
	type steps struct {
		conn   *hookedConn
		pause  func()
		paused int
	}
	// once returns a hook that pauses when it is called the given number of times.
	once := func(s *steps, at int) func() {
		calls := 0
		return func() {
			if calls++; calls == at {
				s.pause()
			}
		}
	}
	cases := []struct {
		name    string
		arrange func(s *steps)
		// pauseFirst pauses after the deadline has been set.
		pauseFirst bool
	}{
		{"before the deadline is applied", func(s *steps) { s.conn.beforeSet = once(s, 1) }, false},
		{"after the deadline is applied", func(s *steps) { s.conn.afterSet = once(s, 1) }, false},
		{"again, when the first one is met", func(s *steps) { s.conn.afterExceeded = once(s, 1) }, true},
		{"again, before the extended deadline is applied", func(s *steps) { s.conn.beforeSet = once(s, 2) }, true},
		{"again, after the extended deadline is applied", func(s *steps) { s.conn.afterSet = once(s, 2) }, true},
		{"ten times, when each one is met", func(s *steps) {
			s.conn.afterExceeded = func() {
				if s.paused < 10 {
					s.pause()
				}
			}
		}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter, pauseFor := newPausableMeter(t)
				local, remote := net.Pipe()
				defer local.Close()
				defer remote.Close()
				s := &steps{conn: &hookedConn{Conn: local}}
				var input *time.Timer
				s.pause = func() {
					s.paused++
					if input != nil {
						input.Stop()
					}
					pauseFor(pause)
					input = time.AfterFunc(inputAfter, func() { _, _ = remote.Write([]byte{1}) })
				}
				test.arrange(s)
				conn := NewConn(s.conn, meter)
				if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
					t.Fatal(err)
				}
				if test.pauseFirst {
					s.pause()
				}
				if _, err := conn.Read(make([]byte, 1)); err != nil || s.paused == 0 {
					t.Errorf("read error %v after %d pauses", err, s.paused)
				}
			})
		})
	}
}

// TestConnSeriesOfPauses guards against a deadline that falls behind in a series of pauses with
// little time in between, of which each one costs a part of a reading.
func TestConnSeriesOfPauses(t *testing.T) {
	const timeout, pause, pauses = 5 * time.Second, 5500 * time.Millisecond, 10
	for _, between := range []time.Duration{30 * time.Millisecond, 90 * time.Millisecond, 130 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(between.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter, pauseFor := newPausableMeter(t)
				local, remote := net.Pipe()
				defer local.Close()
				defer remote.Close()
				conn := NewConn(local, meter)
				if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
					t.Fatal(err)
				}
				done := make(chan error, 1)
				go func() {
					_, err := conn.Read(make([]byte, 1))
					done <- err
				}()
				for range pauses {
					pauseFor(pause)
					time.Sleep(between)
				}
				go func() { _, _ = remote.Write([]byte{1}) }()
				if err := <-done; err != nil {
					t.Errorf("read error %v", err)
				}
			})
		})
	}
}
