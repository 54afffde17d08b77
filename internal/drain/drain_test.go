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

func TestTurnOffHandsOverWaitingConnections(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 50
	for range waiting {
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
	if got := <-accepted; got != waiting {
		t.Errorf("accepted %d connections; want %d", got, waiting)
	}
	if connection, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		connection.Close()
		t.Error("a listener that is turned off accepts a connection")
	}
}

// acceptAll accepts until the listener is closed.
func acceptAll(listener net.Listener) int {
	for number := 0; ; number++ {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return number
		}
		if err != nil {
			return -1
		}
		defer connection.Close()
	}
}

func TestConnectionsAreQuiet(t *testing.T) {
	const idle = time.Second
	cases := []struct {
		name   string
		states []http.ConnState
		want   time.Duration
	}{
		{"none", nil, 0},
		{"new and never used", []http.ConnState{http.StateNew}, idle},
		{"idle after a request", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, idle},
		{"closed", []http.ConnState{http.StateNew, http.StateActive, http.StateClosed}, 0},
		{"a request in flight for all of the time", []http.ConnState{http.StateNew, http.StateActive}, 10 * idle},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				connections := &Connections{}
				here, there := net.Pipe()
				defer here.Close()
				defer there.Close()
				for _, state := range test.states {
					connections.changed(here, state)
				}
				bounded, cancel := context.WithTimeout(t.Context(), 10*idle)
				defer cancel()
				start := time.Now()
				_ = connections.WaitIdle(bounded, idle)
				if took := time.Since(start); took != test.want {
					t.Errorf("quiet after %s; want %s", took, test.want)
				}
			})
		})
	}
}

func TestServerAnswersWhatArrivesWhileItDrains(t *testing.T) {
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
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	if err := listener.Drain(); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if err := connections.WaitIdle(t.Context(), time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("serve ended with %v; want %v", err, net.ErrClosed)
	}
}
