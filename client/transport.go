package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed/operation"
)

const (
	dialTimeout           = 5 * time.Second
	tlsHandshakeTimeout   = 10 * time.Second
	keepAlivePeriod       = 15 * time.Second
	maxIdleConnsPerDaemon = 16
	idleConnTimeout       = 90 * time.Second
)

// errConnectionClosed means that the daemon had closed a connection before a request was sent
// on it.
var errConnectionClosed = errors.New("daemon has closed the connection")

// NewTransport returns a transport for the http.Client passed to New. Before it reuses a
// connection, it checks that the daemon has not closed it, as a daemon does when it shuts down.
// net/http notices this only once its reading goroutine has run, and may send the request first,
// in particular after a pause of the caller's process. Time in which that process is paused does not
// count towards the transport's timeout for dialing.
func NewTransport() *http.Transport {
	dial := operation.Dial(net.Dialer{KeepAlive: keepAlivePeriod}, dialTimeout)
	return &http.Transport{
		Proxy: http.ProxyFromEnvironment,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &checkedConn{Conn: conn}, nil
		},
		TLSHandshakeTimeout: tlsHandshakeTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerDaemon,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// checkedConn is a connection that is checked before the first write of each request.
type checkedConn struct {
	net.Conn
	// check is what the next write checks.
	check atomic.Int32
	// writes counts the writes that were attempted.
	writes atomic.Int64
}

// The checks before a write.
const (
	noCheck int32 = iota
	// checkEnd checks that the peer has not closed the connection.
	checkEnd
	// checkInput checks also that the peer has sent nothing: on an idle connection, it
	// precedes its end. On a new one it may belong to the TLS handshake.
	checkInput
)

// Write implements net.Conn.
func (c *checkedConn) Write(content []byte) (int, error) {
	if check := c.check.Swap(noCheck); check != noCheck && !isIdle(c.Conn, check == checkEnd) {
		return 0, errConnectionClosed
	}
	c.writes.Add(1)
	return c.Conn.Write(content)
}

// sendTrace observes whether any byte of a request was sent.
type sendTrace struct {
	conn         *checkedConn
	reused       bool
	writesBefore int64
}

// withSendTrace returns a context for one sending of a request.
func withSendTrace(ctx context.Context) (context.Context, *sendTrace) {
	trace := &sendTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn}), trace
}

// gotConn is called before the request is written.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.conn = nil
	conn, checked := underlying(info.Conn).(*checkedConn)
	if !checked {
		return
	}
	t.conn, t.reused, t.writesBefore = conn, info.Reused, conn.writes.Load()
	if info.Reused {
		conn.check.Store(checkInput)
	} else {
		conn.check.Store(checkEnd)
	}
}

// unsent reports whether the request got a connection and failed before any byte of it was
// sent. It is then safe to send it again.
func (t *sendTrace) unsent() bool {
	return t.conn != nil && t.conn.writes.Load() == t.writesBefore
}

// underlying returns the connection below TLS.
func underlying(conn net.Conn) net.Conn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return wrapper.NetConn()
	}
	return conn
}
