package proofs

import (
	"context"
	"flag"
	"os"
	"runtime/debug"
	"testing"
	"time"
)

// The defaults are small; a larger run is, for example:
// go test ./internal/proofs -run PlannedStop -requests 100000 -stops 12
var (
	requests = flag.Int64("requests", 3000, "requests sent while daemons are stopped")
	stops    = flag.Int("stops", 2, "daemons stopped under load")
	keys     = flag.Int("keys", 600, "operations that may not be repeated")
	rounds   = flag.Int("rounds", 1, "how often each fault comes while they are called")
	limit    = flag.Duration("limit", 4*time.Minute, "longest time of one proof")
)

// programs are the binaries under test.
var programs Programs

// memoryLimit is the size in bytes from which garbage is collected.
const memoryLimit = 2 << 30

func TestMain(m *testing.M) {
	flag.Parse()
	limitGarbageCollections()
	os.Exit(buildAndRun(m))
}

// limitGarbageCollections prevents collections below memoryLimit. This process runs the
// callers and the platform. Beside much load, each collection waits for threads that the
// system is not running.
func limitGarbageCollections() {
	debug.SetGCPercent(-1)
	debug.SetMemoryLimit(memoryLimit)
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "doorpond-proofs")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	programs, err = Build(context.Background(), directory)
	if err != nil {
		panic(err)
	}
	return m.Run()
}

func startCluster(t *testing.T, arguments ...string) (context.Context, *Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), *limit)
	t.Cleanup(cancel)
	cluster, err := Start(ctx, ClusterOptions{Programs: programs, Directory: t.TempDir(), Daemons: 3, Arguments: arguments})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cluster.Close() })
	diagnoseFailure(t, cluster)
	return ctx, cluster
}

func TestPlannedStopCompletesRequests(t *testing.T) {
	t.Parallel()
	ctx, cluster := startCluster(t, "--stop-grace", "300ms")
	report, err := PlannedStop(ctx, cluster, PlannedStopOptions{
		Requests: *requests, Callers: 40, RequestInterval: time.Millisecond, Stops: *stops,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if report.CutOff != 0 || report.Failed != 0 || report.Stops != *stops {
		t.Error(report)
	}
}

// TestFrozenStopCompletesRequests guards against counting the time that a daemon is
// suspended towards its stop timeout, which cut off calls in flight on resumption.
func TestFrozenStopCompletesRequests(t *testing.T) {
	t.Parallel()
	ctx, cluster := startCluster(t, "--stop-grace", "300ms", "--stop-timeout", "1s")
	report, err := PlannedStop(ctx, cluster, PlannedStopOptions{
		Requests: *requests, Callers: 40, RequestInterval: time.Millisecond, Stops: *stops,
		FreezeDelay: 500 * time.Millisecond, FreezeDuration: 1500 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if report.CutOff != 0 || report.Stops != *stops {
		t.Error(report)
	}
}

// TestPauseFailsNoRequest guards against discarding responses that are ready when a
// daemon resumes after the deadline of the request.
func TestPauseFailsNoRequest(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name                  string
		lasting, callDeadline time.Duration
	}{
		{"longer than query timeout", 1200 * time.Millisecond, 0},
		// Calls take 0.7 s; the rest of the deadline allows for a busy machine.
		{"reaching call deadline", 3 * time.Second, 3 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cluster := startCluster(t)
			report, err := Pauses(ctx, cluster, PausesOptions{
				PlannedStopOptions: PlannedStopOptions{
					Requests: *requests, Callers: 40, RequestInterval: time.Millisecond, CallDeadline: test.callDeadline,
				},
				Pauses: 6, PauseDuration: test.lasting,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if report.CutOff != 0 || report.Failed != 0 {
				t.Error(report)
			}
		})
	}
}

func TestCallsExecuteAtMostOnce(t *testing.T) {
	t.Parallel()
	ctx, cluster := startCluster(t, "--stop-grace", "100ms")
	report, err := AtMostOnce(ctx, cluster, AtMostOnceOptions{
		Keys: *keys, Callers: 16, MaxAttempts: 8, Rounds: *rounds, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Results == 0 || report.NotRun == 0 || report.Unknown == 0 || report.Repeated == 0 {
		t.Errorf("%s: the faults had no effect", report)
	}
}

func TestTableKeepsAcceptedChanges(t *testing.T) {
	t.Parallel()
	ctx, cluster := startCluster(t)
	report, err := Table(ctx, cluster, TableOptions{Operators: 4, Rounds: *rounds, Edits: 20})
	t.Log(report)
	if err != nil {
		t.Error(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Accepted == 0 || report.Conflicts == 0 || report.Repeated == 0 {
		t.Errorf("%s: the faults had no effect", report)
	}
}
