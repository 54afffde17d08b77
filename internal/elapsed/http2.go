package elapsed

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// http2SettingsTimeout bounds the wait for a client's preface and settings. net/http waits 10 s for
// the preface and then 2 s for the settings, by the wall clock.
const http2SettingsTimeout = 10 * time.Second

// ConfigureHTTP2 makes a server with TLS serve HTTP/2 so that pauses of the process do not count
// towards the waits for a client's settings and for bodies (ReadTimeout). The timers of net/http
// count pauses and close connections whose input lies unread. It must be called once, when all
// other fields of the server are set.
func ConfigureHTTP2(server *http.Server, meter *Meter) {
	// Connections are served by a second server, as unencrypted ones with prior knowledge of
	// HTTP/2. It gets them when the settings have arrived, and therefore never waits for these.
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	inner := &http.Server{
		Handler:           &http2Handler{next: server.Handler, bodyTimeout: server.ReadTimeout, meter: meter},
		Protocols:         &protocols,
		HTTP2:             server.HTTP2,
		ReadHeaderTimeout: http2SettingsTimeout,
		IdleTimeout:       cmp.Or(server.IdleTimeout, server.ReadTimeout),
		WriteTimeout:      server.WriteTimeout,
		MaxHeaderBytes:    server.MaxHeaderBytes,
		ErrorLog:          server.ErrorLog,
		BaseContext:       server.BaseContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if server.ConnState != nil {
				server.ConnState(conn.(*http2Conn).encrypted, state)
			}
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, http2ConnKey{}, conn)
		},
	}
	server.RegisterOnShutdown(func() { _ = inner.Shutdown(context.Background()) }) // says goodbye to clients
	server.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){
		"h2": func(_ *http.Server, encrypted *tls.Conn, _ http.Handler) {
			conn := &http2Conn{settingsConn: settingsConn{Conn: encrypted}, encrypted: encrypted, closed: make(chan struct{})}
			listener := &singleListener{conn: conn}
			_ = inner.Serve(listener) // returns when it has accepted the connection, or is shut down
			if listener.conn != nil {
				_ = conn.Close()
			}
			<-conn.closed
		},
	}
}

// http2ConnKey is the key of a request's *http2Conn in its context.
type http2ConnKey struct{}

// http2Handler handles requests of HTTP/2.
type http2Handler struct {
	next        http.Handler
	bodyTimeout time.Duration
	meter       *Meter
}

// ServeHTTP implements http.Handler.
func (h *http2Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(http2ConnKey{}).(*http2Conn); ok {
		state := conn.encrypted.ConnectionState()
		r.TLS = &state
	}
	if h.bodyTimeout > 0 && r.ContentLength != 0 {
		defer h.limitBody(w)()
	}
	h.next.ServeHTTP(w, r)
}

// limitBody makes reading the body fail after bodyTimeout of active time. The function that it
// returns must be called before the handler returns.
func (h *http2Handler) limitBody(w http.ResponseWriter) (release func()) {
	ctx, cancel := h.meter.WithTimeout(context.Background(), h.bodyTimeout)
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // fails only if the stream has ended
	})
	return func() {
		if !stop() {
			<-finished // the writer must not be used once the handler has returned
		}
		cancel()
	}
}

// http2Conn is a decrypted connection of HTTP/2. It has no method ConnectionState, by which
// net/http would take it for one of HTTP/1.
type http2Conn struct {
	settingsConn
	encrypted *tls.Conn
	once      sync.Once
	closed    chan struct{}
}

// Close implements net.Conn.
func (c *http2Conn) Close() error {
	defer c.once.Do(func() { close(c.closed) })
	return c.settingsConn.Close()
}

// singleListener accepts one connection.
type singleListener struct{ conn net.Conn }

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	conn := l.conn
	if conn == nil {
		return nil, net.ErrClosed
	}
	l.conn = nil
	return conn, nil
}

// Close implements net.Listener.
func (l *singleListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// settingsConn is a net.Conn that returns no part of the preface of HTTP/2 before the settings that
// follow it have arrived. Input that does not begin with the preface is returned as it arrives.
type settingsConn struct {
	net.Conn
	// buffered is what has been read and not yet returned.
	buffered []byte
	// passed is true once the settings have arrived or the input is something else.
	passed bool
}

const (
	http2ClientPreface     = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	http2FrameHeaderLength = 9
	http2SettingsFrame     = 4
	// maxAwaitedSettings bounds the length of settings that are waited for. Each of the few
	// settings that are defined takes 6 bytes.
	maxAwaitedSettings = 1 << 10
)

// Read implements net.Conn.
func (c *settingsConn) Read(content []byte) (int, error) {
	if !c.passed {
		err := c.awaitSettings()
		c.passed = true
		if errors.Is(err, os.ErrDeadlineExceeded) || err != nil && len(c.buffered) == 0 {
			return 0, err
		}
	}
	if len(c.buffered) > 0 {
		n := copy(content, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	return c.Conn.Read(content)
}

// awaitSettings reads until the settings are complete or the input is something else.
func (c *settingsConn) awaitSettings() error {
	for {
		missing := missingSettings(c.buffered)
		if missing == 0 {
			return nil
		}
		have := len(c.buffered)
		c.buffered = append(c.buffered, make([]byte, missing)...)
		n, err := c.Conn.Read(c.buffered[have:])
		c.buffered = c.buffered[:have+n]
		if err != nil {
			return err
		}
	}
}

// missingSettings returns how many bytes at least have to follow until the client's settings are
// complete; 0 if none or if the input does not begin with the preface and settings.
func missingSettings(input []byte) int {
	const header = len(http2ClientPreface) + http2FrameHeaderLength
	preface := []byte(http2ClientPreface)
	if !bytes.HasPrefix(input, preface[:min(len(input), len(preface))]) {
		return 0
	}
	if len(input) < header {
		return header - len(input)
	}
	frame := input[len(preface):]
	length := int(frame[0])<<16 | int(frame[1])<<8 | int(frame[2])
	if frame[3] != http2SettingsFrame || length > maxAwaitedSettings {
		return 0
	}
	return max(0, header+length-len(input))
}

// CloseWrite closes the sending side.
func (c *settingsConn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}
