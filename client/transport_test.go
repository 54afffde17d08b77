package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// server answers one request on each connection and then closes it, or reads another request first.
type server struct {
	net.Listener
	// readsSecond makes the server read a second request before it closes a connection.
	readsSecond bool
	requests    atomic.Int32
	// closeAccepted makes the server close a connection without reading from it.
	closeAccepted chan struct{}
	// closed receives a value for each connection closed.
	closed chan struct{}
}

func startServer(t *testing.T, readsSecond bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{Listener: listener, readsSecond: readsSecond, closeAccepted: make(chan struct{}), closed: make(chan struct{}, 10)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.closed <- struct{}{}
	}()
	reader := bufio.NewReader(&closableReader{conn, s.closeAccepted})
	if !s.read(reader) {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	if s.readsSecond {
		s.read(reader)
	}
}

// closableReader ends when it may receive from closed.
type closableReader struct {
	io.Reader
	closed chan struct{}
}

func (r *closableReader) Read(content []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	read := make(chan result, 1)
	go func() {
		n, err := r.Reader.Read(content)
		read <- result{n, err}
	}()
	select {
	case got := <-read:
		return got.n, got.err
	case <-r.closed:
		return 0, io.EOF
	}
}

func (s *server) read(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	return true
}

// pausedConn does not return the end of the connection to its reader before something is written,
// like a transport whose reading goroutine has not run yet.
type pausedConn struct {
	net.Conn
	written chan struct{}
}

func (c *pausedConn) NetConn() net.Conn { return c.Conn }

func (c *pausedConn) Read(content []byte) (int, error) {
	n, err := c.Conn.Read(content)
	if err != nil {
		<-c.written
	}
	return n, err
}

func (c *pausedConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	select {
	case c.written <- struct{}{}:
	default:
	}
	return n, err
}

// newPausedClient returns a client whose transport notices late that a connection has ended.
func newPausedClient(t *testing.T, s *server) *Client {
	t.Helper()
	transport := NewTransport()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &pausedConn{Conn: conn, written: make(chan struct{})}, nil
	}
	return New("http://"+s.Addr().String(), &http.Client{Transport: transport})
}

// TestClosedIdleConnectionIsNotUsed guards against sending a request on a connection that a
// stopping daemon has closed while the caller's process was paused.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := startServer(t, false)
	client := newPausedClient(t, s)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for number := range 3 {
		if _, err := client.Query(ctx, Query{Group: "gate"}); err != nil {
			t.Fatalf("query %d: %v", number, err)
		}
		<-s.closed
	}
	if got := s.requests.Load(); got != 3 {
		t.Errorf("server received %d requests, want 3", got)
	}
}

// TestSentRequestIsNotRepeated guards against sending a request twice of which the daemon may have
// read a part.
func TestSentRequestIsNotRepeated(t *testing.T) {
	s := startServer(t, true)
	client := New("http://"+s.Addr().String(), &http.Client{Transport: NewTransport()})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := client.Query(ctx, Query{Group: "gate"}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Query(ctx, Query{Group: "gate"}); err == nil {
		t.Error("no error for a request without a response")
	}
	if got := s.requests.Load(); got != 2 {
		t.Errorf("server received %d requests, want 2", got)
	}
}

// TestClosedNewConnectionIsNotUsed guards against sending a request on a connection that a stopping
// daemon has closed before its first request.
func TestClosedNewConnectionIsNotUsed(t *testing.T) {
	s := startServer(t, false)
	transport := NewTransport()
	dial, dialed := transport.DialContext, 0
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed++
		conn, err := dial(ctx, network, address)
		if err == nil && dialed == 1 {
			s.closeAccepted <- struct{}{}
			<-s.closed
			conn = &pausedConn{Conn: conn, written: make(chan struct{})}
		}
		return conn, err
	}
	client := New("http://"+s.Addr().String(), &http.Client{Transport: transport})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := client.Query(ctx, Query{Group: "gate"}); err != nil {
		t.Fatal(err)
	}
	if got := s.requests.Load(); got != 1 {
		t.Errorf("server received %d requests, want 1", got)
	}
}
