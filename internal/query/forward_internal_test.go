package query

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/routing"
)

func TestWhatWasWaitedIsNotLeftOfARequestsTime(t *testing.T) {
	route := &routing.Route{Policy: &policy.Row{Wait: policy.Wait{Timeout: policy.Duration(4 * time.Second)}}}
	cases := []struct {
		name                string
		wait, waited, wants time.Duration
	}{
		{"the route's", 0, 0, 4 * time.Second},
		{"the caller's", 2 * time.Second, 0, 2 * time.Second},
		{"the caller's, after a wait", 2 * time.Second, 700 * time.Millisecond, 1300 * time.Millisecond},
		{"the route's, after a wait", 9 * time.Second, time.Second, 3 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forwarding := &ForwardRequest{Route: route, CallerTimeout: test.wait, Elapsed: test.waited}
			if got := forwarding.deadline(); got != test.wants {
				t.Errorf("%v are left, want %v", got, test.wants)
			}
		})
	}
	over := &ForwardRequest{Route: route, CallerTimeout: time.Second, Elapsed: time.Second}
	_, err := NewService(Options{}).Forward(t.Context(), over)
	if known := failure.From(err); known.Kind != failure.DeadlineExceeded || !known.NotRun {
		t.Errorf("a request whose time is over: %v", err)
	}
}
