// Package freshness detects pauses of the process (stopped, swapped out, machine
// suspended) and marks the policy table as stale until a peer or the store has confirmed
// it. After a pause, waiting requests must not be answered from a table that other nodes
// may have replaced in the meantime.
package freshness

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/elapsed"
)

const (
	// readInterval is the time between two readings of the clock.
	readInterval = 200 * time.Millisecond
	// pauseThreshold is the gap between readings that counts as a pause. It is well
	// above the delays of garbage collection or a busy machine, and well below the
	// seconds within which a change must take effect.
	pauseThreshold = 1500 * time.Millisecond
	// confirmTimeout bounds the active time of one confirmation attempt.
	confirmTimeout = time.Second
	// confirmLimit is the active time after which the table is used unconfirmed: a node whose
	// peers and store do not answer cannot learn of changes.
	confirmLimit = 3 * time.Second
	// confirmRetryDelay is the time between a failed attempt and the next one.
	confirmRetryDelay = 100 * time.Millisecond
)

// Options configures a Monitor.
type Options struct {
	// Confirm fetches the current revisions from a peer or the store and applies
	// them. It reports whether one of them answered.
	Confirm func(ctx context.Context) bool
	// Now returns a monotonic clock reading; nil means elapsed.Monotonic, which
	// includes time suspended.
	Now func() time.Duration
	// Meter measures the time limits of waits and of confirmation attempts: a limit that a
	// further pause could use up would pass before the answer that has arrived is read. Nil
	// counts all time.
	Meter      *elapsed.Meter
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Monitor detects pauses of its own process.
type Monitor struct {
	options Options
	// lastReading is the last reading of Now in nanoseconds.
	lastReading atomic.Int64
	confirming  atomic.Bool
	// mutex makes a reading and the end of a confirmation exclude each other: a pause that is
	// noticed in between must not be taken for one that is confirmed.
	mutex sync.Mutex
	// pauses counts the pauses noticed. It is guarded by mutex.
	pauses int
	// confirmed is closed and replaced at the end of each confirmation.
	confirmed atomic.Pointer[chan struct{}]
	// readRequested makes Run read the clock at once.
	readRequested chan struct{}
	waits         *prometheus.CounterVec
}

// The results of waits, as labels of the metric.
const (
	waitConfirmed = "confirmed"
	waitExpired   = "expired"
)

// New returns a Monitor. It works only while Run is running.
func New(options Options) *Monitor {
	if options.Now == nil {
		options.Now = elapsed.Monotonic
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	m := &Monitor{options: options, readRequested: make(chan struct{}, 1), waits: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_freshness_waits_total", Help: "Queries that waited for the policy table to be confirmed after a pause, by result.",
	}, []string{"result"})}
	if options.Registerer != nil {
		options.Registerer.MustRegister(m.waits)
	}
	m.lastReading.Store(int64(options.Now()))
	m.replaceConfirmed()
	return m
}

// replaceConfirmed wakes the waiting queries.
func (m *Monitor) replaceConfirmed() {
	next := make(chan struct{})
	if previous := m.confirmed.Swap(&next); previous != nil {
		close(*previous)
	}
}

// Fresh reports whether the policy table may be used. It is cheap enough to call for each
// query. After a pause it becomes true again once the table is confirmed or confirmLimit has
// passed.
func (m *Monitor) Fresh() bool { return !m.confirming.Load() && !m.paused() }

func (m *Monitor) paused() bool {
	return m.options.Now()-time.Duration(m.lastReading.Load()) > pauseThreshold
}

// WaitFresh waits until Fresh, for up to limit of active time, and reports whether it is. A
// confirmation usually takes one round trip, so that waiting is shorter than a rejection and
// a retry.
func (m *Monitor) WaitFresh(ctx context.Context, limit time.Duration) bool {
	if m.Fresh() {
		return true
	}
	bounded, cancel := m.options.Meter.WithTimeout(ctx, limit)
	defer cancel()
	for {
		confirmed := *m.confirmed.Load()
		if m.Fresh() {
			m.waits.WithLabelValues(waitConfirmed).Inc()
			return true
		}
		if bounded.Err() != nil {
			m.waits.WithLabelValues(waitExpired).Inc()
			return false
		}
		m.requestReading()
		select {
		case <-bounded.Done():
		case <-confirmed:
		}
	}
}

func (m *Monitor) requestReading() {
	select {
	case m.readRequested <- struct{}{}:
	default: // already requested
	}
}

// Run reads the clock periodically until ctx ends, and then returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.readRequested:
		}
		m.read(ctx)
	}
}

// read stores a new reading and starts a confirmation after a pause, unless one is running. It
// sets confirming before storing the reading, so that Fresh does not return true in between.
func (m *Monitor) read(ctx context.Context) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.options.Now()
	if now-time.Duration(m.lastReading.Load()) > pauseThreshold {
		m.pauses++
		if m.confirming.CompareAndSwap(false, true) {
			m.options.Logger.Warn("process was paused; confirming the policy table before using it")
			go m.confirm(ctx)
		}
	}
	m.lastReading.Store(int64(now))
}

// confirm confirms the table until that has succeeded after the latest pause, or confirmLimit has
// passed.
func (m *Monitor) confirm(ctx context.Context) {
	limited, cancel := m.options.Meter.WithTimeout(ctx, confirmLimit)
	defer cancel()
	for limited.Err() == nil {
		m.read(ctx)
		pauses := m.pauseCount()
		if !m.attempt(limited) {
			sleep(limited, confirmRetryDelay)
			continue
		}
		m.read(ctx)
		if m.finish(pauses) { // otherwise the answer may be from before another pause
			m.options.Logger.Info("policy table confirmed after the pause")
			return
		}
	}
	m.confirming.Store(false)
	m.replaceConfirmed()
	m.options.Logger.Warn("policy table not confirmed by any peer or the store; using it unconfirmed")
}

// attempt makes one attempt to confirm the table.
func (m *Monitor) attempt(ctx context.Context) bool {
	bounded, cancel := m.options.Meter.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return m.options.Confirm(bounded)
}

func (m *Monitor) pauseCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.pauses
}

// finish ends the confirmation if no pause was noticed since there were the given number.
func (m *Monitor) finish(pauses int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.pauses != pauses {
		return false
	}
	m.confirming.Store(false)
	m.replaceConfirmed()
	return true
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
