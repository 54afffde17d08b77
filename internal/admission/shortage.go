package admission

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// shortage tracks for how long requests are refused at a target's limit, and logs its start and end. It is
// safe for concurrent use.
type shortage struct {
	since, last atomic.Int64 // Unix nanoseconds; since is 0 if there is none
	refused     atomic.Int64
}

// active reports whether a request was recently refused at the limit.
func (s *shortage) active(now time.Time) bool {
	return s.since.Load() != 0 && now.UnixNano()-s.last.Load() < int64(shortageExpiry)
}

// begin records a request that is refused at the limit.
func (s *shortage) begin(now time.Time, logger *slog.Logger, limit float64, inFlight int64) {
	s.last.Store(now.UnixNano())
	s.refused.Add(1)
	if s.since.CompareAndSwap(0, now.UnixNano()) {
		logger.Info("target short of capacity", "limit", limit, "in_flight", inFlight)
	}
}

// end ends a shortage that has expired. It is called with each request, as only then refusals matter.
func (s *shortage) end(now time.Time, logger *slog.Logger) {
	since := s.since.Load()
	if since == 0 || s.active(now) || !s.since.CompareAndSwap(since, 0) {
		return
	}
	lasted := time.Duration(s.last.Load() - since)
	logger.Info("target no longer short of capacity", "lasted", lasted.String(), "refused", s.refused.Swap(0))
}
