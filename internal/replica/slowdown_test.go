package replica

import (
	"testing"
	"time"
)

const medianLatency = 10 * time.Millisecond

func TestSpeed(t *testing.T) {
	type sample struct {
		at       time.Duration
		slowness float64
	}
	ms := time.Millisecond
	cases := []struct {
		name        string
		samples     []sample
		at          time.Duration
		least, most float64
	}{
		{"unknown", nil, time.Second, 1, 1},
		{"usual", []sample{{10 * ms, 1}, {20 * ms, 1}, {30 * ms, 1}}, 40 * ms, 1, 1},
		{"one long request", []sample{{10 * ms, 1}, {20 * ms, 9}, {50 * ms, 1}}, 60 * ms, 1, 1.1},
		{"held up together count as one", []sample{{100 * ms, 30}, {101 * ms, 25}, {102 * ms, 20}}, 110 * ms, 1, 1.1},
		{"slow twice", []sample{{100 * ms, 7}, {200 * ms, 7}, {300 * ms, 7}}, 300 * ms, 5, 7.1},
		{"slow long ago", []sample{{100 * ms, 7}, {200 * ms, 7}, {300 * ms, 7}}, 10300 * ms, 1, 1},
		{"a little longer is chance", []sample{{10 * ms, 1.4}, {20 * ms, 1.4}, {30 * ms, 1.4}}, 30 * ms, 1, 1},
		{"shorter is chance", []sample{{10 * ms, 0.5}, {20 * ms, 0.5}, {30 * ms, 0.5}}, 30 * ms, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var observed slowdown
			for _, one := range test.samples {
				observed.observe(one.at, medianLatency, one.slowness)
			}
			if got := observed.factor(test.at); got < test.least || got > test.most {
				t.Errorf("slowness %.2f, want from %.2f to %.2f", got, test.least, test.most)
			}
		})
	}
}

func TestSilence(t *testing.T) {
	var noticed silenceTimer
	ms := time.Millisecond
	if got := noticed.duration(50*ms, 0); got != 0 {
		t.Errorf("a replica that holds nothing is silent for %v", got)
	}
	noticed.requestSent(100*ms, 1)
	noticed.requestSent(120*ms, 2) // does not hide how long the first has waited
	if got := noticed.duration(150*ms, 2); got != 50*ms {
		t.Errorf("silent for %v, want 50ms", got)
	}
	noticed.replyReceived(150 * ms)
	if got := noticed.duration(160*ms, 1); got != 10*ms {
		t.Errorf("silent for %v after an answer, want 10ms", got)
	}
	noticed.requestSent(500*ms, 1) // idle before
	if got := noticed.duration(505*ms, 1); got != 5*ms {
		t.Errorf("silent for %v, want 5ms", got)
	}
}
