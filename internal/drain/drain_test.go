package drain

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

func TestDrainAcceptsQueuedConnections(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const queued = 50
	for range queued {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
	}
	accepted := make(chan int)
	go func() { accepted <- acceptAll(listener) }()
	if err := listener.Drain(); err != nil {
		t.Fatal(err)
	}
	if got := <-accepted; got != queued {
		t.Errorf("accepted %d connections; want %d", got, queued)
	}
	if connection, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		connection.Close()
		t.Error("a drained listener accepted a connection")
	}
}

// acceptAll accepts connections until the listener is closed and returns their number, or
// -1 on any other error.
func acceptAll(listener net.Listener) int {
	for count := 0; ; count++ {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return count
		}
		if err != nil {
			return -1
		}
		defer connection.Close()
	}
}

func TestConnectionsWaitIdle(t *testing.T) {
	const idle = time.Second
	cases := []struct {
		name   string
		states []http.ConnState
		want   time.Duration
	}{
		{"no connection", nil, 0},
		{"new", []http.ConnState{http.StateNew}, idle},
		{"idle after a request", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, idle},
		{"closed", []http.ConnState{http.StateNew, http.StateActive, http.StateClosed}, 0},
		{"request in flight", []http.ConnState{http.StateNew, http.StateActive}, 10 * idle},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				connections := &Connections{}
				local, remote := net.Pipe()
				defer local.Close()
				defer remote.Close()
				for _, state := range test.states {
					connections.setState(local, state)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*idle)
				defer cancel()
				start := time.Now()
				_ = connections.WaitIdle(ctx, idle)
				if took := time.Since(start); took != test.want {
					t.Errorf("idle after %s; want %s", took, test.want)
				}
			})
		})
	}
}

func TestServerAnswersRequestWhileDraining(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := &Connections{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})}
	connections.Track(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := listener.Drain(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if err := connections.WaitIdle(t.Context(), time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve returned %v; want %v", err, net.ErrClosed)
	}
}

// TestDrainAcceptsConnectionsOfPause tests that connections that arrive while the process is paused,
// beyond the end of the drain period, are accepted when it resumes.
func TestDrainAcceptsConnectionsOfPause(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	go func() { drained <- listener.Drain() }()
	time.Sleep(2 * drainPeriod) // no goroutine accepts, as in a paused process
	const queued = 50
	for range queued {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
	}
	if got := acceptAll(listener); got != queued {
		t.Errorf("accepted %d connections; want %d", got, queued)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
