package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// earlyAnswer is a response that a replica sends before it has read the request's body.
const earlyAnswer = "0123456789"

// serveSmallWindow is like serve, with segments and a receive window as small as on a network, so
// that the writer of a long body has to wait for the replica to read. handle closes the connection.
func serveSmallWindow(t *testing.T, handle func(conn *net.TCPConn, request *http.Request)) *rawServer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10))
		})
		return errors.Join(err, failure)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, listener, func(conn net.Conn, _ int64, request *http.Request) bool {
		handle(conn.(*net.TCPConn), request)
		return false
	})
}

// writeEarly sends a response whose body has no length, unless framing states one.
func writeEarly(conn net.Conn, request *http.Request, framing, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n%s\r\n%s", request.Header.Get("Id"), framing, body)
}

// reset ends a connection by a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// uploadSizes are lengths of request bodies that are written together with the header, and by a
// goroutine of their own.
var uploadSizes = []int{1000, asyncBodyBytes - 1, asyncBodyBytes, 240_000}

// exchangeMany sends requests with bodies of all uploadSizes at the same time, and passes each
// result to check.
func exchangeMany(t *testing.T, server *rawServer, check func(size int, response *Response, err error)) {
	t.Helper()
	const requestsPerSize = 60
	var sending sync.WaitGroup
	for _, size := range uploadSizes {
		for number := range requestsPerSize {
			sending.Go(func() {
				request := newRequest(fmt.Sprintf("m-%d-%d", size, number))
				request.Method, request.Body = http.MethodPost, bytes.Repeat([]byte("u"), size)
				response, err := exchange(t, newTestPool(server, 1), request)
				check(size, response, err)
			})
		}
	}
	sending.Wait()
}

// Guards against taking a response for complete that was reset while the request's body was still
// being written: of the two calls that wait for the socket only one is told of the reset.
func TestResetDuringBodyWriteIsIncomplete(t *testing.T) {
	for _, test := range []struct {
		name, framing, sent string
		wait                time.Duration
	}{
		{"within the body", "", earlyAnswer[:5], 5 * time.Millisecond},
		{"within the body, at once", "", earlyAnswer[:5], 0},
		{"after the header", "", "", 5 * time.Millisecond},
		{"at the end of the body", "", earlyAnswer, 5 * time.Millisecond},
		{"HTTP/1.1 with Connection: close", "Connection: close\r\n", earlyAnswer[:5], 5 * time.Millisecond},
		{"with a length", "Content-Length: 10\r\n", earlyAnswer[:5], 5 * time.Millisecond},
		{"in chunks", "Transfer-Encoding: chunked\r\n", "5\r\n01234\r\n", 5 * time.Millisecond},
		{"before the last chunk's end", "Transfer-Encoding: chunked\r\n", "5\r\n01234\r\n0\r\n", 5 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := serveSmallWindow(t, func(conn *net.TCPConn, request *http.Request) {
				writeEarly(conn, request, test.framing, test.sent)
				time.Sleep(test.wait)
				reset(conn)
			})
			exchangeMany(t, server, func(size int, response *Response, err error) {
				if !errors.Is(err, ErrIncomplete) {
					t.Errorf("request body of %d bytes: got response %+v and error %v, want ErrIncomplete", size, response, err)
				}
			})
		})
	}
}

// Guards against rejecting a complete response because the rest of the request's body could not
// be written.
func TestCompleteResponseToUnreadBody(t *testing.T) {
	closeWrite := func(conn *net.TCPConn) { _ = conn.CloseWrite() }
	for _, test := range []struct {
		name, framing, sent string
		end                 func(conn *net.TCPConn)
	}{
		{"end of stream, body read to its end", "", earlyAnswer, func(conn *net.TCPConn) {
			closeWrite(conn)
			_, _ = io.Copy(io.Discard, conn)
		}},
		{"end of stream, body not read", "", earlyAnswer, func(conn *net.TCPConn) {
			closeWrite(conn)
			time.Sleep(30 * time.Millisecond)
		}},
		{"end of stream, then a reset", "", earlyAnswer, func(conn *net.TCPConn) {
			closeWrite(conn)
			time.Sleep(5 * time.Millisecond)
			reset(conn)
		}},
		{"length, then a reset", "Content-Length: 10\r\n", earlyAnswer, func(conn *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			reset(conn)
		}},
		{"chunks, then a reset", "Transfer-Encoding: chunked\r\n", "a\r\n" + earlyAnswer + "\r\n0\r\n\r\n", func(conn *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			reset(conn)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := serveSmallWindow(t, func(conn *net.TCPConn, request *http.Request) {
				writeEarly(conn, request, test.framing, test.sent)
				test.end(conn)
			})
			exchangeMany(t, server, func(size int, response *Response, err error) {
				if err != nil || string(response.Body) != earlyAnswer {
					t.Errorf("request body of %d bytes: response %+v, error %v", size, response, err)
				}
			})
		})
	}
}

// lateWriter delays all writes but the first one until resume is closed.
type lateWriter struct {
	net.Conn
	resume  <-chan struct{}
	written bool
}

func (w *lateWriter) Write(data []byte) (int, error) {
	if w.written {
		<-w.resume
	}
	w.written = true
	return w.Conn.Write(data)
}

// Guards against overlooking a reset that arrives between the writes of a request's header and of
// a short body, and of which the second write alone is told.
func TestResetBetweenWritesIsIncomplete(t *testing.T) {
	resume := make(chan struct{})
	server := serveSmallWindow(t, func(conn *net.TCPConn, request *http.Request) {
		writeEarly(conn, request, "", earlyAnswer[:5])
		time.Sleep(5 * time.Millisecond)
		reset(conn)
		time.AfterFunc(20*time.Millisecond, func() { close(resume) }) // the reset has arrived
	})
	pool := NewPool(server.Addr().String(), 1, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := Dial(ctx, address)
		return &lateWriter{Conn: conn, resume: resume}, err
	})
	request := newRequest("m")
	request.Method, request.Body = http.MethodPost, bytes.Repeat([]byte("u"), 2*writeBufferBytes)
	if response, err := exchange(t, pool, request); !errors.Is(err, ErrIncomplete) {
		t.Errorf("got response %+v and error %v, want ErrIncomplete", response, err)
	}
}
