package follower

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
)

// recordingQuarantine records its calls.
type recordingQuarantine struct{ calls []string }

func (q *recordingQuarantine) HandleStored(identity string, value []byte) {
	q.calls = append(q.calls, identity+"="+string(value))
}

func (q *recordingQuarantine) HandleDeleted(identity string) {
	q.calls = append(q.calls, identity+" forgotten")
}

// TestQuarantineEntries tests that each write of an entry is reported once, however often it is
// listed.
func TestQuarantineEntries(t *testing.T) {
	state, _ := newTestState(t)
	recorder := &recordingQuarantine{}
	state.options.Quarantine = recorder
	state.options.Keys.Quarantine = "quarantine/"
	entry := func(revision int64, value string) store.KeyValue {
		return store.KeyValue{Key: "quarantine/ab", Value: []byte(value), ModRevision: revision}
	}
	state.replace(start, []store.KeyValue{entry(3, "x")})
	state.replace(start, []store.KeyValue{entry(3, "x")})
	state.apply(start, store.Event{KeyValue: entry(3, "x")})
	state.apply(start, store.Event{KeyValue: entry(5, "y")})
	state.apply(start, store.Event{KeyValue: entry(4, "older")})
	state.apply(start, store.Event{KeyValue: store.KeyValue{Key: "quarantine/ab"}, Deleted: true})
	if diff := cmp.Diff([]string{"ab=x", "ab=y", "ab forgotten"}, recorder.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}
