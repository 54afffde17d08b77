package peer

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/elapsed/operation/operationtest"
)

// TestPauseWhileDialing guards against failing to connect because this daemon was paused for longer
// than the dial timeout while the peer's system accepted the connection.
func TestPauseWhileDialing(t *testing.T) {
	const pause = dialTimeout + time.Second/2
	meter := elapsed.New(elapsed.Config{})
	go func() { _ = meter.Run(t.Context()) }()
	listener, makeRoom := operationtest.ListenFull(t)
	address := listener.Addr().String()
	client := NewClient(ClientOptions{WithTimeout: meter.WithTimeout})
	defer client.Close()
	result := make(chan error, 1)
	go func() {
		_, err := client.FetchDocument(t.Context(), address, document.Table)
		result <- err
	}()
	time.Sleep(dialTimeout / 4) // the first connection request is dropped
	makeRoom()
	operationtest.PauseProcess(t, pause)
	server := &http.Server{Handler: NewServer(serverOptions()), Protocols: ServerProtocols()}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	if err := <-result; err != nil {
		t.Error(err)
	}
}
