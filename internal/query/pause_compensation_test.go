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
		// left is the time left until the deadline afterwards.
		left time.Duration
	}{
		{"no pause", 0, 990 * time.Millisecond, 10 * time.Millisecond},
		{"shorter than minPause", minPause - 1, 990 * time.Millisecond, 10 * time.Millisecond},
		{"enough time left", 500 * time.Millisecond, 600 * time.Millisecond, 400 * time.Millisecond},
		{"little time left", 800 * time.Millisecond, 900 * time.Millisecond, minTimeAfterPause},
		{"pause past the deadline", time.Minute, time.Minute, minTimeAfterPause},
		{"short pause before the deadline", 100 * time.Millisecond, 990 * time.Millisecond, 110 * time.Millisecond},
		{"short pause past the deadline", 100 * time.Millisecond, 1050 * time.Millisecond, 50 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			p := pauseCompensation{lastPaused: time.Hour}
			p.update(time.Hour+test.paused, test.elapsed, deadline)
			if left := deadline - (test.elapsed - p.excluded); left != test.left {
				t.Errorf("time left %v, want %v", left, test.left)
			}
			if test.paused < minPause {
				return // shorter gaps add up
			}
			excluded := p.excluded
			p.update(time.Hour+test.paused+time.Millisecond, test.elapsed+time.Millisecond, deadline)
			if p.excluded != excluded {
				t.Errorf("pause compensated twice: excluded %v, then %v", excluded, p.excluded)
			}
		})
	}
}

// TestPauseCompensationIsBounded checks that a series of pauses leaves a run no more than
// minTimeAfterPause after the last one.
func TestPauseCompensationIsBounded(t *testing.T) {
	const deadline = time.Second
	p := pauseCompensation{}
	paused, elapsed := time.Duration(0), time.Duration(0)
	for range 50 {
		paused += 300 * time.Millisecond
		elapsed += 300*time.Millisecond + minTimeAfterPause/2
		p.update(paused, elapsed, deadline)
		if left := deadline - (elapsed - p.excluded); left > max(minTimeAfterPause, deadline-elapsed) {
			t.Fatalf("time left %v after %v", left, elapsed)
		}
	}
}
