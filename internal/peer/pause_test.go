package peer

import (
	"context"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
)

// TestCallTimeoutExcludesPauses guards against giving up a reply that came while the process was
// paused, and against reporting a timeout as a cancellation by the caller.
func TestCallTimeoutExcludesPauses(t *testing.T) {
	const timeout, latency = 200 * time.Millisecond, 400 * time.Millisecond
	options := serverOptions()
	options.Document = func(name document.Name) (document.Document, bool) {
		time.Sleep(latency)
		return document.Document{Name: name, Revision: 7, Body: []byte("{}")}, true
	}
	_, address := startServer(t, options)
	// A meter that does not run counts at most one reading as active.
	paused := elapsed.New(elapsed.Config{})
	running := elapsed.New(elapsed.Config{})
	go func() { _ = running.Run(t.Context()) }()
	canceled := func(parent context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithCancel(parent)
		cancel()
		return ctx, cancel
	}
	cases := []struct {
		name        string
		withTimeout elapsed.TimeoutFunc
		want        failure.Kind
	}{
		{"paused", paused.WithTimeout, ""},
		{"running", running.WithTimeout, failure.DeadlineExceeded},
		{"default", nil, failure.DeadlineExceeded},
		{"canceled", canceled, failure.Canceled},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := NewClient(ClientOptions{Timeout: timeout, WithTimeout: test.withTimeout})
			defer client.Close()
			_, err := client.FetchDocument(t.Context(), address, document.Table)
			if (err == nil) != (test.want == "") || err != nil && failure.KindOf(err) != test.want {
				t.Errorf("error %v, want kind %q", err, test.want)
			}
		})
	}
}
