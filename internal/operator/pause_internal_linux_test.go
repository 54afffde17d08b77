package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed/operation/operationtest"
)

// TestPauseWhileWaitingForResponse guards against giving up a request whose response comes as soon as
// the command's process runs again.
func TestPauseWhileWaitingForResponse(t *testing.T) {
	const timeout, respondsAfter, pausedAfter, pause = time.Second, 300 * time.Millisecond, 100 * time.Millisecond, 1500 * time.Millisecond
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		for range 3 { // each part takes a part of the time, as the process is paused in between
			time.Sleep(respondsAfter / 3)
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	result := make(chan error, 1)
	go func() {
		admin := NewAdminClient(strings.TrimPrefix(server.URL, "http://"), "")
		result <- admin.do(t.Context(), http.MethodGet, "/", timeout, nil, &struct{}{})
	}()
	<-arrived
	time.Sleep(pausedAfter / 2)
	operationtest.PauseProcess(t, pause)
	if err := <-result; err != nil {
		t.Error(err)
	}
}
