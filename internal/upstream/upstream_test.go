package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testCodec is a minimal Codec.
type testCodec struct{}

func (testCodec) RequestHeader(message *Request, incarnation string, timeout time.Duration) http.Header {
	return http.Header{"Id": {message.ID}, "Process": {incarnation}, "Left": {timeout.String()}}
}

func (testCodec) ReadResponse(response *Response) {
	response.RequestID = response.Header.Get("Id")
	response.Signature = response.Header.Get("Signature")
	response.NotExecuted = response.Header.Get("Refused") != ""
}

// rawServer is a server that writes raw bytes as responses.
type rawServer struct {
	net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

// serve starts a server. handle writes to the connection and returns false to close it.
func serve(t *testing.T, handle func(conn net.Conn, number int64, request *http.Request) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, listener, handle)
}

// serveOn is like serve, on a listener that it closes at the end of the test.
func serveOn(t *testing.T, listener net.Listener, handle func(conn net.Conn, number int64, request *http.Request) bool) *rawServer {
	t.Helper()
	server := &rawServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.connections.Add(1)
			go server.serveConn(conn, handle)
		}
	}()
	return server
}

func (s *rawServer) serveConn(conn net.Conn, handle func(net.Conn, int64, *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !handle(conn, s.requests.Add(1), request) {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func respond(conn net.Conn, id, extra, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{ID: id, Method: http.MethodGet, Target: "/a//b?c=%2f", Host: "h.example"}
}

func newTestPool(server *rawServer, limit int) *Pool {
	return NewPool(server.Addr().String(), limit, nil)
}

func exchange(t *testing.T, pool *Pool, request *Request) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return pool.Exchange(ctx, testCodec{}, request, "i-1", time.Second)
}

func TestRequestIsSentUnaltered(t *testing.T) {
	var got string
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		got = r.Method + " " + r.RequestURI + " " + r.Host + " " + r.Header.Get("Id") + " " + r.Header.Get("Process")
		respond(conn, r.Header.Get("Id"), "", "body")
		return true
	})
	response, err := exchange(t, newTestPool(server, 1), newRequest("m1"))
	if err != nil || string(response.Body) != "body" || response.Signature != "s" {
		t.Fatalf("response %+v, error %v", response, err)
	}
	if want := "GET /a//b?c=%2f h.example m1 i-1"; got != want {
		t.Errorf("request %q, want %q", got, want)
	}
}

func TestConnectionIsReused(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		respond(conn, r.Header.Get("Id"), "", "x")
		return true
	})
	pool := newTestPool(server, 1)
	for i := range 3 {
		if _, err := exchange(t, pool, newRequest(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got := server.connections.Load(); got != 1 {
		t.Errorf("%d connections opened, want 1", got)
	}
}

// Guards against accepting a malformed or truncated response, or one to another
// request.
func TestInvalidResponses(t *testing.T) {
	cases := []struct {
		name  string
		raw   string
		reset bool
	}{
		{"response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", false},
		{"truncated body", "HTTP/1.1 200 OK\r\nId: m\r\nContent-Length: 9\r\n\r\nx", false},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nId: m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false},
		{"reset without Content-Length", "HTTP/1.1 200 OK\r\nId: m\r\n\r\nabc", true},
		{"not HTTP", "garbage\r\n\r\n", false},
		{"nothing", "", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				_, _ = io.WriteString(conn, test.raw)
				if test.reset {
					time.Sleep(20 * time.Millisecond) // the bytes are read before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			response, err := exchange(t, newTestPool(server, 1), newRequest("m"))
			if !errors.Is(err, ErrIncomplete) {
				t.Errorf("got response %+v and error %v, want ErrIncomplete", response, err)
			}
		})
	}
}

func TestBodyWithoutContentLength(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: m\r\n\r\nabc")
		return false
	})
	response, err := exchange(t, newTestPool(server, 1), newRequest("m"))
	if err != nil || string(response.Body) != "abc" {
		t.Errorf("response %+v, error %v", response, err)
	}
}

// Guards against taking a second response to a request for the response to the next
// one.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			surplusSent := make(chan struct{}, 8)
			server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
				id := r.Header.Get("Id")
				respond(conn, id, "", "mine "+id)
				if late {
					time.Sleep(10 * time.Millisecond)
				}
				respond(conn, id, "", "surplus "+id)
				surplusSent <- struct{}{}
				return true
			})
			pool := newTestPool(server, 1)
			for i := range 3 {
				id := fmt.Sprint(i)
				response, err := exchange(t, pool, newRequest(id))
				if err != nil || string(response.Body) != "mine "+id {
					t.Errorf("request %s: response %+v, error %v", id, response, err)
				}
				<-surplusSent
				time.Sleep(5 * time.Millisecond) // the surplus response has arrived
			}
			if got := server.connections.Load(); got != 3 {
				t.Errorf("%d connections opened, want a new one after each surplus response", got)
			}
		})
	}
}

func TestConnectionIsNotReused(t *testing.T) {
	cases := []struct{ name, extra string }{
		{"Connection: close", "Connection: close\r\n"},
		{"Keep-Alive timeout of zero", "Keep-Alive: timeout=0\r\n"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
				respond(conn, r.Header.Get("Id"), test.extra, "x")
				return true
			})
			pool := newTestPool(server, 2)
			for i := range 2 {
				if _, err := exchange(t, pool, newRequest(fmt.Sprint(i))); err != nil {
					t.Fatal(err)
				}
			}
			if got := server.connections.Load(); got != 2 || pool.OpenConnections() != 0 {
				t.Errorf("%d connections opened and %d still open, want 2 and 0", got, pool.OpenConnections())
			}
		})
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	cases := []struct {
		value string
		want  time.Duration
		keep  bool
	}{
		{"", defaultIdleTimeout, true},
		{"timeout=10", 8 * time.Second, true},
		{"max=5, Timeout=5", 4 * time.Second, true},
		{"timeout=x", 0, false},
		{"timeout=-1", 0, false},
	}
	for _, test := range cases {
		response := &http.Response{Header: http.Header{"Keep-Alive": {test.value}}}
		if got, keep := keepAliveTimeout(response); got != test.want || keep != test.keep {
			t.Errorf("%q: %v, %v", test.value, got, keep)
		}
	}
}

func TestIdleConnectionClosedByReplica(t *testing.T) {
	server := serve(t, func(conn net.Conn, number int64, r *http.Request) bool {
		respond(conn, r.Header.Get("Id"), "", "x")
		return number != 1
	})
	pool := newTestPool(server, 1)
	for i := range 2 {
		if _, err := exchange(t, pool, newRequest(fmt.Sprint(i))); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond) // the close has arrived
	}
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{})
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		arrived <- struct{}{}
		<-release
		respond(conn, r.Header.Get("Id"), "", "x")
		return true
	})
	pool := newTestPool(server, 1)
	first := make(chan error, 1)
	go func() {
		_, err := exchange(t, pool, newRequest("first"))
		first <- err
	}()
	<-arrived
	_, err := exchange(t, pool, newRequest("second"))
	if !errors.Is(err, ErrConnectionLimit) || !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrConnectionLimit and ErrNotSent", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if got := server.requests.Load(); got != 1 {
		t.Errorf("%d requests arrived, want 1", got)
	}
}

func TestCancelClosesConnection(t *testing.T) {
	ended := make(chan struct{})
	arrived := make(chan struct{})
	server := serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		close(arrived)
		_, _ = conn.Read(make([]byte, 1)) // returns when the peer closes
		close(ended)
		return false
	})
	pool := newTestPool(server, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := pool.Exchange(ctx, testCodec{}, newRequest("m"), "i-1", time.Second)
	if !errors.Is(err, ErrIncomplete) {
		t.Errorf("got error %v, want ErrIncomplete", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed")
	}
	if pool.OpenConnections() != 0 {
		t.Errorf("%d connections open, want 0", pool.OpenConnections())
	}
}

func TestConnectionRefused(t *testing.T) {
	server := serve(t, func(net.Conn, int64, *http.Request) bool { return false })
	address := server.Addr().String()
	_ = server.Close()
	pool := NewPool(address, 1, nil)
	if _, err := exchange(t, pool, newRequest("m")); !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrNotSent", err)
	}
	if pool.OpenConnections() != 0 {
		t.Errorf("%d connections counted, want 0", pool.OpenConnections())
	}
}

// A response that arrives before the body is sent counts, but the connection is not
// reused, since the rest of the body is still due on it.
func TestEarlyResponseToLongBody(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		respond(conn, r.Header.Get("Id"), "Refused: 1\r\n", "")
		time.Sleep(50 * time.Millisecond)
		return false
	})
	pool := newTestPool(server, 1)
	long := newRequest("m")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	response, err := exchange(t, pool, long)
	if err != nil || !response.NotExecuted {
		t.Errorf("response %+v, error %v", response, err)
	}
	if pool.OpenConnections() != 0 {
		t.Errorf("%d connections open, want 0", pool.OpenConnections())
	}
}

func TestBodiesAreSentCompletely(t *testing.T) {
	for _, size := range []int{0, 1, asyncBodyBytes - 1, asyncBodyBytes, 1 << 20} {
		server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
			content, err := io.ReadAll(r.Body)
			respond(conn, r.Header.Get("Id"), "", fmt.Sprint(len(content), err))
			return true
		})
		sent := newRequest("m")
		sent.Method, sent.Body = http.MethodPost, []byte(strings.Repeat("x", size))
		response, err := exchange(t, newTestPool(server, 1), sent)
		if want := fmt.Sprint(size, nil); err != nil || string(response.Body) != want {
			t.Errorf("%d bytes: response %v, error %v", size, response, err)
		}
	}
}

// Idle connections that remain from a burst are closed, except for the most recently
// used one; that one is closed too after the pool's idle timeout.
func TestCloseExpiredAfterBurst(t *testing.T) {
	pool := NewPool("127.0.0.1:1", 3, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	})
	var opened []*connection
	for range 3 {
		conn, err := pool.connect(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		pool.open++
		opened = append(opened, conn)
	}
	for _, conn := range opened {
		pool.release(conn, time.Minute)
	}
	now := time.Now()
	for _, step := range []struct {
		after       time.Duration
		idleTimeout time.Duration
		want        int
	}{
		{spareIdleTimeout / 2, 0, 3},
		{spareIdleTimeout + time.Second, 0, 1},
		{20 * time.Second, 0, 1},
		{20 * time.Second, time.Second, 0},
	} {
		pool.SetIdleTimeout(step.idleTimeout)
		pool.CloseExpired(now.Add(step.after))
		if got := pool.OpenConnections(); got != step.want {
			t.Errorf("after %v: %d connections open, want %d", step.after, got, step.want)
		}
	}
}

// A process that accepts a new connection has not exited, and the connection is kept
// for the next request.
func TestHasExited(t *testing.T) {
	t.Run("aborted response", func(t *testing.T) {
		address := serve(t, func(_ net.Conn, number int64, r *http.Request) bool { return false })
		pool := newTestPool(address, 2)
		_, err := exchange(t, pool, newRequest("m"))
		if pool.HasExited(t.Context(), err) {
			t.Error("a process that accepts connections is reported as exited")
		}
		if open := pool.OpenConnections(); open != 1 {
			t.Errorf("%d connections open, want the accepted one", open)
		}
	})
	t.Run("ended", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				_ = listener.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_ = conn.Close()
			}
		}()
		pool := NewPool(listener.Addr().String(), 2, nil)
		_, err = exchange(t, pool, newRequest("m"))
		if !pool.HasExited(t.Context(), err) {
			t.Errorf("a process that refuses connections is not reported as exited: %v", err)
		}
		if open := pool.OpenConnections(); open != 0 {
			t.Errorf("%d connections counted, want 0", open)
		}
	})
	t.Run("timeout", func(t *testing.T) {
		pool := NewPool("127.0.0.1:1", 2, nil) // nothing listens there
		if pool.HasExited(t.Context(), fmt.Errorf("%w: %w", ErrIncomplete, os.ErrDeadlineExceeded)) {
			t.Error("a timeout is reported as an exit")
		}
	})
}
