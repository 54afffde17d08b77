package scale

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func quiet(string) {}

// comparable leaves out what depends on the machine.
func comparable(result VirtualResult) VirtualResult {
	result.HeapPerDaemon, result.Elapsed = 0, 0
	for _, phase := range []*Phase{&result.Join, &result.Rest, &result.TablesPhase, &result.Churn, &result.ZoneLost} {
		phase.ProcessorShare = 0
	}
	return result
}

func TestVirtualRunIsRepeatable(t *testing.T) {
	options := VirtualOptions{Daemons: 36, Duration: 20 * time.Second, Seed: 7}
	first, second := comparable(RunVirtual(options, quiet)), comparable(RunVirtual(options, quiet))
	if difference := cmp.Diff(first, second); difference != "" {
		t.Error("the same seed gave another run:", difference)
	}
}

func TestVirtualRunMeetsTheUsersLimits(t *testing.T) {
	const (
		tableLimit   = 5 * time.Second
		failureLimit = 30 * time.Second
		bytesLimit   = 26_000
		daemons      = 120
	)
	result := RunVirtual(VirtualOptions{Daemons: daemons, Duration: 30 * time.Second, Seed: 3}, quiet)
	for name, phase := range map[string]Phase{
		"join": result.Join, "rest": result.Rest, "tables": result.TablesPhase, "churn": result.Churn, "zone lost": result.ZoneLost,
	} {
		if !phase.Completed {
			t.Errorf("phase %s did not complete", name)
		}
		if phase.BytesPerSecond > bytesLimit && name != "join" {
			t.Errorf("phase %s takes %.0f bytes/s", name, phase.BytesPerSecond)
		}
	}
	for _, took := range result.Tables {
		if took > tableLimit {
			t.Errorf("a table took %v", took)
		}
	}
	if result.FailureLast > failureLimit || result.FailureFirst == 0 {
		t.Errorf("a failure was known after %v to %v", result.FailureFirst, result.FailureLast)
	}
	// Two a zone list and watch when the system starts, whatever its size.
	if most := uint64(2 * zoneCount * followersPerZone * requestsToFollow); result.Join.StoreRequests > most {
		t.Errorf("%d requests to the store at a mass start, want at most %d", result.Join.StoreRequests, most)
	}
	if result.Rest.Followers != zoneCount*followersPerZone {
		t.Errorf("%d daemons follow the store at rest", result.Rest.Followers)
	}
}

func TestRealRunReachesEveryDaemon(t *testing.T) {
	result, err := RunReal(t.Context(), RealOptions{Daemons: 5, Duration: 100 * time.Millisecond}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if result.Table == 0 || result.Join == 0 {
		t.Errorf("nothing was measured: %+v", result)
	}
}
