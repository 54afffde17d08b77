package query

import (
	"log/slog"
	"time"

	"golang.org/x/time/rate"
)

// Limits on the lines about unanswered searches. When replicas stall, each search in
// flight is one.
const (
	unansweredPerSecond = 2
	unansweredBurst     = 10
)

// unansweredLog logs searches that no shard answered before the deadline. The times of
// their sub-requests tell slow replicas from a process that was suspended or starved of
// processor time.
type unansweredLog struct {
	logger  *slog.Logger
	limiter *rate.Limiter
}

func newUnansweredLog(logger *slog.Logger) unansweredLog {
	return unansweredLog{logger: logger, limiter: rate.NewLimiter(unansweredPerSecond, unansweredBurst)}
}

func (l *unansweredLog) write(request *request, last *searchRun, took time.Duration) {
	if l.logger == nil || !l.limiter.Allow() {
		return
	}
	first, latest := last.sendTimes()
	written, latestWritten := last.writeTimes()
	l.logger.Warn("no shard answered before the deadline", "id", request.id,
		"deadline", request.deadline.String(), "took", took.String(),
		"paused", (last.service.pausedTime() - request.pausedAtStart).String(), "excluded", last.pauses.excluded.String(),
		"before_run", (took - last.inbox.Elapsed()).String(),
		"sent", last.counts.dispatched, "first_sent", first.String(), "last_sent", latest.String(),
		"written", written, "last_written", latestWritten.String(),
		"replies_unread", last.unreadResults, "outcomes", last.countOutcomes())
}

// sendTimes returns when the first and the latest attempt of the run were sent.
func (r *run) sendTimes() (first, latest time.Duration) {
	first = r.elapsed()
	for i := range r.shards {
		for _, sent := range r.shards[i].attempts {
			first, latest = min(first, sent.sentAt), max(latest, sent.sentAt)
		}
	}
	return first, latest
}

// writeTimes returns how many attempts have been written to their connections, and when the latest
// was, from the run's start and with pauses. Attempts that were written late or never point to this
// process, those that were written at once to the replicas.
func (r *run) writeTimes() (written int, latest time.Duration) {
	for i := range r.shards {
		for _, sent := range r.shards[i].attempts {
			if sent.writtenAt == nil || sent.writtenAt.Load() == unwritten {
				continue
			}
			written++
			latest = max(latest, time.Duration(sent.writtenAt.Load()))
		}
	}
	return written, latest
}

// countOutcomes returns the number of the run's attempts by outcome.
func (r *run) countOutcomes() map[string]int {
	counts := make(map[string]int)
	for i := range r.shards {
		for _, sent := range r.shards[i].attempts {
			counts[sent.outcome]++
		}
	}
	return counts
}
