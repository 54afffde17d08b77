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
	type seen struct{ ejected, backingOff bool }
	cases := []struct {
		name  string
		ended []Observation // 10 ms apart
		after time.Duration
		want  seen
	}{
		{"failures in a row eject", []Observation{observedFailure, observedFailure, observedFailure}, 0, seen{ejected: true}},
		{"a success between them does not", []Observation{observedFailure, observedFailure, observedSuccess, observedFailure}, 0, seen{}},
		{"a silent replica is ejected", []Observation{observedLateCancel, observedLateCancel, observedLateCancel}, 0, seen{ejected: true}},
		{"requests given up early prove nothing", []Observation{observedEarlyCancel, observedEarlyCancel, observedEarlyCancel, observedEarlyCancel}, 0, seen{}},
		{"refusals never eject", []Observation{observedShed, observedShed, observedShed, observedShed}, 0, seen{backingOff: true}},
		{"ejection ends", []Observation{observedFailure, observedFailure, observedFailure}, baseEjection, seen{}},
		{"refusal ends at the time named", []Observation{observedShed}, 100 * time.Millisecond, seen{}},
		{"refusals in a row double the time", []Observation{observedShed, observedShed}, 190 * time.Millisecond, seen{backingOff: true}},
		{"an answer ends the doubling", []Observation{observedShed, observedSuccess, observedShed}, 100 * time.Millisecond, seen{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
			for _, ended := range test.ended {
				now = now.Add(10 * time.Millisecond)
				health.Observe(now, ended)
			}
			candidate := health.Candidate(now.Add(test.after))
			if got := (seen{candidate.Ejected, candidate.BackingOff}); got != test.want {
				t.Errorf("saw %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestEjectionIsRenewedByOneFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
	for range ejectAfter {
		health.Observe(now, observedFailure)
	}
	now = now.Add(baseEjection)
	if !health.Observe(now, observedFailure) {
		t.Error("a replica that has not answered since was not ejected again")
	}
	if !health.Candidate(now.Add(2*baseEjection - 1)).Ejected {
		t.Error("the second ejection is not twice as long")
	}
}

func TestRelentShortensALongEjection(t *testing.T) {
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
		t.Fatal("the fourth ejection is not eight times as long as the first")
	}
	health.Observe(now, observedFailure) // as the last resort of its group
	health.ShortenEjection(now)
	if !health.Candidate(now.Add(baseEjection-1)).Ejected || health.Candidate(now.Add(baseEjection)).Ejected {
		t.Error("want the ejection to end after its first length")
	}
}

func TestGivenUpRaisesTheLatencyAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	health := NewHealth(topology.Replica{Slots: 4}, topology.Place{}, now)
	health.Observe(now, observedSuccess)
	health.Observe(now, observedLateCancel)
	if got := health.Candidate(now).LatencyEWMA; got != observedLateCancel.Elapsed {
		t.Errorf("latency %v after waiting %v in vain", got, observedLateCancel.Elapsed)
	}
	if got := health.Candidate(now.Add(latencyHalfLife)).LatencyEWMA; got != observedLateCancel.Elapsed/2 {
		t.Errorf("latency %v after it went stale, want half", got)
	}
}

func TestLostPlace(t *testing.T) {
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
		t.Error("suspected too early")
	}
	healthAt(lost).Observe(now, observedLateCancel)
	if !healthAt(lost).Candidate(now).Ejected || healthAt(other).Candidate(now).Ejected {
		t.Error("want the replicas of the lost place ejected, and no other")
	}
	if healthAt(lost).Candidate(now.Add(suspectFor)).Ejected {
		t.Error("still suspected after its time")
	}
	healthAt(lost).Observe(now, observedShed)
	if healthAt(lost).Candidate(now).Ejected {
		t.Error("still suspected after an answer")
	}
}

func TestGroupTellsLateRequests(t *testing.T) {
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
		t.Error("requests given up after the usual time did not count")
	}
}
