package soak

import (
	"testing"
	"time"
)

func TestStallDetector(t *testing.T) {
	var detector stallDetector
	began := time.Now()
	at := func(after time.Duration) time.Time { return began.Add(after) }
	detector.recordProbe(at(0), at(stallProbe+stallLength/2)) // not a stall
	detector.recordProbe(at(time.Second), at(2*time.Second))
	detector.recordProbe(at(3*time.Second), at(4*time.Second))
	for _, test := range []struct {
		from, until time.Duration
		want        bool
	}{
		{0, time.Second, false},
		{500 * time.Millisecond, 1500 * time.Millisecond, true},
		{5 * time.Second, 5500 * time.Millisecond, true},
		{4*time.Second + stallEffect, 10 * time.Second, false},
	} {
		if got := detector.overlaps(at(test.from), at(test.until)); got != test.want {
			t.Errorf("overlaps(%v, %v) = %v", test.from, test.until, got)
		}
	}
	if got, want := detector.affectedTime(), 3*time.Second+stallEffect; got != want {
		t.Errorf("affected time %v, want %v", got, want)
	}
}
