// Package elapsed measures how much time has passed, and for how much of it this process
// was running. A process that is stopped, swapped out or suspended with its machine does
// not notice: its timers all expire at once when it resumes, regardless of their order.
// Use the elapsed time to judge the age of data, and the active time for timeouts and for
// sequences of events.
package elapsed

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// readInterval is the time between two readings of the clock.
	readInterval = 100 * time.Millisecond
	// maxActivePerReading bounds the active time between two readings. A longer gap
	// means that the process was paused; a timeout loses at most this much per pause.
	maxActivePerReading = readInterval + readInterval/5
	// pauseThreshold is the gap between two readings above which a pause is reported.
	// Shorter gaps, as on a busy machine, still count as paused time.
	pauseThreshold = 2 * readInterval
	// maxReadingTime bounds the time that reading both clocks takes. A longer one includes a
	// pause, and the two readings belong to different times.
	maxReadingTime = time.Millisecond
	// readAttempts bounds how often the clocks are read for one reading.
	readAttempts = 5
	// markInterval is the active time between two marks (see EarlierPausedTime).
	markInterval = time.Second
)

// Config configures a Meter. All fields are optional.
type Config struct {
	// Now returns a monotonic clock reading that includes time suspended; nil means
	// Monotonic.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Meter measures the active time of its process. A nil Meter counts all time as active.
// It is safe for concurrent use.
type Meter struct {
	config Config
	last   atomic.Pointer[reading]
	pauses prometheus.Counter
}

// reading is one reading of the clock.
type reading struct {
	at time.Duration
	// active is the active time so far.
	active time.Duration
	// uninterruptedSince is the end of the last pause, or the start of the meter.
	uninterruptedSince time.Duration
	// takenAt is the time of the reading according to package time.
	takenAt time.Time
	// lastMark and earlierMark are the two latest marks, markInterval or more apart.
	lastMark, earlierMark mark
}

// mark is the active and the paused time of a past reading.
type mark struct{ active, paused time.Duration }

// paused returns the paused time so far.
func (r *reading) paused() time.Duration { return r.at - r.active }

// New returns a Meter that starts at zero. It measures only while Run is running.
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
	now, takenAt := m.readClocks()
	start := mark{paused: now}
	m.last.Store(&reading{at: now, uninterruptedSince: now, takenAt: takenAt, lastMark: start, earlierMark: start})
	return m
}

// Run reads the clock periodically until ctx ends, and then returns nil.
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

// read stores a new reading and reports a pause before it.
func (m *Meter) read() {
	next := m.currentReading()
	if next.uninterruptedSince == next.at {
		m.pauses.Inc()
		m.config.Logger.Warn("process was paused", "gap", (next.at - m.last.Load().at).String())
	}
	if next.active-next.lastMark.active >= markInterval {
		next.earlierMark, next.lastMark = next.lastMark, mark{active: next.active, paused: next.paused()}
	}
	m.last.Store(&next)
}

// readClocks returns the elapsed time and the time of package time at the same moment.
func (m *Meter) readClocks() (now time.Duration, takenAt time.Time) {
	for range readAttempts {
		takenAt = time.Now()
		now = m.config.Now()
		if time.Since(takenAt) < maxReadingTime {
			break
		}
	}
	return now, takenAt
}

// currentReading returns a reading of the present time without storing it.
func (m *Meter) currentReading() reading {
	last := m.last.Load()
	next := *last
	next.at, next.takenAt = m.readClocks()
	gap := max(0, next.at-last.at)
	next.active += min(gap, maxActivePerReading)
	if gap > pauseThreshold {
		next.uninterruptedSince = next.at
	}
	return next
}

// startTime and startMonotonic are the readings of both clocks at program start.
var startTime, startMonotonic = time.Now(), Monotonic()

// Time returns the present time. Unlike those of time.Now, differences between two such
// times include time suspended.
func Time() time.Time { return startTime.Add(Monotonic() - startMonotonic) }

// ActiveTime returns for how long the process has been running. It never decreases, and
// does not advance while the process is paused.
func (m *Meter) ActiveTime() time.Duration {
	if m == nil {
		return time.Since(startTime)
	}
	return m.currentReading().active
}

// PausedTime returns for how long the process has been paused. It makes no system call,
// as it is called at each step of a query, and therefore includes a suspension of the
// machine only after the next reading. Deadlines of queries do not count suspensions.
func (m *Meter) PausedTime() time.Duration {
	if m == nil {
		return 0
	}
	last := m.last.Load()
	return last.paused() + max(0, time.Since(last.takenAt)-maxActivePerReading)
}

// EarlierPausedTime returns what PausedTime was one to two seconds of active time ago, or at the
// start of the meter. Pauses since then may lie between the computation of a value that was
// received just now and its receipt.
func (m *Meter) EarlierPausedTime() time.Duration {
	if m == nil {
		return 0
	}
	return m.last.Load().earlierMark.paused
}

// RanWithoutPause reports whether the process has been running without a pause for at
// least the given duration. Input received around a pause may be as old as the pause is
// long.
func (m *Meter) RanWithoutPause(duration time.Duration) bool {
	if m == nil {
		return true
	}
	current := m.currentReading()
	return current.at-current.uninterruptedSince >= duration
}

// TimeoutFunc bounds an operation, as context.WithTimeout does.
type TimeoutFunc func(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// WithTimeout is like context.WithTimeout, but the timeout counts active time only: what arrives
// while the process is paused is not lost to it. When it passes, the context is canceled, with
// context.DeadlineExceeded as its cause. It does not pass while Run is not running.
func (m *Meter) WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if m == nil {
		return context.WithTimeout(parent, timeout)
	}
	ctx, cancel := context.WithCancelCause(parent)
	deadline := m.ActiveTime() + timeout
	go func() {
		for remaining := timeout; remaining > 0; remaining = deadline - m.ActiveTime() {
			if !sleep(ctx, remaining) {
				return
			}
		}
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// sleep waits for the given duration. It returns false if ctx ends first.
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
