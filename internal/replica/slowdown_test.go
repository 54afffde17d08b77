package replica

import (
	"testing"
	"time"
)

const medianLatency = 10 * time.Millisecond

func TestSlowdown(t *testing.T) {
	type sample struct {
		at    time.Duration
		ratio float64
	}
	ms := time.Millisecond
	cases := []struct {
		name        string
		samples     []sample
		at          time.Duration
		least, most float64
	}{
		{"no samples", nil, time.Second, 1, 1},
		{"median latency", []sample{{10 * ms, 1}, {20 * ms, 1}, {30 * ms, 1}}, 40 * ms, 1, 1},
		{"single slow request", []sample{{10 * ms, 1}, {20 * ms, 9}, {50 * ms, 1}}, 60 * ms, 1, 1.1},
		{"simultaneous slow requests count once", []sample{{100 * ms, 30}, {101 * ms, 25}, {102 * ms, 20}}, 110 * ms, 1, 1.1},
		{"consistently slow", []sample{{100 * ms, 7}, {200 * ms, 7}, {300 * ms, 7}}, 300 * ms, 5, 7.1},
		{"decayed", []sample{{100 * ms, 7}, {200 * ms, 7}, {300 * ms, 7}}, 10300 * ms, 1, 1},
		{"slightly slow", []sample{{10 * ms, 1.4}, {20 * ms, 1.4}, {30 * ms, 1.4}}, 30 * ms, 1, 1},
		{"fast", []sample{{10 * ms, 0.5}, {20 * ms, 0.5}, {30 * ms, 0.5}}, 30 * ms, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var estimate slowdown
			for _, s := range test.samples {
				estimate.observe(s.at, medianLatency, s.ratio)
			}
			if got := estimate.factor(test.at); got < test.least || got > test.most {
				t.Errorf("factor %.2f, want %.2f to %.2f", got, test.least, test.most)
			}
		})
	}
}

func TestSilenceTimer(t *testing.T) {
	var timer silenceTimer
	ms := time.Millisecond
	if got := timer.duration(50*ms, 0); got != 0 {
		t.Errorf("unanswered for %v without requests in flight, want 0", got)
	}
	timer.requestSent(100*ms, 1)
	timer.requestSent(120*ms, 2) // must not restart the timer
	if got := timer.duration(150*ms, 2); got != 50*ms {
		t.Errorf("unanswered for %v, want 50ms", got)
	}
	timer.replyReceived(150 * ms)
	if got := timer.duration(160*ms, 1); got != 10*ms {
		t.Errorf("unanswered for %v after an answer, want 10ms", got)
	}
	timer.requestSent(500*ms, 1) // first request after an idle period
	if got := timer.duration(505*ms, 1); got != 5*ms {
		t.Errorf("unanswered for %v, want 5ms", got)
	}
}
