package replica

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// A replica that sheds part of its requests must back off despite answers in
// between, and a single refusal must not cause a long backoff.
func TestLossRateBackoff(t *testing.T) {
	shed := Observation{Outcome: decision.Shed}
	cases := []struct {
		name     string
		observed []Observation // 10 ms apart
		after    time.Duration
		want     bool
	}{
		{"single refusal", []Observation{shed}, shedBackoff, false},
		{"two of three refused", []Observation{shed, observedSuccess, shed}, lossBackoff - time.Millisecond, true},
		{"backoff ends", []Observation{shed, observedSuccess, shed}, lossBackoff, false},
		{"Retry-After is not extended", []Observation{observedShed, observedSuccess, observedShed}, observedShed.RetryAfter, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
			for _, observed := range test.observed {
				now = now.Add(10 * time.Millisecond)
				health.Observe(now, observed)
			}
			if got := health.Candidate(now.Add(test.after)).BackingOff; got != test.want {
				t.Errorf("backing off: %v", got)
			}
		})
	}
}

func TestLossRateDecay(t *testing.T) {
	var losses lossRate
	for range 20 {
		losses.recordLoss(time.Second)
	}
	if got := losses.successRate(time.Second); got != minSuccessRate {
		t.Errorf("success rate %.2f after only losses", got)
	}
	half := 1 - losses.current(time.Second+lossHalfLife)
	if half < 0.5 || half > 0.52 {
		t.Errorf("success rate %.2f after the half-life", half)
	}
	for range 100 {
		losses.recordAnswer(time.Second + lossHalfLife)
	}
	if got := losses.successRate(time.Second + lossHalfLife); got < 0.99 {
		t.Errorf("success rate %.2f after only answers", got)
	}
}

// A farther replica that answers everything must be preferred to a near one
// that loses part of its requests, in whichever way, even after the backoff.
func TestLossRateLowersPreference(t *testing.T) {
	for _, outcome := range []decision.Outcome{decision.Shed, decision.Failed, decision.Invalid} {
		t.Run(outcome.String(), func(t *testing.T) {
			board := &blackboard.Board{}
			listReplicas(board, topology.Replica{Address: "far:1", Place: farPlace}, topology.Replica{Address: "near:1", Place: nearPlace})
			now := time.Unix(1000, 0)
			pool := newMessagePool(t, board, func(options *PoolOptions) {
				options.Self = nearPlace
				options.Now = func() time.Time { return now }
			})
			criteria := testCriteria()
			for range 2 * minSamples {
				criteria.Baseline.record(topology.SameZone, 20*time.Millisecond)
				criteria.Baseline.record(topology.OtherRegion, 28*time.Millisecond)
			}
			near := pool.AcquireForMessage(testGroup, criteria, nil).Handle
			near.End()
			if near.replica.Place != nearPlace {
				t.Fatal("far replica preferred before any loss")
			}
			for range 4 {
				near.Observe(now, Observation{Outcome: outcome})
				near.Observe(now, Observation{Outcome: decision.Success, Elapsed: 20 * time.Millisecond})
			}
			now = now.Add(3 * time.Second)
			if got := pool.AcquireForMessage(testGroup, criteria, nil).Handle; got == near {
				t.Error("lossy replica preferred after its backoff")
			}
		})
	}
}
