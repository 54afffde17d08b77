package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"
)

// echo starts an echo server and a proxy in front of it.
func echo(t *testing.T, delay time.Duration) *Proxy {
	t.Helper()
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
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	p, err := New(Config{Target: netip.MustParseAddrPort(listener.Addr().String()), Delay: delay})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a byte and waits for its echo.
func exchange(conn net.Conn, wait time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// attempt exchanges a byte on a new connection. A reset may already fail the dial.
func attempt(p *Proxy) error {
	conn, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return exchange(conn, longWait)
}

const (
	longWait  = 10 * time.Second
	shortWait = 100 * time.Millisecond
)

func TestPass(t *testing.T) {
	conn := dial(t, echo(t, 0))
	for range 3 {
		if err := exchange(conn, longWait); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("clean close was forwarded as %v", err)
	}
}

func TestDelay(t *testing.T) {
	p := echo(t, 50*time.Millisecond)
	conn := dial(t, p)
	p.Set(Delay)
	begun := time.Now()
	if err := exchange(conn, longWait); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took < 100*time.Millisecond {
		t.Errorf("round trip took only %v", took)
	}
}

func TestResetEndsOpenAndNewConnections(t *testing.T) {
	p := echo(t, 0)
	conn := dial(t, p)
	if err := exchange(conn, longWait); err != nil {
		t.Fatal(err)
	}
	p.Set(Reset)
	if err := exchange(conn, longWait); err == nil {
		t.Error("open connection still works")
	}
	if err := attempt(p); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("new connection was not reset: %v", err)
	}
	p.Set(Pass)
	if err := exchange(dial(t, p), longWait); err != nil {
		t.Errorf("new connection after the fault: %v", err)
	}
}

func TestHeldBytesDeliveredAfterPass(t *testing.T) {
	for _, mode := range []Mode{HoldRequests, HoldReplies, Silence} {
		t.Run(mode.String(), func(t *testing.T) {
			p := echo(t, 0)
			conn := dial(t, p)
			p.Set(mode)
			if err := exchange(conn, shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("data was not held back: %v", err)
			}
			p.Set(Pass)
			_ = conn.SetDeadline(time.Now().Add(longWait))
			if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
				t.Errorf("held data was lost: %v", err)
			}
		})
	}
}

func TestSilenceOpenKeepsConnectionsSilent(t *testing.T) {
	p := echo(t, 0)
	old := dial(t, p)
	if err := exchange(old, longWait); err != nil {
		t.Fatal(err)
	}
	p.SilenceOpen()
	if err := exchange(old, shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silenced connection: %v", err)
	}
	if err := exchange(dial(t, p), longWait); err != nil {
		t.Errorf("new connection: %v", err)
	}
	if err := exchange(old, shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silenced connection after a new one: %v", err)
	}
}
