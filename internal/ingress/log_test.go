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

// logged returns the lines that a number of equal requests gave.
func logged(t *testing.T, forwarder *fakeForwarder, requests int) []map[string]any {
	t.Helper()
	var text bytes.Buffer
	handler := newTestHandler(forwarder, func(o *Options) { o.Logger = slog.New(slog.NewJSONHandler(&text, nil)) })
	for range requests {
		serveOne(handler, request(http.MethodGet, "/p/", ""))
	}
	var lines []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(text.String()), "\n") {
		var read map[string]any
		if err := json.Unmarshal([]byte(line), &read); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		lines = append(lines, read)
	}
	return lines
}

func TestALineTellsWhatWasDecided(t *testing.T) {
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
		{"in part", &fakeForwarder{answer: query.ForwardResult{MissingShards: 1, Trace: trace}}, messagePartial, []string{"missing", "shards"}},
		{"late", &fakeForwarder{answer: query.ForwardResult{Late: true, Trace: trace}}, messageLate, []string{"shards"}},
		{"failed", &fakeForwarder{answer: query.ForwardResult{Trace: trace}, err: failure.New(failure.InsufficientCoverage, "2 of 4")}, messageNotServed, []string{"kind", "not_run", "reason", "shards", "caller", "target"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			line := logged(t, test.forwarder, 1)[0]
			if line["msg"] != test.message || line["request"] != "q1" {
				t.Errorf("line %v", line)
			}
			for _, key := range test.want {
				if _, told := line[key]; !told {
					t.Errorf("%s is not told in %v", key, line)
				}
			}
		})
	}
}

// TestTheVolumeIsBounded: successes are sampled, failures told up to a rate, and
// what is left out is counted.
func TestTheVolumeIsBounded(t *testing.T) {
	const requests = 1000
	for _, test := range []struct {
		name      string
		forwarder *fakeForwarder
		burst     int
		perSecond int
	}{
		{"answered", &fakeForwarder{}, plainBurst, plainLines},
		{"failed", &fakeForwarder{err: failure.New(failure.NoReplica, "x")}, noteworthyBurst, noteworthyLines},
	} {
		t.Run(test.name, func(t *testing.T) {
			started := time.Now()
			lines := len(logged(t, test.forwarder, requests))
			most := test.burst + int(time.Since(started).Seconds()+1)*test.perSecond
			if lines < test.burst || lines > most {
				t.Errorf("%d lines of %d requests, want from %d to %d", lines, requests, test.burst, most)
			}
		})
	}
}

func TestLinesLeftOutAreCounted(t *testing.T) {
	var text bytes.Buffer
	handler := newTestHandler(&fakeForwarder{}, func(o *Options) { o.Logger = slog.New(slog.NewJSONHandler(&text, nil)) })
	handler.(*Handler).lines.plain.SetLimit(0)
	const requests = 50
	for range requests {
		serveOne(handler, request(http.MethodGet, "/p/", ""))
	}
	text.Reset()
	handler.(*Handler).lines.plain.SetLimit(rate.Inf)
	serveOne(handler, request(http.MethodGet, "/p/", ""))
	if !strings.Contains(text.String(), `"omitted_lines":45`) {
		t.Errorf("line %s", text.String())
	}
}
