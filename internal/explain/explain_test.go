package explain

import (
	"strings"
	"testing"
)

const logs = `started by hand
  1.2 node-a {"time":"2026-01-01T10:00:01Z","level":"WARN","msg":"store unreachable; serving from the last known state","error":"silent"}
  1.3 node-b {"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"replica gone","address":"10.0.0.9:1"}
  0.1 node-a {"time":"2026-01-01T09:50:00Z","level":"INFO","msg":"started"}
  1.4 node-a {"time":"2026-01-01T10:00:03.5Z","level":"INFO","msg":"request answered in part","request":"q1","route":"r","missing":1,"shards":[{"group":"g3","reason":"failed","error":"reset","attempts":[{"replica":"10.0.0.1:1","sent_ms":0,"outcome":"failed"},{"sent_ms":12,"outcome":"no_replica"}]},{"group":"g4","answered_ms":230,"no_hedge":"budget","attempts":[{"replica":"10.0.0.2:1","sent_ms":0,"outcome":"success"}]}]}
  1.5 node-b {"time":"2026-01-01T10:00:04Z","level":"INFO","msg":"request answered","request":"q2"}
{"broken":
`

func TestWriteTimeline(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	if err != nil || len(lines) != 5 {
		t.Fatalf("got %d lines and error %v, want 5 lines", len(lines), err)
	}
	var output strings.Builder
	if err := WriteTimeline(lines, "q1", &output); err != nil {
		t.Fatal(err)
	}
	want := `      2.5s before: store unreachable; serving from the last known state error="silent"
10:00:03.500 node-a: request answered in part
    missing: 1
    request: "q1"
    route: "r"
    shard g3: failed reset
      at 0 ms to 10.0.0.1:1: failed
      at 12 ms to no replica: no_replica
    shard g4: answered at 230 ms 
      no hedge: budget
      at 0 ms to 10.0.0.2:1: success
`
	if output.String() != want {
		t.Errorf("timeline:\n%s\nwant:\n%s", output.String(), want)
	}
}

func TestWriteTimelineUnknownRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	var output strings.Builder
	if err := WriteTimeline(lines, "q9", &output); err == nil || output.Len() > 0 {
		t.Errorf("got error %v and output %q, want an error and no output", err, output.String())
	}
}
