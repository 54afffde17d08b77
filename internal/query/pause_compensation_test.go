package query

import (
	"testing"
	"time"
)

func TestPauseAllowance(t *testing.T) {
	const deadline = time.Second
	cases := []struct {
		name          string
		lost, elapsed time.Duration
		// left is what is left of the deadline after it.
		left time.Duration
	}{
		{"no pause", 0, 990 * time.Millisecond, 10 * time.Millisecond},
		{"a hitch", leastAllowed - 1, 990 * time.Millisecond, 10 * time.Millisecond},
		{"a pause that leaves time enough", 500 * time.Millisecond, 600 * time.Millisecond, 400 * time.Millisecond},
		{"a pause that leaves little", 800 * time.Millisecond, 900 * time.Millisecond, wakeTime},
		{"a pause beyond the deadline", time.Minute, time.Minute, wakeTime},
		{"a short pause at the end", 100 * time.Millisecond, 990 * time.Millisecond, 110 * time.Millisecond},
		{"a short pause over the end", 100 * time.Millisecond, 1050 * time.Millisecond, 50 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			p := pauseAllowance{seen: time.Hour}
			p.look(time.Hour+test.lost, test.elapsed, deadline)
			if left := deadline - (test.elapsed - p.granted); left != test.left {
				t.Errorf("%v are left, want %v", left, test.left)
			}
			if test.lost < leastAllowed {
				return // hitches add up to a pause
			}
			granted := p.granted
			p.look(time.Hour+test.lost+time.Millisecond, test.elapsed+time.Millisecond, deadline)
			if p.granted != granted {
				t.Errorf("one pause is allowed for twice: %v, then %v", granted, p.granted)
			}
		})
	}
}

// TestAPauseAllowanceIsBounded: pauses in a series give no run more than wakeTime after the last of them.
func TestAPauseAllowanceIsBounded(t *testing.T) {
	const deadline = time.Second
	p := pauseAllowance{}
	lost, elapsed := time.Duration(0), time.Duration(0)
	for range 50 {
		lost += 300 * time.Millisecond
		elapsed += 300*time.Millisecond + wakeTime/2
		p.look(lost, elapsed, deadline)
		if left := deadline - (elapsed - p.granted); left > max(wakeTime, deadline-elapsed) {
			t.Fatalf("%v are left after %v", left, elapsed)
		}
	}
}
