// Package processor tells whether this process has used much of the processor
// time that it is given. A machine with little time left answers late long
// before it refuses anything.
package processor

import (
	"context"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"
)

// The constants of a Meter.
const (
	// interval between two readings. It is over any burst of a single request.
	interval = time.Second
	// overloadedShare of the processor time is where a process counts as overloaded:
	// requests come in bursts, so that half of the time in use means queues.
	overloadedShare = 0.5
	// idleShare is where it no longer does. One more node beside it takes half
	// of its requests at the most, which must not make it idle again.
	idleShare = 0.2
)

// Options are what a Meter needs.
type Options struct {
	// Processors is the processor time that the process may use, in cores; 0 means
	// that it is not known, and the process never counts as overloaded.
	Processors float64
	// Used returns the processor time used since the start; nil means the
	// operating system's count.
	Used   func() time.Duration
	Logger *slog.Logger
}

// Meter reads the processor time in use; Run must be running.
type Meter struct {
	options    Options
	overloaded atomic.Bool
	used       time.Duration
}

// New makes a Meter.
func New(options Options) *Meter {
	if options.Used == nil {
		options.Used = processTime
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Meter{options: options, used: options.Used()}
}

// Overloaded is true while much of the processor time is in use.
func (m *Meter) Overloaded() bool { return m.overloaded.Load() }

// Run reads the count until ctx ends, and returns nil then.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.read(now.Sub(last))
			last = now
		}
	}
}

// read takes in one reading, some time after the last.
func (m *Meter) read(since time.Duration) {
	if m.options.Processors <= 0 {
		return
	}
	used := m.options.Used()
	share := float64(used-m.used) / (m.options.Processors * float64(since))
	m.used = used
	overloaded := share >= overloadedShare || (m.overloaded.Load() && share >= idleShare)
	if m.overloaded.Swap(overloaded) != overloaded {
		m.options.Logger.Info("processor load", "loaded", overloaded, "share", share)
	}
}

// processTime is the processor time that this process has used, in user and in
// kernel mode, or 0 where it is not known.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
