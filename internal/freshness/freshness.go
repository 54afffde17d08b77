// Package freshness detects pauses of the process (stopped, swapped out, machine
// suspended) and marks the policy table as stale until a peer or the store has confirmed
// it. After a pause, waiting requests must not be answered from a table that other nodes
// may have replaced in the meantime.
package freshness

import (
	"context"
	"log/slog"
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
	// confirmAttempts is the number of attempts after which the table is used
	// unconfirmed: a node without peers and store cannot learn of changes.
	confirmAttempts = 3
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
	// pauses counts the pauses seen.
	pauses atomic.Int64
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
// query. After a pause it becomes true again once the table is confirmed or all attempts
// to confirm it have failed.
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
		m.requestReading()
		select {
		case <-bounded.Done():
			m.waits.WithLabelValues(waitExpired).Inc()
			return false
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
	if m.paused() {
		m.pauses.Add(1)
		if m.confirming.CompareAndSwap(false, true) {
			m.options.Logger.Warn("process was paused; confirming the policy table before using it")
			go m.confirm(ctx)
		}
	}
	m.lastReading.Store(int64(m.options.Now()))
}

func (m *Monitor) confirm(ctx context.Context) {
	defer m.replaceConfirmed()
	defer m.confirming.Store(false)
	for failed := 0; failed < confirmAttempts && ctx.Err() == nil; {
		pauses := m.pauses.Load()
		attemptCtx, cancel := m.options.Meter.WithTimeout(ctx, confirmTimeout)
		confirmed := m.options.Confirm(attemptCtx)
		cancel()
		if m.paused() || m.pauses.Load() != pauses {
			m.read(ctx)
			continue // the answer may be from before another pause
		}
		if confirmed {
			m.options.Logger.Info("policy table confirmed after the pause")
			return
		}
		failed++
	}
	m.options.Logger.Warn("policy table not confirmed by any peer or the store; using it unconfirmed")
}
