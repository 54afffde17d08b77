package proofs

import (
	"strings"
	"testing"
	"time"
)

const (
	// stallTick is the interval at which stallMeter expects to run.
	stallTick = 10 * time.Millisecond
	// maxDiagnosisLines bounds the log lines that a failed test prints.
	maxDiagnosisLines = 20
)

// stallMeter measures for how long this process, which runs the callers, the store and the machine list,
// got no processor time.
type stallMeter struct {
	stop, done     chan struct{}
	longest, total time.Duration
}

func startStallMeter() *stallMeter {
	meter := &stallMeter{stop: make(chan struct{}), done: make(chan struct{})}
	go meter.run()
	return meter
}

func (m *stallMeter) run() {
	defer close(m.done)
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if stall := now.Sub(last) - 2*stallTick; stall > 0 {
			m.longest = max(m.longest, stall)
			m.total += stall
		}
		last = now
	}
}

// diagnoseFailure prints, if the test fails, the stalls of this process and what the daemons
// logged about requests, pauses and the policy table.
func diagnoseFailure(t *testing.T, cluster *Cluster) {
	t.Helper()
	meter := startStallMeter()
	t.Cleanup(func() {
		close(meter.stop)
		<-meter.done
		if !t.Failed() {
			return
		}
		t.Logf("callers and store stalled for %v in all, %v at most", meter.total, meter.longest)
		for number, log := range cluster.Logs() {
			printed := 0
			for line := range strings.Lines(log) {
				if strings.Contains(line, "machine list unreachable") {
					continue
				}
				relevant := strings.Contains(line, "deadline") || strings.Contains(line, "paused") || strings.Contains(line, "cut off")
				if relevant && printed < maxDiagnosisLines {
					printed++
					t.Logf("daemon %d: %s", number, strings.TrimSpace(line))
				}
			}
		}
	})
}
