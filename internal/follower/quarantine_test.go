package follower

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
)

// recordingQuarantine notes what it is told.
type recordingQuarantine struct{ calls []string }

func (h *recordingQuarantine) Adopt(identity string, value []byte) {
	h.calls = append(h.calls, identity+"="+string(value))
}

func (h *recordingQuarantine) Forgotten(identity string) {
	h.calls = append(h.calls, identity+" is gone")
}

// TestQuarantinedRequestsAreTakenIn: each write of the store once, however often it is read.
func TestQuarantinedRequestsAreTakenIn(t *testing.T) {
	state, _ := newTestState(t)
	heard := &recordingQuarantine{}
	state.options.Quarantine = heard
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
	if diff := cmp.Diff([]string{"ab=x", "ab=y", "ab is gone"}, heard.calls); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}
