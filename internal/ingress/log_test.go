package ingress

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
)

// logLines returns the lines that are logged for a number of equal requests.
func logLines(t *testing.T, forwarder *fakeForwarder, requests int) []map[string]any {
	t.Helper()
	var output bytes.Buffer
	handler := newTestHandler(forwarder, func(o *Options) { o.Logger = slog.New(slog.NewJSONHandler(&output, nil)) })
	for range requests {
		serveOne(handler, newRequest(http.MethodGet, "/p/", ""))
	}
	var lines []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(output.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		lines = append(lines, fields)
	}
	return lines
}

func TestLogLineAttributes(t *testing.T) {
	trace := []query.ShardTrace{{
		Group: "g3", Reason: "failed", Error: "reset", Attempts: []query.AttemptTrace{{Replica: "10.0.0.1:1", SentMilliseconds: 4, Outcome: "failed"}},
	}}
	cases := []struct {
		name      string
		forwarder *fakeForwarder
		message   string
		want      []string
	}{
		{"answered", &fakeForwarder{answer: query.ForwardResult{Attempts: 4}}, messageAnswered, []string{"route", "attempts", "configuration"}},
		{"partial", &fakeForwarder{answer: query.ForwardResult{MissingShards: 1, Trace: trace}}, messagePartial, []string{"missing", "shards"}},
		{"late", &fakeForwarder{answer: query.ForwardResult{Late: true, Trace: trace}}, messageLate, []string{"shards"}},
		{"failed", &fakeForwarder{answer: query.ForwardResult{Trace: trace}, err: failure.New(failure.InsufficientCoverage, "2 of 4")}, messageNotServed, []string{"kind", "not_run", "reason", "shards", "caller", "target"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			line := logLines(t, test.forwarder, 1)[0]
			if line["msg"] != test.message || line["request"] != "q1" {
				t.Errorf("unexpected message or request ID in %v", line)
			}
			for _, key := range test.want {
				if _, found := line[key]; !found {
					t.Errorf("attribute %s is missing in %v", key, line)
				}
			}
		})
	}
}

// Guards against a refusal by the tenant's limit whose line does not tell what decided it, and
// against a node that never reported being logged as up to date.
func TestQuotaRefusalLogsAge(t *testing.T) {
	refused := failure.New(failure.QuotaExceeded, "tenant's limit: pace").WithNotRun(true).WithRetryAfter(1500 * time.Millisecond)
	for _, test := range []struct {
		name string
		age  *QuotaAge
		want map[string]any
	}{
		{"reports", &QuotaAge{Node: "n2", Age: 730 * time.Millisecond, Silent: 1}, map[string]any{"quota_age_ms": 730.0, "quota_oldest": "n2", "quota_silent": 1.0}},
		{"a node never reported", &QuotaAge{Node: "n3", Age: -time.Millisecond}, map[string]any{"quota_age_ms": -1.0, "quota_oldest": "n3", "quota_silent": 0.0}},
		{"no other node", &QuotaAge{}, map[string]any{"quota_age_ms": nil, "quota_oldest": nil, "quota_silent": 0.0}},
		{"unknown", nil, map[string]any{"quota_age_ms": nil, "quota_oldest": nil, "quota_silent": nil}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var output bytes.Buffer
			handler := newTestHandler(&fakeForwarder{err: refused}, func(o *Options) {
				o.Logger = slog.New(slog.NewJSONHandler(&output, nil))
				if test.age != nil {
					o.QuotaAge = func() QuotaAge { return *test.age }
				}
			})
			serveOne(handler, newRequest(http.MethodGet, "/p/", ""))
			var line map[string]any
			if err := json.Unmarshal(output.Bytes(), &line); err != nil {
				t.Fatalf("%q: %v", output.String(), err)
			}
			test.want["retry_after_ms"], test.want["kind"] = 1500.0, "quota_exceeded"
			for key, want := range test.want {
				if line[key] != want {
					t.Errorf("%s is %v, want %v, in %v", key, line[key], want, line)
				}
			}
		})
	}
}

func TestLogRateLimit(t *testing.T) {
	const requests = 1000
	for _, test := range []struct {
		name      string
		forwarder *fakeForwarder
		burst     int
		perSecond int
	}{
		{"answered", &fakeForwarder{}, completeBurst, completePerSecond},
		{"failed", &fakeForwarder{err: failure.New(failure.NoReplica, "x")}, incompleteBurst, incompletePerSecond},
		{"over the tenant's limit", &fakeForwarder{err: failure.New(failure.QuotaExceeded, "x")}, refusedBurst, refusedPerSecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			startedAt := time.Now()
			lines := len(logLines(t, test.forwarder, requests))
			maxLines := test.burst + int(time.Since(startedAt).Seconds()+1)*test.perSecond
			if lines < test.burst || lines > maxLines {
				t.Errorf("%d lines for %d requests, want between %d and %d", lines, requests, test.burst, maxLines)
			}
		})
	}
}

func TestLogCountsOmittedLines(t *testing.T) {
	var output bytes.Buffer
	handler := newTestHandler(&fakeForwarder{}, func(o *Options) { o.Logger = slog.New(slog.NewJSONHandler(&output, nil)) })
	handler.(*Handler).log.complete.SetLimit(0)
	const requests = 50
	for range requests {
		serveOne(handler, newRequest(http.MethodGet, "/p/", ""))
	}
	output.Reset()
	handler.(*Handler).log.complete.SetLimit(rate.Inf)
	serveOne(handler, newRequest(http.MethodGet, "/p/", ""))
	if !strings.Contains(output.String(), `"omitted_lines":45`) {
		t.Errorf("omitted_lines is not 45 in %s", output.String())
	}
}
