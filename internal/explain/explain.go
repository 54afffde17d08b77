// Package explain tells the story of one request from the logs of the nodes:
// what was decided for it, and what the node that decided believed just before.
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

// stateWindow is how long before the request's line a change of state is told.
const stateWindow = 10 * time.Second

// mostStates bounds the changes of state that are told for each line.
const mostStates = 12

// longestLine bounds a line of the logs, in bytes.
const longestLine = 1 << 20

// Line is one log line. Source is what stands before the document, such as the
// node's name.
type Line struct {
	Source  string
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]json.RawMessage
}

// request returns the request that a line is about, or "".
func (l *Line) request() string {
	var id string
	_ = json.Unmarshal(l.Fields["request"], &id) // absent, or not text: no request
	return id
}

// Read reads lines, each with one JSON document; other lines are passed over.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, longestLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read the logs")
}

func parse(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Source: nameOf(text[:begin]), Fields: fields}
	if json.Unmarshal(fields["time"], &line.Time) != nil || json.Unmarshal(fields["msg"], &line.Message) != nil {
		return Line{}, false
	}
	_ = json.Unmarshal(fields["level"], &line.Level) // a line without a level is told without
	for _, told := range []string{"time", "msg", "level"} {
		delete(fields, told)
	}
	return line, true
}

// nameOf returns the last word before the document: a collector may put a time
// and the node's name there.
func nameOf(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// WriteTimeline writes what the lines tell of a request. It returns an error when they
// tell nothing.
func WriteTimeline(lines []Line, request string, out io.Writer) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	found := 0
	for i := range lines {
		if lines[i].request() != request {
			continue
		}
		found++
		tellStates(out, lines[:i], &lines[i])
		tell(out, &lines[i])
	}
	if found == 0 {
		return eris.Errorf("no line tells of request %q: it came to no node whose logs these are, or its line was left out for volume (omitted_lines)", request)
	}
	return nil
}

// tellStates writes what the line's node noted of itself just before.
func tellStates(out io.Writer, before []Line, about *Line) {
	var states []*Line
	for i := range before {
		line := &before[i]
		if line.Source == about.Source && line.request() == "" && about.Time.Sub(line.Time) <= stateWindow {
			states = append(states, line)
		}
	}
	if more := len(states) - mostStates; more > 0 {
		_, _ = fmt.Fprintf(out, "  (%d earlier changes of state)\n", more)
		states = states[more:]
	}
	for _, line := range states {
		_, _ = fmt.Fprintf(out, "  %8s before: %s%s\n", about.Time.Sub(line.Time).Round(time.Millisecond), line.Message, describe(line.Fields))
	}
}

func tell(out io.Writer, line *Line) {
	source := cmp.Or(line.Source, "node")
	_, _ = fmt.Fprintf(out, "%s %s: %s\n", line.Time.Format("15:04:05.000"), source, line.Message)
	for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
		if key == "shards" {
			tellShards(out, line.Fields[key])
			continue
		}
		_, _ = fmt.Fprintf(out, "    %s: %s\n", key, line.Fields[key])
	}
}

// answered tells when the shard answered, if the trace says so.
func (s *shard) answered() string {
	if s.AnsweredMilliseconds == 0 {
		return "answered"
	}
	return fmt.Sprintf("answered at %d ms", s.AnsweredMilliseconds)
}

// shard is a shard's trace as the nodes log it.
type shard struct {
	Group  string `json:"group"`
	Reason string `json:"reason"`
	Error  string `json:"error"`
	// AnsweredMilliseconds and NoHedge explain a shard that was late.
	AnsweredMilliseconds int64  `json:"answered_ms"`
	NoHedge              string `json:"no_hedge"`
	Attempts             []struct {
		Replica string `json:"replica"`
		SentMS  int64  `json:"sent_ms"`
		Outcome string `json:"outcome"`
	} `json:"attempts"`
}

func tellShards(out io.Writer, encoded json.RawMessage) {
	var shards []shard
	if err := json.Unmarshal(encoded, &shards); err != nil {
		_, _ = fmt.Fprintf(out, "    shards: %s\n", encoded)
		return
	}
	for _, one := range shards {
		_, _ = fmt.Fprintf(out, "    shard %s: %s %s\n", one.Group, cmp.Or(one.Reason, one.answered()), one.Error)
		if one.NoHedge != "" {
			_, _ = fmt.Fprintf(out, "      no hedge: %s\n", one.NoHedge)
		}
		for _, attempt := range one.Attempts {
			_, _ = fmt.Fprintf(out, "      at %d ms to %s: %s\n", attempt.SentMS, cmp.Or(attempt.Replica, "no replica"), attempt.Outcome)
		}
	}
}

func describe(fields map[string]json.RawMessage) string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&text, " %s=%s", key, fields[key])
	}
	return text.String()
}
