package elapsed

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/certificates"
)

const (
	http2ReadTimeout = 15 * time.Second
	// http2Pause is longer than any timeout of the server.
	http2Pause      = 16 * time.Second
	http2SettleTime = 30 * time.Millisecond
)

// http2System is a server that ConfigureHTTP2 has configured, on a virtual clock.
type http2System struct {
	t        *testing.T
	server   *http.Server
	listener *pipeListener
	client   *tls.Config
	pauseFor func(time.Duration)
	mutex    sync.Mutex
	// states are the latest states of connections that are not closed.
	states map[net.Conn]http.ConnState
}

func startHTTP2(t *testing.T, handler http.HandlerFunc) *http2System {
	serverConfig, clientConfig := serverAndClientConfig(t)
	clientConfig.NextProtos = []string{"h2"}
	meter, pauseFor := newPausableMeter(t)
	s := &http2System{t: t, listener: newPipeListener(), client: clientConfig, pauseFor: pauseFor, states: make(map[net.Conn]http.ConnState)}
	s.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: http2ReadTimeout, IdleTimeout: 2 * time.Minute,
		TLSConfig: serverConfig, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(conn net.Conn, state http.ConnState) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.states[conn] = state; state == http.StateClosed {
				delete(s.states, conn)
			}
		},
	}
	ConfigureHTTP2(s.server, meter)
	go func() { _ = s.server.ServeTLS(NewListener(s.listener, meter), "", "") }()
	t.Cleanup(func() {
		_ = s.server.Close()
		_ = s.listener.Close()
		synctest.Wait()
	})
	return s
}

// dial opens a connection and completes the handshake.
func (s *http2System) dial() *tls.Conn {
	raw := s.listener.dial()
	s.t.Cleanup(func() { raw.Close() })
	conn := tls.Client(raw, s.client)
	if err := conn.Handshake(); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// newClient returns a client that keeps its connection open.
func (s *http2System) newClient() *http.Client {
	transport := &http.Transport{ForceAttemptHTTP2: true, DialTLSContext: certificates.DialTLS(s.client,
		func(context.Context, string, string) (net.Conn, error) { return s.listener.dial(), nil }, "h2")}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (s *http2System) connectionStates() []http.ConnState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var states []http.ConnState
	for _, state := range s.states {
		states = append(states, state)
	}
	return states
}

// echo replies with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = w.Write(body)
}

// TestHTTP2PauseBeforeSettings guards against closing a new connection because the process was
// paused before it had read the client's settings. Callers met an EOF in place of a response.
func TestHTTP2PauseBeforeSettings(t *testing.T) {
	input := append([]byte(http2Preface), append(http2Settings[:len(http2Settings):len(http2Settings)], http2Ping...)...)
	for _, sentBefore := range []int{0, 1, len(http2Preface), len(http2Preface) + 1, len(http2Preface) + len(http2Settings)} {
		for _, pauses := range []int{0, 1, 3} {
			synctest.Test(t, func(t *testing.T) {
				s := startHTTP2(t, echo)
				conn := s.dial()
				received := make(chan error, 1)
				go func() { received <- readUntilPingReply(conn) }()
				if _, err := conn.Write(input[:sentBefore]); err != nil {
					t.Fatal(err)
				}
				time.Sleep(http2SettleTime)
				for range pauses {
					s.pauseFor(http2Pause)
					time.Sleep(http2SettleTime)
				}
				if _, err := conn.Write(input[sentBefore:]); err != nil {
					t.Fatal(err)
				}
				if err := <-received; err != nil {
					t.Errorf("%d bytes sent before %d pauses: no reply to the ping: %v", sentBefore, pauses, err)
				}
			})
		}
	}
}

// TestHTTP2SettingsTimeout guards against keeping connections whose clients send no settings.
func TestHTTP2SettingsTimeout(t *testing.T) {
	for _, input := range []string{"", http2Preface, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			s := startHTTP2(t, echo)
			conn := s.dial()
			if _, err := io.WriteString(conn, input); err != nil {
				t.Fatal(err)
			}
			startedAt := time.Now()
			if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("input %q: %v", input, err)
			}
			if took := time.Since(startedAt); took > http2SettingsTimeout+time.Second {
				t.Errorf("input %q: closed after %v", input, took)
			}
			synctest.Wait()
			if states := s.connectionStates(); len(states) > 0 {
				t.Errorf("input %q: states of open connections %v, want none", input, states)
			}
		})
	}
}

// sendHTTP2Body sends a request, waits between the halves of its body, and returns the response's
// status and body.
func (s *http2System) sendHTTP2Body(wait func()) (int, string) {
	body, sender := io.Pipe()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(sender, "ab")
		time.Sleep(http2SettleTime)
		wait()
		_, _ = io.WriteString(sender, "cd")
		sender.Close()
	}()
	response, err := s.newClient().Post("https://127.0.0.1/", "text/plain", body)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Error(err)
	}
	body.Close()
	<-sent
	return response.StatusCode, string(content)
}

// TestHTTP2PauseWithinBody guards against rejecting a request because the process was paused while
// its body arrived.
func TestHTTP2PauseWithinBody(t *testing.T) {
	for pauses := range 4 {
		synctest.Test(t, func(t *testing.T) {
			s := startHTTP2(t, echo)
			status, content := s.sendHTTP2Body(func() {
				for range pauses {
					s.pauseFor(http2Pause)
					time.Sleep(http2SettleTime)
				}
			})
			if status != http.StatusOK || content != "abcd" {
				t.Errorf("%d pauses: status %d, body %q", pauses, status, content)
			}
		})
	}
}

// TestHTTP2BodyTimeout guards against waiting without limit for the rest of a body.
func TestHTTP2BodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startHTTP2(t, echo)
		if status, content := s.sendHTTP2Body(func() { time.Sleep(2 * http2ReadTimeout) }); status != http.StatusBadRequest {
			t.Errorf("status %d, body %q", status, content)
		}
	})
}

// TestHTTP2Shutdown guards against a shutdown that aborts requests, does not tell clients to leave,
// or does not see connections.
func TestHTTP2Shutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entered, release := make(chan struct{}), make(chan struct{})
		s := startHTTP2(t, func(w http.ResponseWriter, r *http.Request) {
			if r.TLS == nil || r.ProtoMajor != 2 {
				t.Errorf("protocol %s, TLS state %v", r.Proto, r.TLS)
			}
			close(entered)
			<-release
		})
		result := make(chan error, 1)
		go func() {
			response, err := s.newClient().Get("https://127.0.0.1/")
			if err == nil {
				response.Body.Close()
			}
			result <- err
		}()
		<-entered
		if states := s.connectionStates(); len(states) != 1 || states[0] != http.StateActive {
			t.Errorf("states of open connections %v, want one active", states)
		}
		time.AfterFunc(time.Second, func() { close(release) })
		if err := s.server.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		if err := <-result; err != nil {
			t.Error(err)
		}
		synctest.Wait()
		if states := s.connectionStates(); len(states) > 0 {
			t.Errorf("states of open connections after the shutdown %v, want none", states)
		}
		time.Sleep(shutdownPollInterval) // net/http runs the shutdown of the inner server asynchronously
	})
}

// shutdownPollInterval is the longest interval at which net/http's Shutdown looks for open connections.
const shutdownPollInterval = 550 * time.Millisecond
