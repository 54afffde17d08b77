package elapsed

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestConnDeadlineExcludesPauses guards against closing connections whose request has arrived
// while the process was paused for longer than the deadline.
func TestConnDeadlineExcludesPauses(t *testing.T) {
	const timeout = 5 * time.Second
	cases := []struct {
		name  string
		pause time.Duration
		// silence is how long the peer says nothing after the pause.
		silence time.Duration
		wantErr error
	}{
		{"no pause, input in time", 0, timeout - time.Second, nil},
		{"no pause, no input", 0, timeout + time.Second, os.ErrDeadlineExceeded},
		{"input during a pause beyond the deadline", timeout + time.Second, time.Nanosecond, nil},
		{"input after a pause beyond the deadline", timeout + time.Second, time.Second, nil},
		{"no input after a pause", timeout + time.Second, 2 * timeout, os.ErrDeadlineExceeded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter, pause := newPausableMeter(t)
				local, remote := net.Pipe()
				defer local.Close()
				defer remote.Close()
				conn := NewConn(local, meter)
				if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
					t.Fatal(err)
				}
				pause(test.pause)
				input := time.AfterFunc(test.silence, func() { _, _ = remote.Write([]byte{1}) })
				defer input.Stop()
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, test.wantErr) {
					t.Errorf("read error %v, want %v", err, test.wantErr)
				}
			})
		})
	}
}

// TestConnDeadlineSetAfterPause guards against closing connections whose deadline was computed
// right before a pause and set right after it.
func TestConnDeadlineSetAfterPause(t *testing.T) {
	const timeout = 5 * time.Second
	cases := []struct {
		name string
		// ran is how long the process has run since the pause.
		ran     time.Duration
		silence time.Duration
		wantErr error
	}{
		{"input during the pause", 0, time.Nanosecond, nil},
		{"clock read once after the pause", readInterval, time.Nanosecond, nil},
		{"input after the pause", 0, timeout - time.Second, nil},
		{"no input", 0, timeout + time.Second, os.ErrDeadlineExceeded},
		{"deadline passed while the process ran", 3 * markInterval, time.Second, os.ErrDeadlineExceeded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter, pause := newPausableMeter(t)
				local, remote := net.Pipe()
				defer local.Close()
				defer remote.Close()
				conn := NewConn(local, meter)
				time.Sleep(3 * markInterval)
				at := time.Now().Add(timeout)
				pause(timeout + time.Second)
				time.Sleep(test.ran)
				if err := conn.SetReadDeadline(at); err != nil {
					t.Fatal(err)
				}
				input := time.AfterFunc(test.silence, func() { _, _ = remote.Write([]byte{1}) })
				defer input.Stop()
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, test.wantErr) {
					t.Errorf("read error %v, want %v", err, test.wantErr)
				}
			})
		})
	}
}

// TestConnWriteDeadlineExcludesPauses guards against discarding a response that is partly
// written when the process is paused.
func TestConnWriteDeadlineExcludesPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter, pause := newPausableMeter(t)
		local, remote := net.Pipe()
		defer local.Close()
		defer remote.Close()
		conn := NewConn(local, meter)
		if err := conn.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		pause(2 * time.Second)
		received := make(chan int, 1)
		go func() {
			content := make([]byte, 3)
			n, _ := remote.Read(content[:1])
			more, _ := remote.Read(content[1:])
			received <- n + more
		}()
		if n, err := conn.Write([]byte("abc")); n != 3 || err != nil {
			t.Errorf("wrote %d bytes, error %v", n, err)
		}
		local.Close() // ends the peer's reads
		if n := <-received; n != 3 {
			t.Errorf("peer received %d bytes", n)
		}
	})
}

// TestConnAbortedRead guards against extending a deadline in the past, which net/http uses to
// abort a read.
func TestConnAbortedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter, pause := newPausableMeter(t)
		local, remote := net.Pipe()
		defer local.Close()
		defer remote.Close()
		conn := NewConn(local, meter)
		aborted := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			aborted <- err
		}()
		synctest.Wait()
		pause(time.Minute)
		if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		if err := <-aborted; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read error %v", err)
		}
	})
}

// TestConnCloseWrite guards against hiding that the connection can close its sending side alone.
func TestConnCloseWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	conn, err := NewListener(listener, nil).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*Conn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("peer's read error %v, want EOF", err)
	}
	if _, err := peer.Write([]byte{1}); err != nil {
		t.Error(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes after CloseWrite, error %v", n, err)
	}
}

// newPausableMeter returns a running meter, and a function that lets time pass in which the meter
// is not read, as in a paused process.
func newPausableMeter(t *testing.T) (*Meter, func(time.Duration)) {
	start := time.Now()
	meter := New(Config{Now: func() time.Duration { return time.Since(start) }})
	var paused atomic.Bool
	ticker := time.NewTicker(readInterval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if !paused.Load() {
				meter.read()
			}
		}
	}()
	t.Cleanup(func() {
		ticker.Stop()
		close(done)
	})
	return meter, func(duration time.Duration) {
		paused.Store(true)
		time.Sleep(duration)
		paused.Store(false)
	}
}
