package daemon

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/elapsed/operation/operationtest"
)

// TestPauseWhileDialingStore guards against failing to connect because the daemon was paused for
// longer than the dial timeout while the store's system accepted the connection. It pauses this
// process and therefore does not run in parallel with others.
func TestPauseWhileDialingStore(t *testing.T) {
	const pause = storeDialTimeout + time.Second/2
	source, err := certificates.NewSource(issueFiles(t, newAuthority(t), t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	listener, makeRoom := operationtest.ListenFull(t)
	sources := tlsSources{storeSource: source}
	client := sources.storeHTTPClient()
	defer client.CloseIdleConnections()
	result := make(chan error, 1)
	go func() {
		response, err := client.Get("https://" + listener.Addr().String())
		if err == nil {
			err = response.Body.Close()
		}
		result <- err
	}()
	time.Sleep(storeDialTimeout / 4) // the first connection request is dropped
	makeRoom()
	operationtest.PauseProcess(t, pause)
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }),
		TLSConfig: source.ServerConfig(protocolHTTP1),
	}
	defer server.Close()
	go func() { _ = server.ServeTLS(listener, "", "") }()
	if err := <-result; err != nil {
		t.Error(err)
	}
}
