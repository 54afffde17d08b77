package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestAResetOfANewConnectionIsToldApart: replicas reset connections over their
// limit; a reset of a connection that has served before, or within an answer, is a
// broken answer.
func TestAResetOfANewConnectionIsToldApart(t *testing.T) {
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close resets
	}
	for _, test := range []struct {
		name   string
		answer func(conn net.Conn, number int64, r *http.Request) bool
		calls  int
		want   bool
	}{
		{"a new connection", func(conn net.Conn, _ int64, _ *http.Request) bool {
			reset(conn)
			return false
		}, 1, true},
		{"a connection used before", func(conn net.Conn, number int64, r *http.Request) bool {
			if number == 1 {
				respond(conn, r.Header.Get("Id"), "", "x")
				return true
			}
			reset(conn)
			return false
		}, 2, false},
		{"within an answer", func(conn net.Conn, _ int64, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab")
			time.Sleep(20 * time.Millisecond) // the bytes are read before the reset comes
			reset(conn)
			return false
		}, 1, false},
		{"a clean end", func(net.Conn, int64, *http.Request) bool { return false }, 1, false},
	} {
		pool := poolOf(serve(t, test.answer), 1)
		var err error
		for range test.calls {
			_, err = exchange(t, pool, message("m"))
		}
		if !errors.Is(err, ErrIncomplete) || errors.Is(err, ErrReset) != test.want {
			t.Errorf("%s: error %v", test.name, err)
		}
	}
}

// TestANewConnectionIsConfirmedWhereItMayBeReset: a replica that completes the handshake
// and then resets has not been sent a byte; once nothing was reset for a while, requests
// are written without a wait.
func TestANewConnectionIsConfirmedWhereItMayBeReset(t *testing.T) {
	var accepting atomic.Bool
	var read atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !accepting.Load() {
				_ = conn.(*net.TCPConn).SetLinger(0) // Close resets
				_ = conn.Close()
				continue
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				read.Add(1)
				respond(conn, request.Header.Get("Id"), "", "x")
			}()
		}
	}()
	// the handshake is as long as that of a far replica, so that the reset comes within it
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := Dial(ctx, address)
		time.Sleep(20 * time.Millisecond)
		return conn, err
	}
	pool := NewPool(listener.Addr().String(), 4, dial)
	for range 3 {
		if _, err := exchange(t, pool, message("m")); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrNotAccepted) {
			t.Errorf("error %v of a connection that was not accepted", err)
		}
	}
	accepting.Store(true)
	if _, err := exchange(t, pool, message("m")); err != nil {
		t.Errorf("error %v of a connection that was accepted", err)
	}
	if read.Load() != 1 || pool.OpenConnections() > 1 {
		t.Errorf("%d requests were read, %d connections are open", read.Load(), pool.OpenConnections())
	}
	if pool.confirms(time.Now().Add(2 * confirmFor)) {
		t.Error("connections are confirmed long after the last reset")
	}
}

// TestAResetAfterTheRequestIsUnclear: a connection that was confirmed and is reset after
// the request was written is no proof, and the next ones are confirmed again.
func TestAResetAfterTheRequestIsUnclear(t *testing.T) {
	pool := poolOf(serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close resets
		return false
	}), 1)
	pool.answered = true
	if _, err := exchange(t, pool, message("m")); !errors.Is(err, ErrReset) || errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	if !pool.confirms(time.Now()) {
		t.Error("new connections are not confirmed after a reset")
	}
}
