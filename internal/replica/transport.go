package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/certificates"
)

// Protocol is the HTTP version spoken to back ends.
type Protocol string

// The protocols.
const (
	ProtocolHTTP1 Protocol = "http1"
	// ProtocolH2C is HTTP/2 without TLS, by prior knowledge.
	ProtocolH2C Protocol = "h2c"
)

// The constants of a transport.
const (
	idleTimeout       = 60 * time.Second
	dialTimeout       = time.Second
	maxIdlePerReplica = 128
	maxHeaderBytes    = 16 << 10
	maxPooledBuffer   = 256 << 10
)

// PostResult is what came of one POST to a replica.
type PostResult struct {
	Status int
	Body   []byte
	Err    error
	// NotSent is true only when no byte of the request was written.
	NotSent bool
}

// PostFunc carries one POST to a replica, at most once.
type PostFunc func(ctx context.Context, address, path string, body []byte) PostResult

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newTransport(handle *Handle, options PoolOptions) *http.Transport {
	protocols := new(http.Protocols)
	if options.Protocol == ProtocolH2C {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP1(true)
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return handle.dial(ctx, network, address, options.Dial)
		},
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return handle.dial(ctx, network, address, dialFunc(certificates.DialTLS(options.TLS, certificates.DialFunc(options.Dial))))
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerReplica,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
}

// trackedConnection counts its bytes written and reports its close once.
type trackedConnection struct {
	net.Conn
	written atomic.Int64
	once    sync.Once
	closed  func()
}

// Write counts before it writes, so that a write under way is never taken for
// none.
func (c *trackedConnection) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func (c *trackedConnection) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}

// exchangeResult is what came of one POST to a replica.
type exchangeResult struct {
	status int
	body   []byte
	err    error
	// notSent is true only when no byte of the request was written.
	notSent bool
	buffer  *bytes.Buffer
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// release gives the body's memory back.
func (e *exchangeResult) release() {
	if e.buffer != nil && e.buffer.Cap() <= maxPooledBuffer {
		buffers.Put(e.buffer)
	}
	e.buffer, e.body = nil, nil
}

var requestHeader = http.Header{"Content-Type": {"application/json"}}

// writeTracker finds out whether any byte of a request was written.
type writeTracker struct {
	connection atomic.Pointer[trackedConnection]
	before     atomic.Int64
	unknown    atomic.Bool
}

func (w *writeTracker) gotConnection(info httptrace.GotConnInfo) {
	connection, plain := info.Conn.(*trackedConnection)
	if !plain {
		w.unknown.Store(true)
		return
	}
	w.before.Store(connection.written.Load())
	w.connection.Store(connection)
}

// provesNothingWritten is only sure when the exchange has failed by itself; after a
// cancellation the transport may still be writing.
func (w *writeTracker) provesNothingWritten(multiplex bool) bool {
	if w.unknown.Load() {
		return false
	}
	connection := w.connection.Load()
	if connection == nil {
		return true
	}
	return !multiplex && connection.written.Load() == w.before.Load()
}

// post sends one request once: there is no GetBody and no idempotency header,
// so net/http does not replay it after a byte was written.
func (p *Pool) post(ctx context.Context, handle *Handle, target *url.URL, message any) exchangeResult {
	encoded, err := json.Marshal(message)
	if err != nil {
		return exchangeResult{err: eris.Wrap(err, "encode the request"), notSent: true}
	}
	if p.options.Post != nil {
		came := p.options.Post(ctx, target.Host, target.Path, encoded)
		return exchangeResult{status: came.Status, body: came.Body, err: came.Err, notSent: came.NotSent}
	}
	watch := &writeTracker{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: watch.gotConnection})
	// net/http knows this type to be in memory and writes header and body at
	// once; it does not know how to read it again, as GetBody is not set.
	body := io.NopCloser(bytes.NewReader(encoded))
	request := (&http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host, Header: requestHeader,
		Body: body, ContentLength: int64(len(encoded)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(traced)
	response, err := handle.transport.RoundTrip(request)
	if err != nil {
		gaveUp := ctx.Err() != nil && watch.connection.Load() != nil
		return exchangeResult{
			err:     eris.Wrapf(err, "post to %s", target.Host),
			notSent: !gaveUp && watch.provesNothingWritten(handle.multiplex),
		}
	}
	return readBody(response, p.options.MaxReplyBytes)
}

var errReplyTooLarge = eris.New("reply over the size limit")

// readBody reads the whole body, of so many bytes at most. A body that is over the limit or broken is
// closed unread, and its connection with it.
func readBody(response *http.Response, limit int64) exchangeResult {
	defer func() { _ = response.Body.Close() }() // the reading has failed already if this does
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	result := exchangeResult{status: response.StatusCode, buffer: buffer}
	size, err := buffer.ReadFrom(io.LimitReader(response.Body, limit+1))
	switch {
	case err != nil:
		result.err = eris.Wrap(err, "read the reply")
	case size > limit:
		result.err = errReplyTooLarge
	}
	result.body = buffer.Bytes()
	return result
}

func exceedsConnectionBudget(err error) bool { return errors.Is(err, errConnectionBudget) }

// dialTCP is the dial function used unless options give another.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return dialer.DialContext(ctx, network, address)
}
