package client

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed/operation/operationtest"
)

// TestPauseWhileDialing guards against failing to connect because the caller's process was paused
// for longer than the dial timeout while the daemon's system accepted the connection.
func TestPauseWhileDialing(t *testing.T) {
	const pause = dialTimeout + time.Second/2
	listener, makeRoom := operationtest.ListenFull(t)
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := New("http://"+listener.Addr().String(), &http.Client{Transport: transport}).Query(ctx, Query{Group: "gate"})
		result <- err
	}()
	time.Sleep(time.Second / 4) // the first connection request is dropped
	makeRoom()
	operationtest.PauseProcess(t, pause)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	if err := <-result; err != nil {
		t.Error(err)
	}
}
