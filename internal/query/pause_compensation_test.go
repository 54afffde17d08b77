package query

import (
	"testing"
	"time"
)

func TestPauseCompensation(t *testing.T) {
	const deadline = time.Second
	cases := []struct {
		name            string
		paused, elapsed time.Duration
		// left is what is left of the deadline after it.
		left time.Duration
	}{
		{"no pause", 0, 990 * time.Millisecond, 10 * time.Millisecond},
		{"a hitch", minPause - 1, 990 * time.Millisecond, 10 * time.Millisecond},
		{"a pause that leaves time enough", 500 * time.Millisecond, 600 * time.Millisecond, 400 * time.Millisecond},
		{"a pause that leaves little", 800 * time.Millisecond, 900 * time.Millisecond, minTimeAfterPause},
		{"a pause beyond the deadline", time.Minute, time.Minute, minTimeAfterPause},
		{"a short pause at the end", 100 * time.Millisecond, 990 * time.Millisecond, 110 * time.Millisecond},
		{"a short pause over the end", 100 * time.Millisecond, 1050 * time.Millisecond, 50 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			p := pauseCompensation{lastPaused: time.Hour}
			p.update(time.Hour+test.paused, test.elapsed, deadline)
			if left := deadline - (test.elapsed - p.excluded); left != test.left {
				t.Errorf("%v are left, want %v", left, test.left)
			}
			if test.paused < minPause {
				return // hitches add up to a pause
			}
			excluded := p.excluded
			p.update(time.Hour+test.paused+time.Millisecond, test.elapsed+time.Millisecond, deadline)
			if p.excluded != excluded {
				t.Errorf("one pause is allowed for twice: %v, then %v", excluded, p.excluded)
			}
		})
	}
}

// TestAPauseAllowanceIsBounded: pauses in a series give no run more than wakeTime after the last of them.
func TestPauseCompensationIsBounded(t *testing.T) {
	const deadline = time.Second
	p := pauseCompensation{}
	paused, elapsed := time.Duration(0), time.Duration(0)
	for range 50 {
		paused += 300 * time.Millisecond
		elapsed += 300*time.Millisecond + minTimeAfterPause/2
		p.update(paused, elapsed, deadline)
		if left := deadline - (elapsed - p.excluded); left > max(minTimeAfterPause, deadline-elapsed) {
			t.Fatalf("%v are left after %v", left, elapsed)
		}
	}
}
