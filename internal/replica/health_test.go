package replica

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

var (
	observedSuccess     = Observation{Outcome: decision.Success, Elapsed: 20 * time.Millisecond}
	observedFailure     = Observation{Outcome: decision.Failed, Elapsed: time.Millisecond}
	observedLateCancel  = Observation{Outcome: decision.Failed, Canceled: true, Late: true, Elapsed: 90 * time.Millisecond}
	observedEarlyCancel = Observation{Outcome: decision.Failed, Canceled: true, Elapsed: time.Millisecond}
	observedShed        = Observation{Outcome: decision.Shed, RetryAfter: 100 * time.Millisecond}
)

func TestHealth(t *testing.T) {
	type status struct{ ejected, backingOff bool }
	cases := []struct {
		name     string
		observed []Observation // 10 ms apart
		after    time.Duration
		want     status
	}{
		{"consecutive failures eject", []Observation{observedFailure, observedFailure, observedFailure}, 0, status{ejected: true}},
		{"success resets failures", []Observation{observedFailure, observedFailure, observedSuccess, observedFailure}, 0, status{}},
		{"late cancellations eject", []Observation{observedLateCancel, observedLateCancel, observedLateCancel}, 0, status{ejected: true}},
		{"early cancellations do not eject", []Observation{observedEarlyCancel, observedEarlyCancel, observedEarlyCancel, observedEarlyCancel}, 0, status{}},
		{"refusals do not eject", []Observation{observedShed, observedShed, observedShed, observedShed}, 0, status{backingOff: true}},
		{"ejection ends", []Observation{observedFailure, observedFailure, observedFailure}, baseEjection, status{}},
		{"backoff ends after Retry-After", []Observation{observedShed}, 100 * time.Millisecond, status{}},
		{"consecutive refusals double the backoff", []Observation{observedShed, observedShed}, 190 * time.Millisecond, status{backingOff: true}},
		{"success resets the backoff", []Observation{observedShed, observedSuccess, observedShed}, 100 * time.Millisecond, status{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
			for _, observed := range test.observed {
				now = now.Add(10 * time.Millisecond)
				health.Observe(now, observed)
			}
			candidate := health.Candidate(now.Add(test.after))
			if got := (status{candidate.Ejected, candidate.BackingOff}); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestEjectionRenewedByOneFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
	for range ejectAfter {
		health.Observe(now, observedFailure)
	}
	now = now.Add(baseEjection)
	if !health.Observe(now, observedFailure) {
		t.Error("not ejected again after one failure")
	}
	if !health.Candidate(now.Add(2*baseEjection - 1)).Ejected {
		t.Error("second ejection is not twice as long")
	}
}

func TestShortenEjection(t *testing.T) {
	now := time.Unix(1000, 0)
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
	for range ejectAfter {
		health.Observe(now, observedFailure)
	}
	for length := baseEjection; length <= 4*baseEjection; length *= 2 {
		now = now.Add(length)
		health.Observe(now, observedFailure)
	}
	if !health.Candidate(now.Add(8*baseEjection - 1)).Ejected {
		t.Fatal("fourth ejection is not eight times as long as the first")
	}
	health.Observe(now, observedFailure) // chosen as the last resort of its group
	health.ShortenEjection(now)
	if !health.Candidate(now.Add(baseEjection-1)).Ejected || health.Candidate(now.Add(baseEjection)).Ejected {
		t.Error("ejection does not end after the base duration")
	}
}

func TestCanceledRequestRaisesLatency(t *testing.T) {
	now := time.Unix(1000, 0)
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
	health.Observe(now, observedSuccess)
	health.Observe(now, observedLateCancel)
	if got := health.Candidate(now).LatencyEWMA; got != observedLateCancel.Elapsed {
		t.Errorf("latency %v after a request canceled at %v", got, observedLateCancel.Elapsed)
	}
	if got := health.Candidate(now.Add(latencyHalfLife)).LatencyEWMA; got != observedLateCancel.Elapsed/2 {
		t.Errorf("latency %v after its half-life, want half", got)
	}
}

func TestPlaceSuspicion(t *testing.T) {
	now := time.Unix(1000, 0)
	places := &PlaceHealthMap{}
	lost, other := topology.Place{Region: "r", Zone: "a"}, topology.Place{Region: "r", Zone: "b"}
	healthAt := func(place topology.Place) *Health {
		return NewHealth(topology.Replica{Place: place, Slots: 4}, lost, now).WithPlace(places.Of(place))
	}
	for range suspectAfter - 1 {
		healthAt(lost).Observe(now, observedLateCancel)
	}
	if healthAt(lost).Candidate(now).Ejected {
		t.Error("place suspected too early")
	}
	healthAt(lost).Observe(now, observedLateCancel)
	if !healthAt(lost).Candidate(now).Ejected || healthAt(other).Candidate(now).Ejected {
		t.Error("want only the replicas of the lost place ejected")
	}
	if healthAt(lost).Candidate(now.Add(suspectFor)).Ejected {
		t.Error("place still suspected after suspectFor")
	}
	healthAt(lost).Observe(now, observedShed)
	if healthAt(lost).Candidate(now).Ejected {
		t.Error("place still suspected after an answer")
	}
}

func TestGroupDetectsLateRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	group := &GroupHealth{}
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
	for range 100 {
		group.Observe(health, now, observedSuccess)
	}
	late := observedLateCancel
	late.Late = false
	ejected := false
	for range ejectAfter {
		ejected = group.Observe(health, now, late)
	}
	if !ejected {
		t.Error("late canceled requests did not eject the replica")
	}
}
