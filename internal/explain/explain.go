// Package explain reconstructs the timeline of one request from the logs of the
// nodes: the decisions made for it, and the events that the deciding node logged
// shortly before.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// eventWindow is how long before a line of the request the node's other events
// are included.
const eventWindow = 10 * time.Second

// maxEvents bounds the number of events written for each line of the request.
const maxEvents = 12

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line. Source is the last word that precedes the JSON document,
// usually the node's name.
type Line struct {
	Source  string
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]json.RawMessage
}

// requestID returns the ID of the request that the line refers to, or "".
func (l *Line) requestID() string {
	var id string
	_ = json.Unmarshal(l.Fields["request"], &id) // a missing or non-string ID means no request
	return id
}

// Read parses log lines that contain one JSON document each. Other lines are
// skipped.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read logs")
}

func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Source: sourceName(text[:start]), Fields: fields}
	if json.Unmarshal(fields["time"], &line.Time) != nil || json.Unmarshal(fields["msg"], &line.Message) != nil {
		return Line{}, false
	}
	_ = json.Unmarshal(fields["level"], &line.Level) // the level is optional
	for _, key := range []string{"time", "msg", "level"} {
		delete(fields, key)
	}
	return line, true
}

// sourceName returns the last word of the prefix. Log collectors may prepend a
// timestamp and the node's name.
func sourceName(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// WriteTimeline writes the lines that refer to a request, each preceded by recent
// events of the same node. It returns an error if no line refers to the request.
func WriteTimeline(lines []Line, requestID string, w io.Writer) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	matches := 0
	for i := range lines {
		if lines[i].requestID() != requestID {
			continue
		}
		matches++
		writeEvents(w, lines[:i], &lines[i])
		writeLine(w, &lines[i])
	}
	if matches == 0 {
		return eris.Errorf("no log line for request %q: it reached none of the nodes whose logs were read, or its line was dropped by rate limiting (omitted_lines)", requestID)
	}
	return nil
}

// writeEvents writes the lines without a request that the target's node logged
// within eventWindow before it.
func writeEvents(w io.Writer, earlier []Line, target *Line) {
	var events []*Line
	for i := range earlier {
		line := &earlier[i]
		if line.Source == target.Source && line.requestID() == "" && target.Time.Sub(line.Time) <= eventWindow {
			events = append(events, line)
		}
	}
	if excess := len(events) - maxEvents; excess > 0 {
		_, _ = fmt.Fprintf(w, "  (%d earlier events omitted)\n", excess)
		events = events[excess:]
	}
	for _, line := range events {
		_, _ = fmt.Fprintf(w, "  %8s before: %s%s\n", target.Time.Sub(line.Time).Round(time.Millisecond), line.Message, formatFields(line.Fields))
	}
}

func writeLine(w io.Writer, line *Line) {
	source := cmp.Or(line.Source, "node")
	_, _ = fmt.Fprintf(w, "%s %s: %s\n", line.Time.Format("15:04:05.000"), source, line.Message)
	for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
		if key == "shards" {
			writeShards(w, line.Fields[key])
			continue
		}
		_, _ = fmt.Fprintf(w, "    %s: %s\n", key, line.Fields[key])
	}
}

// answerText includes the time of the answer if the trace has it.
func (s *shardTrace) answerText() string {
	if s.AnsweredMilliseconds == 0 {
		return "answered"
	}
	return fmt.Sprintf("answered at %d ms", s.AnsweredMilliseconds)
}

// shardTrace is a shard's trace as logged by the nodes.
type shardTrace struct {
	Group  string `json:"group"`
	Reason string `json:"reason"`
	Error  string `json:"error"`
	// AnsweredMilliseconds and NoHedge are set for shards that answered late.
	AnsweredMilliseconds int64  `json:"answered_ms"`
	NoHedge              string `json:"no_hedge"`
	Attempts             []struct {
		Replica string `json:"replica"`
		SentMS  int64  `json:"sent_ms"`
		Outcome string `json:"outcome"`
	} `json:"attempts"`
}

func writeShards(w io.Writer, encoded json.RawMessage) {
	var shards []shardTrace
	if err := json.Unmarshal(encoded, &shards); err != nil {
		_, _ = fmt.Fprintf(w, "    shards: %s\n", encoded)
		return
	}
	for _, shard := range shards {
		_, _ = fmt.Fprintf(w, "    shard %s: %s %s\n", shard.Group, cmp.Or(shard.Reason, shard.answerText()), shard.Error)
		if shard.NoHedge != "" {
			_, _ = fmt.Fprintf(w, "      no hedge: %s\n", shard.NoHedge)
		}
		for _, attempt := range shard.Attempts {
			_, _ = fmt.Fprintf(w, "      at %d ms to %s: %s\n", attempt.SentMS, cmp.Or(attempt.Replica, "no replica"), attempt.Outcome)
		}
	}
}

func formatFields(fields map[string]json.RawMessage) string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&text, " %s=%s", key, fields[key])
	}
	return text.String()
}
