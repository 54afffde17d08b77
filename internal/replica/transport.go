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
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/certificates"
)

// Protocol is the HTTP version used for backends.
type Protocol string

// Supported protocols.
const (
	ProtocolHTTP1 Protocol = "http1"
	// ProtocolH2C is HTTP/2 over plaintext TCP with prior knowledge.
	ProtocolH2C Protocol = "h2c"
)

const (
	idleTimeout       = 60 * time.Second
	dialTimeout       = time.Second
	maxIdlePerReplica = 128
	maxHeaderBytes    = 16 << 10
	maxPooledBuffer   = 256 << 10
)

// PostResult is the result of one POST to a replica.
type PostResult struct {
	Status int
	Body   []byte
	Err    error
	// NotSent is set only if no byte of the request was written.
	NotSent bool
}

// PostFunc sends a POST to a replica, at most once.
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

// trackedConnection counts the bytes written and calls closed once when it is
// closed.
type trackedConnection struct {
	net.Conn
	written atomic.Int64
	once    sync.Once
	closed  func()
}

// Write counts before writing, so that a write in progress is never mistaken
// for none.
func (c *trackedConnection) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func (c *trackedConnection) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}

// exchangeResult is the result of one HTTP exchange with a replica.
type exchangeResult struct {
	status int
	body   []byte
	err    error
	// notSent is set only if no byte of the request was written.
	notSent bool
	buffer  *bytes.Buffer
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// release returns the body's buffer to the pool. The body must not be used
// afterwards.
func (e *exchangeResult) release() {
	if e.buffer != nil && e.buffer.Cap() <= maxPooledBuffer {
		buffers.Put(e.buffer)
	}
	e.buffer, e.body = nil, nil
}

// nextAttempt is the number of the latest request that was sent.
var nextAttempt atomic.Uint64

// newRequestHeader returns the header of a new request and the ID that its response repeats.
func newRequestHeader() (header http.Header, attempt string) {
	attempt = strconv.FormatUint(nextAttempt.Add(1), 10)
	return http.Header{"Content-Type": {"application/json"}, backendapi.AttemptHeader: {attempt}}, attempt
}

// errSurplus is returned for a response to an earlier request on the connection.
var errSurplus = eris.New("response belongs to another request")

// isSurplus reports whether a response belongs to another request than the given one.
func isSurplus(response *http.Response, attempt string) bool {
	repeated := response.Header.Get(backendapi.AttemptHeader)
	return repeated != "" && repeated != attempt
}

// writeTracker detects whether any byte of a request was written.
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

// provesNothingWritten reports whether certainly no byte was written. It must
// not be used after a cancellation, when the transport may still be writing.
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

// post sends one request at most once. GetBody and idempotency headers are not
// set, so that net/http does not retry it after a byte was written.
func (p *Pool) post(ctx context.Context, handle *Handle, target *url.URL, message any) exchangeResult {
	encoded, err := json.Marshal(message)
	if err != nil {
		return exchangeResult{err: eris.Wrap(err, "encode request"), notSent: true}
	}
	if p.options.Post != nil {
		posted := p.options.Post(ctx, target.Host, target.Path, encoded)
		return exchangeResult{status: posted.Status, body: posted.Body, err: posted.Err, notSent: posted.NotSent}
	}
	tracker := &writeTracker{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConnection})
	// net/http recognizes this type as an in-memory body and writes header and
	// body together. It cannot rewind it because GetBody is not set.
	body := io.NopCloser(bytes.NewReader(encoded))
	header, attempt := newRequestHeader()
	request := (&http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host, Header: header,
		Body: body, ContentLength: int64(len(encoded)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(traced)
	response, err := handle.transport.RoundTrip(request)
	if err != nil {
		canceled := ctx.Err() != nil && tracker.connection.Load() != nil
		return exchangeResult{
			err:     eris.Wrapf(err, "post to %s", target.Host),
			notSent: !canceled && tracker.provesNothingWritten(handle.multiplex),
		}
	}
	if isSurplus(response, attempt) {
		if connection := tracker.connection.Load(); connection != nil && !handle.multiplex {
			_ = connection.Close() // the response that is due would be taken for the next one
		}
		_ = response.Body.Close()
		return exchangeResult{err: errSurplus}
	}
	return readBody(response, p.options.MaxReplyBytes)
}

var errReplyTooLarge = eris.New("reply exceeds size limit")

// readBody reads the body, which must not exceed limit bytes. If it does or is
// truncated, the connection is closed.
func readBody(response *http.Response, limit int64) exchangeResult {
	defer func() { _ = response.Body.Close() }() // a read error has been reported already
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	result := exchangeResult{status: response.StatusCode, buffer: buffer}
	size, err := buffer.ReadFrom(io.LimitReader(response.Body, limit+1))
	switch {
	case err != nil:
		result.err = eris.Wrap(err, "read reply")
	case size > limit:
		result.err = errReplyTooLarge
	}
	result.body = buffer.Bytes()
	return result
}

func exceedsConnectionBudget(err error) bool { return errors.Is(err, errConnectionBudget) }

// dialTCP is the default dial function.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return dialer.DialContext(ctx, network, address)
}
