package replica

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// TestAReplicaThatTurnsAPartAwayIsLeftAlone: an answer in between does not make it well,
// a single rejection does not make it ill, and it is tried again in time.
func TestAReplicaThatTurnsAPartAwayIsLeftAlone(t *testing.T) {
	unnamed := Observation{Outcome: decision.Shed}
	cases := []struct {
		name  string
		ended []Observation // 10 ms apart
		after time.Duration
		want  bool
	}{
		{"one rejection is a short pause", []Observation{unnamed}, shedBackoff, false},
		{"two of three are a long one", []Observation{unnamed, observedSuccess, unnamed}, lossBackoff - time.Millisecond, true},
		{"which ends", []Observation{unnamed, observedSuccess, unnamed}, lossBackoff, false},
		{"a named time counts as it is", []Observation{observedShed, observedSuccess, observedShed}, observedShed.RetryAfter, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
			for _, ended := range test.ended {
				now = now.Add(10 * time.Millisecond)
				health.Observe(now, ended)
			}
			if got := health.Candidate(now.Add(test.after)).BackingOff; got != test.want {
				t.Errorf("backing off %v", got)
			}
		})
	}
}

func TestTheShareOfLossesFades(t *testing.T) {
	var share lossRate
	for range 20 {
		share.recordLoss(time.Second)
	}
	if got := share.successRate(time.Second); got != minSuccessRate {
		t.Errorf("expected to answer %.2f though it loses everything", got)
	}
	half := 1 - share.current(time.Second+lossHalfLife)
	if half < 0.5 || half > 0.52 {
		t.Errorf("expected to answer %.2f after the half-life", half)
	}
	for range 100 {
		share.recordAnswer(time.Second + lossHalfLife)
	}
	if got := share.successRate(time.Second + lossHalfLife); got < 0.99 {
		t.Errorf("expected to answer %.2f though it answers everything", got)
	}
}

// TestAReplicaThatLosesAPartIsAskedLess: after its pause too, a farther one that answers
// everything is preferred to it, whichever way it loses requests.
func TestAReplicaThatLosesAPartIsAskedLess(t *testing.T) {
	for _, way := range []decision.Outcome{decision.Shed, decision.Failed, decision.Invalid} {
		t.Run(way.String(), func(t *testing.T) {
			board := &blackboard.Board{}
			listReplicas(board, topology.Replica{Address: "far:1", Place: farPlace}, topology.Replica{Address: "near:1", Place: nearPlace})
			now := time.Unix(1000, 0)
			pool := newMessagePool(t, board, func(options *PoolOptions) {
				options.Self = nearPlace
				options.Now = func() time.Time { return now }
			})
			terms := testCriteria()
			for range 2 * minSamples {
				terms.Baseline.record(topology.SameZone, 20*time.Millisecond)
				terms.Baseline.record(topology.OtherRegion, 28*time.Millisecond)
			}
			near := pool.AcquireForMessage(testGroup, terms, nil).Handle
			near.End()
			if near.replica.Place != nearPlace {
				t.Fatal("the farther one is preferred from the start")
			}
			for range 4 {
				near.Observe(now, Observation{Outcome: way})
				near.Observe(now, Observation{Outcome: decision.Success, Elapsed: 20 * time.Millisecond})
			}
			now = now.Add(3 * time.Second)
			if got := pool.AcquireForMessage(testGroup, terms, nil).Handle; got == near {
				t.Error("it is asked first again, after a pause")
			}
		})
	}
}
