package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// asyncBodyBytes is the size from which a request body is written concurrently with
// reading the response, since a replica may respond before it has read a long body.
const asyncBodyBytes = 16 << 10

// requestWrite is the write of one request. A long body is written in a goroutine of
// its own.
type requestWrite struct {
	conn *connection
	done chan error // nil once err is known
	err  error
}

func (c *connection) write(request *Request, header http.Header) *requestWrite {
	c.writeHeader(request, header)
	if len(request.Body) < asyncBodyBytes {
		_, _ = c.writer.Write(request.Body) // Flush returns the first error
		return &requestWrite{conn: c, err: c.writer.Flush()}
	}
	if err := c.writer.Flush(); err != nil {
		return &requestWrite{conn: c, err: err}
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Conn.Write(request.Body)
		done <- err
	}()
	return &requestWrite{conn: c, done: done}
}

func (c *connection) writeHeader(request *Request, header http.Header) {
	_, _ = c.writer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = header.Write(c.writer)
	if len(request.Body) > 0 || hasBody(request.Method) {
		_, _ = c.writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = c.writer.WriteString("\r\n")
}

// hasBody reports whether requests with this method carry a Content-Length even if
// their body is empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// complete reports whether the whole request has been written.
func (w *requestWrite) complete() bool {
	if w.done == nil {
		return w.err == nil
	}
	select {
	case w.err = <-w.done:
		w.done = nil
		return w.err == nil
	default:
		return false
	}
}

// abort ends a write that is still in progress and returns the error that the connection
// had by then, if any. No request can be written to the connection afterwards.
func (w *requestWrite) abort() error {
	if w.done != nil {
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		w.err = <-w.done
		w.done = nil
	}
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}

// endOfStreamError returns an error if the end of the stream that the reader has met was
// not sent by the replica.
//
// The kernel reports the failure of a connection, such as a reset, to one system call
// only. If that is the write of the request, the reader meets an end of stream like that
// of a closed connection. A write to a connection that the replica has closed before it
// was reset fails with EPIPE, any other failed connection with the cause itself.
func (w *requestWrite) endOfStreamError() error {
	err := w.abort()
	if err == nil || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return fmt.Errorf("connection failed while the response was read: %w", err)
}
