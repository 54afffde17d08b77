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

// testCodec names the identifier, the signature and the refusal.
type testCodec struct{}

func (testCodec) RequestHeader(message *Request, incarnation string, timeout time.Duration) http.Header {
	return http.Header{"Id": {message.ID}, "Process": {incarnation}, "Left": {timeout.String()}}
}

func (testCodec) ReadResponse(reply *Response) {
	reply.RequestID = reply.Header.Get("Id")
	reply.Signature = reply.Header.Get("Signature")
	reply.NotExecuted = reply.Header.Get("Refused") != ""
}

// rawServer answers each request on a connection by a script of raw bytes.
type rawServer struct {
	net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

// serve starts a server; answer writes to the connection and returns false to
// end it.
func serve(t *testing.T, answer func(conn net.Conn, number int64, request *http.Request) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &rawServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.connections.Add(1)
			go server.follow(conn, answer)
		}
	}()
	return server
}

func (s *rawServer) follow(conn net.Conn, answer func(net.Conn, int64, *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !answer(conn, s.requests.Add(1), request) {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func respond(conn net.Conn, id, extra, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func message(id string) *Request {
	return &Request{ID: id, Method: http.MethodGet, Target: "/a//b?c=%2f", Host: "h.example"}
}

func poolOf(server *rawServer, limit int) *Pool { return NewPool(server.Addr().String(), limit, nil) }

func exchange(t *testing.T, pool *Pool, sent *Request) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return pool.Exchange(ctx, testCodec{}, sent, "i-1", time.Second)
}

func TestTheRequestArrivesUnaltered(t *testing.T) {
	var got string
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		got = r.Method + " " + r.RequestURI + " " + r.Host + " " + r.Header.Get("Id") + " " + r.Header.Get("Process")
		respond(conn, r.Header.Get("Id"), "", "body")
		return true
	})
	reply, err := exchange(t, poolOf(server, 1), message("m1"))
	if err != nil || string(reply.Body) != "body" || reply.Signature != "s" {
		t.Fatalf("reply %+v, error %v", reply, err)
	}
	if want := "GET /a//b?c=%2f h.example m1 i-1"; got != want {
		t.Errorf("request %q, want %q", got, want)
	}
}

func TestAConnectionIsUsedAgain(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		respond(conn, r.Header.Get("Id"), "", "x")
		return true
	})
	pool := poolOf(server, 1)
	for i := range 3 {
		if _, err := exchange(t, pool, message(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got := server.connections.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// TestAnswersThatMustNotCount has the ways in which a replica spoils an answer:
// each ends with ErrBroken, and none with an answer of another request.
func TestAnswersThatMustNotCount(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		reset  bool
	}{
		{"answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", false},
		{"ends before its length", "HTTP/1.1 200 OK\r\nId: m\r\nContent-Length: 9\r\n\r\nx", false},
		{"ends inside a chunk", "HTTP/1.1 200 OK\r\nId: m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false},
		{"reset without a length", "HTTP/1.1 200 OK\r\nId: m\r\n\r\nabc", true},
		{"no answer in the protocol", "garbage\r\n\r\n", false},
		{"nothing", "", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				_, _ = io.WriteString(conn, test.answer)
				if test.reset {
					time.Sleep(20 * time.Millisecond) // the bytes are read before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			reply, err := exchange(t, poolOf(server, 1), message("m"))
			if !errors.Is(err, ErrIncomplete) {
				t.Errorf("reply %+v, error %v", reply, err)
			}
		})
	}
}

func TestABodyWithoutALengthEndsWithItsConnection(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: m\r\n\r\nabc")
		return false
	})
	reply, err := exchange(t, poolOf(server, 1), message("m"))
	if err != nil || string(reply.Body) != "abc" {
		t.Errorf("reply %+v, error %v", reply, err)
	}
}

// TestASurplusAnswerIsNeverTakenForTheNext has a replica that sends a second
// answer behind the first, at once or later.
func TestASurplusAnswerIsNeverTakenForTheNext(t *testing.T) {
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
			pool := poolOf(server, 1)
			for i := range 3 {
				id := fmt.Sprint(i)
				reply, err := exchange(t, pool, message(id))
				if err != nil || string(reply.Body) != "mine "+id {
					t.Errorf("request %s: reply %+v, error %v", id, reply, err)
				}
				<-surplusSent
				time.Sleep(5 * time.Millisecond) // the surplus has arrived
			}
			if got := server.connections.Load(); got != 3 {
				t.Errorf("%d connections, want a new one after each surplus answer", got)
			}
		})
	}
}

func TestConnectionsThatMustNotBeUsedAgain(t *testing.T) {
	cases := []struct{ name, extra string }{
		{"closed by the replica", "Connection: close\r\n"},
		{"kept for no time", "Keep-Alive: timeout=0\r\n"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
				respond(conn, r.Header.Get("Id"), test.extra, "x")
				return true
			})
			pool := poolOf(server, 2)
			for i := range 2 {
				if _, err := exchange(t, pool, message(fmt.Sprint(i))); err != nil {
					t.Fatal(err)
				}
			}
			if got := server.connections.Load(); got != 2 || pool.OpenConnections() != 0 {
				t.Errorf("%d connections, %d still open", got, pool.OpenConnections())
			}
		})
	}
}

func TestKeepFor(t *testing.T) {
	cases := []struct {
		value string
		want  time.Duration
		keep  bool
	}{
		{"", defaultIdle, true},
		{"timeout=10", 8 * time.Second, true},
		{"max=5, Timeout=5", 4 * time.Second, true},
		{"timeout=x", 0, false},
		{"timeout=-1", 0, false},
	}
	for _, test := range cases {
		response := &http.Response{Header: http.Header{"Keep-Alive": {test.value}}}
		if got, keep := keepFor(response); got != test.want || keep != test.keep {
			t.Errorf("%q: %v, %v", test.value, got, keep)
		}
	}
}

func TestAnIdleConnectionThatTheReplicaClosedIsNotUsed(t *testing.T) {
	server := serve(t, func(conn net.Conn, number int64, r *http.Request) bool {
		respond(conn, r.Header.Get("Id"), "", "x")
		return number != 1
	})
	pool := poolOf(server, 1)
	for i := range 2 {
		if _, err := exchange(t, pool, message(fmt.Sprint(i))); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond) // the close has arrived
	}
}

func TestTheLimitOfConnections(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{})
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		arrived <- struct{}{}
		<-release
		respond(conn, r.Header.Get("Id"), "", "x")
		return true
	})
	pool := poolOf(server, 1)
	first := make(chan error, 1)
	go func() {
		_, err := exchange(t, pool, message("first"))
		first <- err
	}()
	<-arrived
	_, err := exchange(t, pool, message("second"))
	if !errors.Is(err, ErrConnectionLimit) || !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if got := server.requests.Load(); got != 1 {
		t.Errorf("%d requests arrived", got)
	}
}

func TestGivingUpEndsTheConnection(t *testing.T) {
	ended := make(chan struct{})
	arrived := make(chan struct{})
	server := serve(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		close(arrived)
		_, _ = conn.Read(make([]byte, 1)) // returns when the other side closes
		close(ended)
		return false
	})
	pool := poolOf(server, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := pool.Exchange(ctx, testCodec{}, message("m"), "i-1", time.Second)
	if !errors.Is(err, ErrIncomplete) {
		t.Errorf("error %v", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the replica did not see the end")
	}
	if pool.OpenConnections() != 0 {
		t.Errorf("%d connections are open", pool.OpenConnections())
	}
}

func TestNothingIsSentWhereNobodyListens(t *testing.T) {
	server := serve(t, func(net.Conn, int64, *http.Request) bool { return false })
	address := server.Addr().String()
	_ = server.Close()
	pool := NewPool(address, 1, nil)
	if _, err := exchange(t, pool, message("m")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	if pool.OpenConnections() != 0 {
		t.Errorf("%d connections are counted", pool.OpenConnections())
	}
}

// TestAnEarlyAnswerToALongBody has a replica that answers before it has read
// the body: the answer counts, and the connection, on which the rest of the
// body would be due, is not used again.
func TestAnEarlyAnswerToALongBody(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		respond(conn, r.Header.Get("Id"), "Refused: 1\r\n", "")
		time.Sleep(50 * time.Millisecond)
		return false
	})
	pool := poolOf(server, 1)
	long := message("m")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	reply, err := exchange(t, pool, long)
	if err != nil || !reply.NotExecuted {
		t.Errorf("reply %+v, error %v", reply, err)
	}
	if pool.OpenConnections() != 0 {
		t.Errorf("%d connections are open", pool.OpenConnections())
	}
}

func TestBodiesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, detachedBodyBytes - 1, detachedBodyBytes, 1 << 20} {
		server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
			content, err := io.ReadAll(r.Body)
			respond(conn, r.Header.Get("Id"), "", fmt.Sprint(len(content), err))
			return true
		})
		sent := message("m")
		sent.Method, sent.Body = http.MethodPost, []byte(strings.Repeat("x", size))
		reply, err := exchange(t, poolOf(server, 1), sent)
		if want := fmt.Sprint(size, nil); err != nil || string(reply.Body) != want {
			t.Errorf("%d bytes: reply %v, error %v", size, reply, err)
		}
	}
}

// TestConnectionsLeftFromABurstAreClosed: all but the one used last, and that one
// too where connections must not rest for long.
func TestConnectionsLeftFromABurstAreClosed(t *testing.T) {
	pool := NewPool("127.0.0.1:1", 3, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	})
	var opened []*connection
	for range 3 {
		conn, err := pool.openOne(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		pool.open++
		opened = append(opened, conn)
	}
	for _, conn := range opened {
		pool.keep(conn, time.Minute)
	}
	now := time.Now()
	for _, step := range []struct {
		after time.Duration
		rest  time.Duration
		want  int
	}{
		{spareRest / 2, 0, 3},
		{spareRest + time.Second, 0, 1},
		{20 * time.Second, 0, 1},
		{20 * time.Second, time.Second, 0},
	} {
		pool.SetIdleTimeout(step.rest)
		pool.CloseExpired(now.Add(step.after))
		if got := pool.OpenConnections(); got != step.want {
			t.Errorf("%v later %d connections are open, want %d", step.after, got, step.want)
		}
	}
}

// TestAProcessThatHasEndedIsToldFromOneThatBrokeOff: by whether it accepts another
// connection, which is kept for the next request then.
func TestAProcessThatHasEndedIsToldFromOneThatBrokeOff(t *testing.T) {
	t.Run("broke off", func(t *testing.T) {
		address := serve(t, func(_ net.Conn, number int64, r *http.Request) bool { return false })
		pool := poolOf(address, 2)
		_, err := exchange(t, pool, message("m"))
		if pool.HasExited(t.Context(), err) {
			t.Error("a process that accepts connections is taken for ended")
		}
		if open := pool.OpenConnections(); open != 1 {
			t.Errorf("%d connections are open, want the one that was accepted", open)
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
		_, err = exchange(t, pool, message("m"))
		if !pool.HasExited(t.Context(), err) {
			t.Errorf("a process that accepts nothing is not taken for ended: %v", err)
		}
		if open := pool.OpenConnections(); open != 0 {
			t.Errorf("%d connections are counted", open)
		}
	})
	t.Run("given up", func(t *testing.T) {
		pool := NewPool("127.0.0.1:1", 2, nil) // nothing listens there
		if pool.HasExited(t.Context(), fmt.Errorf("%w: %w", ErrIncomplete, os.ErrDeadlineExceeded)) {
			t.Error("an answer that is waited for in vain is taken for an end")
		}
	})
}
