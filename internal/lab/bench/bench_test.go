package bench

import (
	"testing"
	"testing/fstest"
	"time"

	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

const testShards = 3

// startPlatform runs hollow shards in this process.
func startPlatform(t *testing.T) platform.Description {
	t.Helper()
	running, err := platform.Start(t.Context(), platform.Config{
		Corpus: fstest.MapFS{}, Deployments: []platform.Deployment{platform.HollowDeployment(testShards, 2)}, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = running.Close() })
	return running.Describe()
}

func newTestEnvironment(t *testing.T, shards int, protocol replica.Protocol) *Environment {
	t.Helper()
	environment, err := NewEnvironment(startPlatform(t), shards, protocol, policy.DefaultRow("bench"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(environment.Close)
	return environment
}

func TestSubRequestsAreMeasuredOnBothProtocols(t *testing.T) {
	for _, protocol := range []replica.Protocol{replica.ProtocolHTTP1, replica.ProtocolH2C} {
		t.Run(string(protocol), func(t *testing.T) {
			environment := newTestEnvironment(t, testShards, protocol)
			options := SubRequestOptions{Concurrency: 2, Rounds: 1, Length: 30 * time.Millisecond}
			result, err := environment.MeasureSubRequest(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			if len(result.Floor) != 1 || len(result.SubRequest) != 1 || result.QueriesPerSecond == 0 {
				t.Errorf("nothing was measured: %+v", result)
			}
		})
	}
}

func TestRateCountsEveryQuery(t *testing.T) {
	environment := newTestEnvironment(t, testShards, replica.ProtocolHTTP1)
	step := environment.RunRate(t.Context(), 200, 100*time.Millisecond, 1)
	if step.Queries == 0 || step.Failed != 0 || step.Partial != 0 {
		t.Errorf("%+v", step)
	}
	if step.ConnectionsOpened == 0 || step.ConnectionsOpen == 0 || step.ConnectionsOpen > step.ConnectionsOpened {
		t.Errorf("%v connections opened, %v open", step.ConnectionsOpened, step.ConnectionsOpen)
	}
}

func TestAddedTimeNeedsOneShard(t *testing.T) {
	if _, err := newTestEnvironment(t, testShards, replica.ProtocolHTTP1).MeasureAdded(t.Context(), 10); err == nil {
		t.Error("several shards were accepted")
	}
	result, err := newTestEnvironment(t, 1, replica.ProtocolHTTP1).MeasureAdded(t.Context(), 10)
	if err != nil {
		t.Fatal(err)
	}
	if result.Samples != 10 || result.Direct == 0 || result.Through == 0 {
		t.Errorf("nothing was measured: %+v", result)
	}
}

func TestEnvironmentNeedsItsShards(t *testing.T) {
	if _, err := NewEnvironment(startPlatform(t), testShards+1, replica.ProtocolHTTP1, policy.DefaultRow("bench")); err == nil {
		t.Error("a platform with too few shards was accepted")
	}
}
