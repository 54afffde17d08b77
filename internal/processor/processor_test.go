package processor

import (
	"testing"
	"time"
)

func TestMeterOverloadHysteresis(t *testing.T) {
	var used time.Duration
	meter := New(Options{CPULimit: 0.5, CPUTime: func() time.Duration { return used }})
	for i, step := range []struct {
		used time.Duration // CPU time within one second
		want bool
	}{
		{240 * time.Millisecond, false},
		{260 * time.Millisecond, true},
		{110 * time.Millisecond, true}, // above the recovery threshold
		{90 * time.Millisecond, false},
		{240 * time.Millisecond, false},
	} {
		used += step.used
		meter.sample(time.Second)
		if got := meter.Overloaded(); got != step.want {
			t.Errorf("step %d: overloaded %v, want %v", i, got, step.want)
		}
	}
}

// Nodes that share a process, as in tests, must not count each other's CPU time
// as their own.
func TestMeterNotOverloadedWithoutCPULimit(t *testing.T) {
	var used time.Duration
	meter := New(Options{CPUTime: func() time.Duration { return used }})
	for range 3 {
		used += 10 * time.Second
		meter.sample(time.Second)
	}
	if meter.Overloaded() {
		t.Error("meter without a CPU limit reports overload")
	}
}

func TestProcessCPUTimeIncreases(t *testing.T) {
	before := processCPUTime()
	for start := time.Now(); time.Since(start) < 30*time.Millisecond; {
		continue
	}
	if after := processCPUTime(); after <= before {
		t.Errorf("CPU time %v before and %v after 30 ms of work", before, after)
	}
}
