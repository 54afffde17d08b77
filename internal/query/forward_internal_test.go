package query

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/routing"
)

func TestForwardRequestTimeLeft(t *testing.T) {
	route := &routing.Route{Policy: &policy.Row{Wait: policy.Wait{Timeout: policy.Duration(4 * time.Second)}}}
	cases := []struct {
		name                         string
		callerTimeout, elapsed, want time.Duration
	}{
		{"route timeout", 0, 0, 4 * time.Second},
		{"caller timeout", 2 * time.Second, 0, 2 * time.Second},
		{"caller timeout after a wait", 2 * time.Second, 700 * time.Millisecond, 1300 * time.Millisecond},
		{"route timeout after a wait", 9 * time.Second, time.Second, 3 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request := &ForwardRequest{Route: route, CallerTimeout: test.callerTimeout, Elapsed: test.elapsed}
			if got := request.timeLeft(); got != test.want {
				t.Errorf("time left %v, want %v", got, test.want)
			}
		})
	}
	expired := &ForwardRequest{Route: route, CallerTimeout: time.Second, Elapsed: time.Second}
	_, err := NewService(Options{}).Forward(t.Context(), expired)
	if known := failure.From(err); known.Kind != failure.DeadlineExceeded || !known.NotRun {
		t.Errorf("error for an expired request: %v", err)
	}
}
