package daemon

import (
	"errors"
	"testing"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

// callOnce makes an at-most-once call and returns the kind of its error and whether the error
// states that the call was not run.
func callOnce(t *testing.T, daemon *Daemon, key string) (kind failure.Kind, notRun bool) {
	t.Helper()
	_, err := client.New("http://"+daemon.Addresses().Callers, nil).Call(t.Context(), client.Call{
		Group: "clerks", Key: key, Service: platform.RefundService, Operation: "credit",
	})
	var problem *client.Problem
	if errors.As(err, &problem) {
		return failure.Kind(problem.Kind), problem.NotRun
	}
	if err != nil {
		t.Fatal(err)
	}
	return "", false
}

func TestCallsRefusedAfterStoreRestore(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	second, _ := startDaemon(t, running, []*Daemon{first}, unchanged)
	waitForMembers(t, 2, first, second)
	expectCommand(t, first, operator.ExitOK, "in force on all 2 daemons", "policy set fast priority=high --author ama --wait 30s")
	expectCommand(t, first, operator.ExitUsage, "does not hold an older one", "restore --author ama")
	older := running.Store.Store.Revision()
	if kind, _ := callOnce(t, first, "lost"); kind != "" {
		t.Fatalf("call failed: %s", kind)
	}
	if err := running.Store.SetFaults(kv.Faults{RestoreRevision: older}); err != nil {
		t.Fatal(err)
	}
	expectRefused := func(daemon *Daemon, key string) {
		t.Helper()
		if kind, notRun := callOnce(t, daemon, key); kind != failure.StoreRegressed || !notRun {
			t.Errorf("call %s after the restore: kind %q, not run %v", key, kind, notRun)
		}
	}
	expectRefused(first, "lost")
	eventually(t, "second daemon refuses calls", second.calls.Regressed)
	expectRefused(second, "other")
	expectCommand(t, second, operator.ExitOK, "regressed", "status")
	expectCommand(t, second, operator.ExitOK, "calls are run again", "restore --author ama --wait 30s")
	eventually(t, "first daemon accepts calls", func() bool { return !first.calls.Regressed() })
	for _, daemon := range []*Daemon{first, second} {
		if kind, _ := callOnce(t, daemon, "after "+daemon.id); kind != "" {
			t.Errorf("call after the acknowledgment failed: %s", kind)
		}
	}
}
