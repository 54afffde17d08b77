// Package elapsed tells how much time has gone by, and for how much of it this process has
// run. A process that is stopped, swapped out or on a machine that stands still does not know
// it: its timers all fall due at once when it goes on, whatever was to come between them. So
// what is trusted for its age asks how much time has gone by, and what has to be done in an
// order, or has been given time to be done in, asks for how long the process has run.
package elapsed

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// readInterval is the time between two readings of the clock. Ten wakes a second are a
	// thousandth of a processor.
	readInterval = 100 * time.Millisecond
	// maxActivePerReading is the most that counts as run between two readings: a process that was
	// stopped shows a long gap, of which it has run for no more than this. Of a call's time
	// each pause takes this much.
	maxActivePerReading = readInterval + readInterval/5
	// pauseThreshold is the least gap between two readings that is called a pause. A busy machine
	// brings shorter ones, which are lost time as well.
	pauseThreshold = 2 * readInterval
)

// Config is what a Meter is made of. All fields may be left out.
type Config struct {
	// Now is the time since some moment in the past, a suspension of the machine
	// included; nil means Now of this package.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Meter measures for how long its process has run. A nil Meter takes all time for run. It is
// safe for concurrent use.
type Meter struct {
	config Config
	last   atomic.Pointer[reading]
	pauses prometheus.Counter
}

// reading is what the clock said at one moment.
type reading struct {
	at time.Duration
	// active is for how long the process had run by then.
	active time.Duration
	// uninterruptedSince is the end of the last pause, or the start.
	uninterruptedSince time.Duration
	// takenAt is when it was taken, by the clock of package time.
	takenAt time.Time
}

// New makes a Meter that counts from now on; Run must be running.
func New(config Config) *Meter {
	if config.Now == nil {
		config.Now = Monotonic
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	m := &Meter{config: config, pauses: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "doorpondd_process_pauses_total", Help: "Pauses of the process that were noticed.",
	})}
	if config.Registerer != nil {
		config.Registerer.MustRegister(m.pauses)
	}
	now := config.Now()
	m.last.Store(&reading{at: now, uninterruptedSince: now, takenAt: time.Now()})
	return m
}

// Run reads the clock until ctx ends, and returns nil then.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.read()
		}
	}
}

// read takes one reading.
func (m *Meter) read() {
	next := m.currentReading()
	if next.uninterruptedSince == next.at {
		m.pauses.Inc()
		m.config.Logger.Warn("the process has not run for a while", "gap", (next.at - m.last.Load().at).String())
	}
	m.last.Store(&next)
}

// currentReading is the reading that would be taken now.
func (m *Meter) currentReading() reading {
	last, now := m.last.Load(), m.config.Now()
	gap := max(0, now-last.at)
	next := reading{at: now, active: last.active + min(gap, maxActivePerReading), uninterruptedSince: last.uninterruptedSince, takenAt: time.Now()}
	if gap > pauseThreshold {
		next.uninterruptedSince = now
	}
	return next
}

// startTime is what a nil Meter counts from, and startMonotonic what Now was then.
var startTime, startMonotonic = time.Now(), Monotonic()

// Time returns the present time. Differences between two such times count a suspension of the
// machine, where those of time.Now do not.
func Time() time.Time { return startTime.Add(Monotonic() - startMonotonic) }

// ActiveTime returns for how long the process has run. It never falls, and stands still while the
// process does.
func (m *Meter) ActiveTime() time.Duration {
	if m == nil {
		return time.Since(startTime)
	}
	return m.currentReading().active
}

// PausedTime returns for how much of the time the process has not run. It makes no system call, as it
// is asked at each step of a query, and so counts a suspension of the machine only from the next
// reading on; the deadline of a query does not count it at all.
func (m *Meter) PausedTime() time.Duration {
	if m == nil {
		return 0
	}
	last := m.last.Load()
	return last.at - last.active + max(0, time.Since(last.takenAt)-maxActivePerReading)
}

// RanWithoutPause tells whether the process has run for some time without a pause. What came in
// during a pause may have waited for as long as that lasted.
func (m *Meter) RanWithoutPause(lasting time.Duration) bool {
	if m == nil {
		return true
	}
	present := m.currentReading()
	return present.at-present.uninterruptedSince >= lasting
}

// WithTimeout returns a context that ends once the process has run for some time, or with its
// parent.
func (m *Meter) WithTimeout(parent context.Context, lasting time.Duration) (context.Context, context.CancelFunc) {
	if m == nil {
		return context.WithTimeout(parent, lasting)
	}
	ctx, cancel := context.WithCancelCause(parent)
	until := m.ActiveTime() + lasting
	go func() {
		for left := lasting; left > 0; left = until - m.ActiveTime() {
			if !sleep(ctx, left) {
				return
			}
		}
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// sleep waits, and returns false when ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
