// Package freshness notices that the process was paused (stopped, swapped out,
// its machine frozen) and keeps it from trusting its policy table until a peer
// or the store has confirmed it. A paused process does not know that it was
// paused, so a request that was waiting for it must not be answered from a
// table that others have replaced long ago.
package freshness

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed"
)

const (
	// readInterval between two readings of the clock.
	readInterval = 200 * time.Millisecond
	// pauseThreshold is the gap between readings that counts as a pause: well
	// over a garbage collection or a busy machine, well under the seconds
	// within which a change must be in force.
	pauseThreshold = 1500 * time.Millisecond
	// confirmTimeout bounds one attempt to confirm.
	confirmTimeout = time.Second
	// confirmAttempts is how often confirming is tried before the daemon goes
	// on with what it has: cut off from all peers and the store, nobody can
	// tell it more.
	confirmAttempts = 3
)

// Options are what a Monitor needs.
type Options struct {
	// Confirm asks a peer or the store for the present revisions, takes them
	// over, and tells whether one of them answered.
	Confirm func(ctx context.Context) bool
	// Now is a monotonic reading; nil means elapsed.Now, which counts a suspension.
	Now    func() time.Duration
	Logger *slog.Logger
}

// Monitor watches for pauses of its own process.
type Monitor struct {
	options Options
	// lastReading is in nanoseconds of Now.
	lastReading atomic.Int64
	confirming  atomic.Bool
}

// New returns a Monitor that counts from now; Run must be running.
func New(options Options) *Monitor {
	if options.Now == nil {
		options.Now = elapsed.Monotonic
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	m := &Monitor{options: options}
	m.lastReading.Store(int64(options.Now()))
	return m
}

// Fresh tells whether the table may be trusted. It is cheap enough for each
// query, and true again at the latest after a few failed confirmations.
func (m *Monitor) Fresh() bool { return !m.confirming.Load() && !m.paused() }

func (m *Monitor) paused() bool {
	return m.options.Now()-time.Duration(m.lastReading.Load()) > pauseThreshold
}

// Run reads the clock until ctx ends, and returns nil then.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.read(ctx)
		}
	}
}

// read takes one reading and, after a pause, starts to confirm. The mark is
// set before the reading, so that no query slips in between.
func (m *Monitor) read(ctx context.Context) {
	if m.paused() && m.confirming.CompareAndSwap(false, true) {
		m.options.Logger.Warn("the process was paused; confirming the policy table before trusting it")
		go m.confirm(ctx)
	}
	m.lastReading.Store(int64(m.options.Now()))
}

func (m *Monitor) confirm(ctx context.Context) {
	defer m.confirming.Store(false)
	for range confirmAttempts {
		attempt, cancel := context.WithTimeout(ctx, confirmTimeout)
		confirmed := m.options.Confirm(attempt)
		cancel()
		if confirmed {
			m.options.Logger.Info("the policy table is confirmed after the pause")
			return
		}
	}
	m.options.Logger.Warn("nobody could confirm the policy table; going on with it")
}
