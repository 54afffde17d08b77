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

// callOnce makes an at-most-once call and returns the kind of its error and
// whether it was told as not run.
func callOnce(t *testing.T, through *Daemon, key string) (kind failure.Kind, notRun bool) {
	t.Helper()
	_, err := client.New("http://"+through.Addresses().Callers, nil).Call(t.Context(), client.Call{
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

func TestCallsAreRefusedAfterARestoreUntilAnOperatorSaysSo(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	second, _ := startDaemon(t, running, []*Daemon{first}, unchanged)
	awaitMembers(t, 2, first, second)
	expect(t, first, operator.ExitOK, "in force on all 2 daemons", "policy set fast priority=high --author ama --wait 30s")
	expect(t, first, operator.ExitUsage, "does not hold an older one", "restore --author ama")
	older := running.Store.Store.Revision()
	if kind, _ := callOnce(t, first, "lost"); kind != "" {
		t.Fatalf("a call failed: %s", kind)
	}
	if err := running.Store.SetFaults(kv.Faults{RestoreRevision: older}); err != nil {
		t.Fatal(err)
	}
	refused := func(through *Daemon, key string) {
		t.Helper()
		if kind, notRun := callOnce(t, through, key); kind != failure.StoreRegressed || !notRun {
			t.Errorf("call %s after the restore: kind %q, not run %v", key, kind, notRun)
		}
	}
	refused(first, "lost")
	eventually(t, "the other daemon refuses too", second.calls.Regressed)
	refused(second, "other")
	expect(t, second, operator.ExitOK, "regressed", "status")
	expect(t, second, operator.ExitOK, "calls are run again", "restore --author ama --wait 30s")
	eventually(t, "the first daemon runs calls again", func() bool { return !first.calls.Regressed() })
	for _, one := range []*Daemon{first, second} {
		if kind, _ := callOnce(t, one, "after "+one.id); kind != "" {
			t.Errorf("a call after the acknowledgment: %s", kind)
		}
	}
}
