package elapsed

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/certificates/certificatestest"
)

// pipeListener accepts connections that are made with dial, on a virtual clock.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial() net.Conn {
	local, remote := net.Pipe()
	_ = local.SetDeadline(time.Now().Add(time.Hour)) // ends a test that is stuck
	l.connections <- remote
	return local
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.connections:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.IPAddr{} }

// startServer starts a server on a Listener that leaves out pauses. The handler replies with the
// body of the request.
func startServer(t *testing.T, meter *Meter, headerTimeout, readTimeout time.Duration, config *tls.Config) *pipeListener {
	listener := newPipeListener()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_, _ = w.Write(body)
		}),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: 2 * time.Minute, TLSConfig: config,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() {
		if config != nil {
			_ = server.ServeTLS(NewListener(listener, meter), "", "")
		} else {
			_ = server.Serve(NewListener(listener, meter))
		}
	}()
	t.Cleanup(func() {
		_ = server.Close()
		synctest.Wait()
	})
	return listener
}

// requestParts are sent one after the other.
var requestParts = []string{"POST / HTTP/1.1\r\n", "Host: a\r\nContent-Length: 4\r\n\r\n", "ab", "cd"}

// checkPausedRequest sends a request in parts, lets the process be paused before one of them and
// checks the response.
func checkPausedRequest(t *testing.T, readTimeout time.Duration, at, pauses int) {
	const headerTimeout, pause, settleTime = 5 * time.Second, 5500 * time.Millisecond, 30 * time.Millisecond
	t.Run(fmt.Sprintf("read timeout %v, %d pauses before %q", readTimeout, pauses, requestParts[at]), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			meter, pauseFor := newPausableMeter(t)
			conn := startServer(t, meter, headerTimeout, readTimeout, nil).dial()
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				for i, part := range requestParts {
					time.Sleep(settleTime)
					if i == at {
						for range pauses {
							pauseFor(pause)
							time.Sleep(settleTime)
						}
					}
					if _, err := io.WriteString(conn, part); err != nil {
						return // the response shows why
					}
				}
			}()
			checkEcho(t, conn, "abcd")
			conn.Close()
			<-sent
		})
	})
}

// TestServerPauseWithinRequest guards against losing a request during whose transmission the
// process is paused, once or more times in a row, for longer than its deadlines.
func TestServerPauseWithinRequest(t *testing.T) {
	const readTimeout = 15 * time.Second
	for at := range requestParts {
		for pauses := range 3 {
			checkPausedRequest(t, readTimeout, at, pauses)
		}
	}
	checkPausedRequest(t, readTimeout, 2, 3)
	checkPausedRequest(t, readTimeout, 3, 3)
}

// TestServerPauseWithinHeader guards against rejecting a request for its body's deadline, which
// net/http computes before it reads the header and sets after it, with a pause in between.
func TestServerPauseWithinHeader(t *testing.T) {
	checkPausedRequest(t, 5*time.Second, 0, 1)
	checkPausedRequest(t, 5*time.Second, 1, 1)
	checkPausedRequest(t, 15*time.Second, 0, 3)
	checkPausedRequest(t, 15*time.Second, 1, 3)
}

// checkEcho checks that the response has the given body.
func checkEcho(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal("no response: ", err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || string(got) != want {
		t.Errorf("status %d, body %q, error %v", response.StatusCode, got, err)
	}
}

// serverAndClientConfig returns the TLS configurations of both sides of a connection.
func serverAndClientConfig(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	authority, err := certificatestest.New()
	if err != nil {
		t.Fatal(err)
	}
	var sources [2]*certificates.Source
	for i := range sources {
		files, err := authority.Write(t.TempDir(), net.IPv4(127, 0, 0, 1))
		if err != nil {
			t.Fatal(err)
		}
		if sources[i], err = certificates.NewSource(files); err != nil {
			t.Fatal(err)
		}
	}
	client = sources[1].ClientConfig()
	client.ServerName = "127.0.0.1"
	client.VerifyConnection = nil
	return sources[0].ServerConfig("h2", "http/1.1"), client
}

// writeHook calls before ahead of each write, with the number of the write.
type writeHook struct {
	net.Conn
	before func(number int)
	writes int
}

func (c *writeHook) Write(content []byte) (int, error) {
	c.writes++
	c.before(c.writes)
	return c.Conn.Write(content)
}

// TestServerPauseWithinHandshake guards against closing a connection during whose TLS handshake
// the process is paused, with what the caller says next about to come.
func TestServerPauseWithinHandshake(t *testing.T) {
	const headerTimeout, readTimeout, pause, settleTime = 5 * time.Second, 15 * time.Second, 5500 * time.Millisecond, 30 * time.Millisecond
	for _, at := range []int{1, 2, 3} { // hello; certificate and finished; request
		for _, pauses := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d pauses before write %d", pauses, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					serverConfig, clientConfig := serverAndClientConfig(t)
					meter, pauseFor := newPausableMeter(t)
					raw := startServer(t, meter, headerTimeout, readTimeout, serverConfig).dial()
					defer raw.Close()
					paused := false
					conn := tls.Client(&writeHook{Conn: raw, before: func(number int) {
						if number != at {
							return
						}
						paused = true
						time.Sleep(settleTime)
						for range pauses {
							pauseFor(pause)
							time.Sleep(settleTime)
						}
					}}, clientConfig)
					if err := conn.Handshake(); err != nil {
						t.Fatal(err)
					}
					if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd"); err != nil {
						t.Fatal(err)
					}
					checkEcho(t, conn, "abcd")
					if !paused {
						t.Error("the client makes fewer writes")
					}
				})
			})
		}
	}
}

// The parts of HTTP/2 that the test needs.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

var (
	http2Settings = []byte{0, 0, 0, 4, 0, 0, 0, 0, 0}
	http2Ping     = []byte{0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8}
	// http2PingReply begins the reply.
	http2PingReply = []byte{0, 0, 8, 6, 1}
)

// checkPausedHTTP2 opens a connection of HTTP/2, lets the process be paused before the given part
// and checks that the connection lives. The parts are the preface, the settings and a ping.
func checkPausedHTTP2(t *testing.T, name string, at, pauses int) {
	const pause, settleTime = 5500 * time.Millisecond, 30 * time.Millisecond
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			serverConfig, clientConfig := serverAndClientConfig(t)
			clientConfig.NextProtos = []string{"h2"}
			meter, pauseFor := newPausableMeter(t)
			raw := startServer(t, meter, 5*time.Second, 15*time.Second, serverConfig).dial()
			defer raw.Close()
			conn := tls.Client(raw, clientConfig)
			if err := conn.Handshake(); err != nil {
				t.Fatal(err)
			}
			received := make(chan error, 1)
			go func() { received <- readUntilPingReply(conn) }()
			for i, part := range [][]byte{[]byte(http2Preface), http2Settings, http2Ping} {
				time.Sleep(settleTime)
				if i == at {
					for range pauses {
						pauseFor(pause)
						time.Sleep(settleTime)
					}
				}
				if _, err := conn.Write(part); err != nil {
					t.Fatalf("write %q: %v", part, err)
				}
			}
			if err := <-received; err != nil {
				t.Errorf("no reply to the ping: %v", err)
			}
		})
	})
}

// TestServerPauseHTTP2 guards against closing a connection of HTTP/2 for a pause after the server
// has the settings of its client.
func TestServerPauseHTTP2(t *testing.T) {
	checkPausedHTTP2(t, "no pause", 0, 0)
	checkPausedHTTP2(t, "before the preface", 0, 1)
	checkPausedHTTP2(t, "after the settings", 2, 3)
}

// readUntilPingReply reads frames.
func readUntilPingReply(conn net.Conn) error {
	reader := bufio.NewReader(conn)
	for {
		header := make([]byte, 9)
		if _, err := io.ReadFull(reader, header); err != nil {
			return err
		}
		if slices.Equal(header[:len(http2PingReply)], http2PingReply) {
			return nil
		}
		if header[3] == 7 {
			return errors.New("the server says goodbye")
		}
		if _, err := reader.Discard(int(header[0])<<16 | int(header[1])<<8 | int(header[2])); err != nil {
			return err
		}
	}
}

// deadlineHook calls before ahead of each deadline that is set, with its number.
type deadlineHook struct {
	net.Conn
	before func(number int)
	set    int
}

func (c *deadlineHook) SetReadDeadline(at time.Time) error {
	c.set++
	c.before(c.set)
	return c.Conn.SetReadDeadline(at)
}

func (c *deadlineHook) SetWriteDeadline(at time.Time) error {
	c.set++
	c.before(c.set)
	return c.Conn.SetWriteDeadline(at)
}

// hookListener applies a function to the connections that it accepts.
type hookListener struct {
	net.Listener
	hook func(net.Conn) net.Conn
}

func (l *hookListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.hook(conn), nil
}

// checkPauseBeforeDeadline sends a request over a connection of its own and pauses the process right
// before the server sets the deadline of the given number.
func checkPauseBeforeDeadline(t *testing.T, name string, at int) {
	const headerTimeout, readTimeout, pause = 5 * time.Second, 15 * time.Second, 5500 * time.Millisecond
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			serverConfig, clientConfig := serverAndClientConfig(t)
			meter, pauseFor := newPausableMeter(t)
			listener, paused := newPipeListener(), make(chan struct{})
			server := &http.Server{
				Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }),
				ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, TLSConfig: serverConfig, ErrorLog: log.New(io.Discard, "", 0),
			}
			hook := func(accepted net.Conn) net.Conn {
				return &deadlineHook{Conn: accepted, before: func(number int) {
					if number == at {
						pauseFor(pause)
						close(paused)
					}
				}}
			}
			go func() { _ = server.ServeTLS(&hookListener{NewListener(listener, meter), hook}, "", "") }()
			transport := &http.Transport{DisableKeepAlives: true, DialTLSContext: certificates.DialTLS(clientConfig,
				func(context.Context, string, string) (net.Conn, error) { return listener.dial(), nil })}
			response, err := (&http.Client{Transport: transport}).Post("https://127.0.0.1/", "text/plain", strings.NewReader("abcd"))
			if err != nil {
				t.Error(err)
			} else {
				content, _ := io.ReadAll(response.Body)
				response.Body.Close()
				if string(content) != "abcd" {
					t.Errorf("status %d, body %q", response.StatusCode, content)
				}
			}
			<-paused
			time.Sleep(2 * pause) // both sides say goodbye
			_ = server.Close()
			synctest.Wait()
		})
	})
}

// TestServerPauseBeforeLaterDeadline guards against failing a request because the process was paused
// before the server lifted a deadline or set that of the body.
func TestServerPauseBeforeLaterDeadline(t *testing.T) {
	checkPauseBeforeDeadline(t, "reading after the handshake, none", 3)
	checkPauseBeforeDeadline(t, "writing after the handshake, none", 4)
	checkPauseBeforeDeadline(t, "reading the body", 6)
	checkPauseBeforeDeadline(t, "reading after the body, none", 7)
}

// TestServerPauseBeforeDeadlineIsSet guards against failing a request because the process was paused
// between net/http's computing of a deadline and its setting of it. The caller met an EOF.
func TestServerPauseBeforeDeadlineIsSet(t *testing.T) {
	checkPauseBeforeDeadline(t, "reading the handshake", 1)
	checkPauseBeforeDeadline(t, "writing the handshake", 2)
	checkPauseBeforeDeadline(t, "reading the header", 5)
}
