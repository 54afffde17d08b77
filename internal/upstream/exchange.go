package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"
)

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
	conn, err := p.acquire(ctx, request.ID)
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
	c.addCarried(request.ID)
	write := c.write(request, codec.RequestHeader(request, incarnation, timeout))
	if _, err := c.reader.Peek(1); err != nil {
		return nil, 0, false, c.noResponseError(errors.Join(err, write.abort()))
	}
	read, err := c.readOwnResponse(codec, request, write)
	if err != nil {
		return nil, 0, false, errors.Join(err, write.abort())
	}
	idleTimeout, keep := keepAliveTimeout(read.parsed)
	reusable = keep && !read.afterSurplus && write.complete() && c.reader.Buffered() == 0 && !c.isExhausted()
	return read.response, idleTimeout, reusable, nil
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
