package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 16 << 20

// asyncBodyBytes is the size from which a request body is written concurrently with
// reading the response, since a replica may respond before it has read a long body.
const asyncBodyBytes = 16 << 10

// Errors of an exchange. They tell whether the replica may have executed the request.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrIncomplete means that the request was sent and no complete response was
	// received.
	ErrIncomplete = errors.New("no complete response received")
	// ErrNotAccepted means that the replica reset a new connection before any byte of
	// the request was sent, as it does over its connection limit. It is wrapped
	// together with ErrNotSent.
	ErrNotAccepted = errors.New("connection not accepted by the replica")
	// ErrReset means that the first request on a new connection met a reset before any
	// byte of a response. The replica may have read the request. It is wrapped together
	// with ErrIncomplete.
	ErrReset = errors.New("new connection was reset")
)

// Exchange sends a request once to the process with the given incarnation and returns
// its complete response. Cancelling ctx aborts the exchange and closes its connection.
// Errors wrap ErrNotSent or ErrIncomplete.
func (p *Pool) Exchange(ctx context.Context, codec Codec, request *Request, incarnation string, timeout time.Duration) (*Response, error) {
	started := time.Now()
	conn, err := p.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		p.putIdle(conn, defaultIdleTimeout)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	remaining := timeout - time.Since(started)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	response, idleTimeout, reusable, err := conn.exchange(codec, request, incarnation, remaining)
	notCancelled := stop()
	if err != nil || !reusable || !notCancelled {
		p.discard(conn)
	} else {
		p.release(conn, idleTimeout)
	}
	if errors.Is(err, ErrReset) {
		p.requireConfirm()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return response, nil
}

// HasExited reports, after a failed exchange, whether the process has exited: the
// connection was closed, and a new one to the address is refused. A replica that only
// aborted a response or reset a connection accepts the new one, which is kept for a
// later request. A network partition is not reported as an exit.
func (p *Pool) HasExited(ctx context.Context, failed error) bool {
	connectionClosed := errors.Is(failed, ErrIncomplete) && isConnectionClosed(failed)
	return connectionClosed && ctx.Err() == nil && p.refuses(ctx)
}

// isConnectionClosed reports whether an exchange failed because its connection was
// closed.
func isConnectionClosed(err error) bool {
	return isReset(err) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// exchange writes the request and reads the response. The connection may be reused only
// if reusable is true.
func (c *connection) exchange(codec Codec, request *Request, incarnation string, timeout time.Duration) (response *Response, idleTimeout time.Duration, reusable bool, err error) {
	write := c.write(request, codec.RequestHeader(request, incarnation, timeout))
	if _, err := c.reader.Peek(1); err != nil {
		return nil, 0, false, c.noResponseError(errors.Join(err, write.syncError()))
	}
	parsed, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, 0, false, errors.Join(err, write.syncError())
	}
	body, err := readBody(parsed)
	if err != nil {
		return nil, 0, false, err
	}
	response = &Response{Status: parsed.StatusCode, Header: parsed.Header, Body: body}
	codec.ReadResponse(response)
	if response.RequestID != "" && response.RequestID != request.ID {
		return nil, 0, false, fmt.Errorf("response has request ID %q", response.RequestID)
	}
	idleTimeout, keep := keepAliveTimeout(parsed)
	reusable = keep && write.complete() && c.reader.Buffered() == 0
	return response, idleTimeout, reusable, nil
}

// noResponseError classifies an error that occurred before any byte of a response.
func (c *connection) noResponseError(cause error) error {
	if isReset(cause) && !c.reused {
		return fmt.Errorf("%w: %w", ErrReset, cause)
	}
	return cause
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// requestWrite is the write of one request. A long body is written in a goroutine of
// its own.
type requestWrite struct {
	done chan error // nil if the write was synchronous
	err  error
}

func (w *requestWrite) syncError() error {
	if w.done == nil {
		return w.err
	}
	return nil
}

// complete reports whether the whole request has been written.
func (w *requestWrite) complete() bool {
	if w.done == nil {
		return w.err == nil
	}
	select {
	case err := <-w.done:
		return err == nil
	default:
		return false
	}
}

func (c *connection) write(request *Request, header http.Header) *requestWrite {
	c.writeHeader(request, header)
	if len(request.Body) < asyncBodyBytes {
		_, _ = c.writer.Write(request.Body) // Flush returns the first error
		return &requestWrite{err: c.writer.Flush()}
	}
	err := c.writer.Flush()
	if err != nil {
		return &requestWrite{err: err}
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Conn.Write(request.Body)
		done <- err
	}()
	return &requestWrite{done: done}
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

var errTooLarge = errors.New("response body exceeds the size limit")

// readBody reads a complete body. A body without a Content-Length ends with EOF; a
// reset is an error.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	return body, err
}
