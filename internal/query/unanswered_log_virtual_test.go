package query_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/query"
)

// TestUnansweredLogTellsWhenSubRequestsWereWritten guards against a line about an unanswered query
// that does not tell silent replicas from a process that wrote its sub-requests late.
func TestUnansweredLogTellsWhenSubRequestsWereWritten(t *testing.T) {
	const timeout = time.Second
	runSynctest(t, "silent replicas", func(t *testing.T) {
		f := newFixture(t, []replyFunc{replyAfter(2 * timeout)}, []replyFunc{replyAfter(2 * timeout)})
		f.setTimeout(timeout)
		var output bytes.Buffer
		f.options.Logger = slog.New(slog.NewJSONHandler(&output, nil))
		f.options.PausedTime = func() time.Duration { return 0 }
		if _, err := query.NewService(f.options).Search(t.Context(), phraseQuery()); err == nil {
			t.Error("answered")
		}
		var line struct {
			Sent, Written int
			LastWritten   string `json:"last_written"`
		}
		if err := json.Unmarshal(output.Bytes(), &line); err != nil {
			t.Fatalf("%v in %q", err, output.String())
		}
		latest, err := time.ParseDuration(line.LastWritten)
		if err != nil || line.Sent == 0 || line.Written != line.Sent || latest >= timeout {
			t.Errorf("line %+v, error %v", line, err)
		}
	})
}
