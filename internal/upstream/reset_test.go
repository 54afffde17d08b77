package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A reset of a new connection may come from a replica over its connection limit and is
// reported as ErrReset. A reset of a reused connection or within a response is not.
func TestResetOfNewConnection(t *testing.T) {
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close sends a reset
	}
	for _, test := range []struct {
		name   string
		handle func(conn net.Conn, number int64, r *http.Request) bool
		calls  int
		want   bool
	}{
		{"new connection", func(conn net.Conn, _ int64, _ *http.Request) bool {
			reset(conn)
			return false
		}, 1, true},
		{"reused connection", func(conn net.Conn, number int64, r *http.Request) bool {
			if number == 1 {
				respond(conn, r.Header.Get("Id"), "", "x")
				return true
			}
			reset(conn)
			return false
		}, 2, false},
		{"within a response", func(conn net.Conn, _ int64, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab")
			time.Sleep(20 * time.Millisecond) // the bytes are read before the reset arrives
			reset(conn)
			return false
		}, 1, false},
		{"EOF", func(net.Conn, int64, *http.Request) bool { return false }, 1, false},
	} {
		pool := newTestPool(serve(t, test.handle), 1)
		var err error
		for number := range test.calls {
			_, err = exchange(t, pool, newRequest(fmt.Sprint(number)))
		}
		if !errors.Is(err, ErrIncomplete) || errors.Is(err, ErrReset) != test.want {
			t.Errorf("%s: error %v", test.name, err)
		}
	}
}

// Guards against sending a request on a connection that the replica resets right after
// the handshake.
func TestNewConnectionIsConfirmed(t *testing.T) {
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
				_ = conn.(*net.TCPConn).SetLinger(0) // Close sends a reset
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
	// The dial takes as long as that of a remote replica, so that the reset arrives
	// within it.
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := Dial(ctx, address)
		time.Sleep(20 * time.Millisecond)
		return conn, err
	}
	pool := NewPool(listener.Addr().String(), 4, dial)
	for range 3 {
		if _, err := exchange(t, pool, newRequest("m")); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrNotAccepted) {
			t.Errorf("rejected connection: got error %v, want ErrNotSent and ErrNotAccepted", err)
		}
	}
	accepting.Store(true)
	if _, err := exchange(t, pool, newRequest("m")); err != nil {
		t.Errorf("accepted connection: error %v", err)
	}
	if read.Load() != 1 || pool.OpenConnections() > 1 {
		t.Errorf("%d requests were read and %d connections are open, want 1 and at most 1", read.Load(), pool.OpenConnections())
	}
	if pool.needsConfirm(time.Now().Add(2 * confirmPeriod)) {
		t.Error("new connections are still confirmed after the confirmation period")
	}
}

// A reset after the request was written does not show that it was not executed, and
// later connections are confirmed again.
func TestResetAfterRequestIsIncomplete(t *testing.T) {
	pool := newTestPool(serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close sends a reset
		return false
	}), 1)
	pool.responded = true
	if _, err := exchange(t, pool, newRequest("m")); !errors.Is(err, ErrReset) || errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrReset without ErrNotSent", err)
	}
	if !pool.needsConfirm(time.Now()) {
		t.Error("new connections are not confirmed after a reset")
	}
}
