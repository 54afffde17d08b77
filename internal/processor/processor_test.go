package processor

import (
	"testing"
	"time"
)

func TestOverloaded(t *testing.T) {
	var used time.Duration
	meter := New(Options{Processors: 0.5, Used: func() time.Duration { return used }})
	for i, step := range []struct {
		used time.Duration // in one second
		want bool
	}{
		{240 * time.Millisecond, false},
		{260 * time.Millisecond, true},
		{110 * time.Millisecond, true}, // a part of its load has gone to another node
		{90 * time.Millisecond, false},
		{240 * time.Millisecond, false},
	} {
		used += step.used
		meter.read(time.Second)
		if got := meter.Overloaded(); got != step.want {
			t.Errorf("step %d: overloaded %v, want %v", i, got, step.want)
		}
	}
}

// TestNotOverloadedWithoutKnownLimit: nodes that share a process, as in
// tests, would take each other's work for their own.
func TestNotOverloadedWithoutKnownLimit(t *testing.T) {
	var used time.Duration
	meter := New(Options{Used: func() time.Duration { return used }})
	for range 3 {
		used += 10 * time.Second
		meter.read(time.Second)
	}
	if meter.Overloaded() {
		t.Error("overloaded")
	}
}

func TestTheProcessorTimeOfTheProcessIsCounted(t *testing.T) {
	before := processTime()
	for begun := time.Now(); time.Since(begun) < 30*time.Millisecond; {
		continue
	}
	if after := processTime(); after <= before {
		t.Errorf("%v before, %v after some work", before, after)
	}
}
