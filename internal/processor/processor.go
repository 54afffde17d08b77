// Package processor detects CPU overload of the current process from the share
// of its CPU limit that it uses. Response times rise well before a node
// starts to reject requests.
package processor

import (
	"context"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// sampleInterval is longer than the CPU burst of a single request.
	sampleInterval = time.Second
	// overloadThreshold is the share of the CPU limit at which a process becomes
	// overloaded. Requests arrive in bursts, so they already queue at half the limit.
	overloadThreshold = 0.5
	// recoveryThreshold is the share below which the process is no longer overloaded.
	// It is less than half of overloadThreshold: a node added to share the load
	// takes up to half of it, which must not end the overload.
	recoveryThreshold = 0.2
)

// Options configures a Meter.
type Options struct {
	// CPULimit is the CPU time available to the process, in cores. 0 means that
	// it is unknown; the process is then never reported as overloaded.
	CPULimit float64
	// CPUTime returns the CPU time used since the process started. The default
	// is the operating system's count.
	CPUTime func() time.Duration
	Logger  *slog.Logger
}

// Meter samples the CPU usage of the process while Run is running.
type Meter struct {
	options    Options
	overloaded atomic.Bool
	lastUsed   time.Duration // CPU time at the last sample
}

func New(options Options) *Meter {
	if options.CPUTime == nil {
		options.CPUTime = processCPUTime
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Meter{options: options, lastUsed: options.CPUTime()}
}

// Overloaded reports whether the process was overloaded at the last sample.
func (m *Meter) Overloaded() bool { return m.overloaded.Load() }

// Run samples the CPU time until ctx is done, then returns nil.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.sample(now.Sub(last))
			last = now
		}
	}
}

// sample updates the overload state from the CPU time used since the last sample.
func (m *Meter) sample(elapsed time.Duration) {
	if m.options.CPULimit <= 0 {
		return
	}
	used := m.options.CPUTime()
	share := float64(used-m.lastUsed) / (m.options.CPULimit * float64(elapsed))
	m.lastUsed = used
	overloaded := share >= overloadThreshold || (m.overloaded.Load() && share >= recoveryThreshold)
	if m.overloaded.Swap(overloaded) != overloaded {
		m.options.Logger.Info("processor load", "loaded", overloaded, "share", share)
	}
}

// processCPUTime returns the user and system CPU time of this process, or 0 if
// the operating system does not report it.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
