package edge

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/query"
)

// The phases of a graceful shutdown, as shares of the grace period.
const (
	// acceptShare is how long new connections are still accepted, for callers that have cached
	// this node's address.
	acceptShare = 0.55
	// answerShare is when requests still in flight are answered with what is available.
	// Otherwise their connections would end with the process, and callers could not tell
	// whether the request was lost. Like the grace period itself, it includes time for which
	// the process is suspended, unless the whole grace period passes in it.
	answerShare = 0.87
	// writeShare bounds the time after that for writing the answers. The rest of the grace
	// period is left for the process to exit.
	writeShare = 0.07
	// idleShare is how long the remaining connections must have been idle before they are
	// closed.
	idleShare = 0.15
	// readTime is how long a process that was paused must have run before requests are answered
	// with what is available and connections are closed: what came meanwhile lies unread.
	readTime         = 100 * time.Millisecond
	readPollInterval = 10 * time.Millisecond
	// maxReadTime bounds the active time spent on that by a process that is paused all the time.
	maxReadTime = 500 * time.Millisecond
	// deregisterTimeout bounds the removal of the node's entry.
	deregisterTimeout = 500 * time.Millisecond
)

// shutdown stops the node gracefully. The node becomes unready and leaves the directory at once,
// and serves further requests with one answer per connection. Then it closes the port, waits for
// the requests in flight, and answers those that take too long with what is available.
func (n *Node) shutdown(stopRegistration func()) {
	grace := n.current.Load().Bounds.Grace
	startedAt, activeAtStart := elapsed.Monotonic(), n.meter.ActiveTime()
	until := func(share float64) time.Duration {
		return startedAt + scaleDuration(share, grace) - elapsed.Monotonic()
	}
	n.setPhase(blackboard.PhaseDraining)
	n.logger.Info("stopping", "node", n.settings.Node, "grace", grace.String(), "connections", n.connections.Count())
	stopRegistration()
	n.deregister()
	n.acceptFor(until(acceptShare))
	n.setPhase(blackboard.PhaseClosing)
	drained := false
	n.repeatAfterPause(func() {
		answering, cancel := n.answerPeriod(startedAt, activeAtStart, grace)
		defer cancel()
		drained = n.connections.WaitIdle(answering, scaleDuration(idleShare, grace)) == nil
	})
	ending, cancelEnding := n.meter.WithTimeout(context.Background(), scaleDuration(writeShare, grace))
	defer cancelEnding()
	if !drained {
		n.logger.Info("answering pending requests with what is available", "requests", n.connections.ActiveCount(),
			"after", (elapsed.Monotonic() - startedAt).String(), "active", (n.meter.ActiveTime() - activeAtStart).String())
		n.answerPending(ending)
	}
	n.closeConnections(ending)
	n.setPhase(blackboard.PhaseStopped)
}

// answerPeriod returns a context that ends when requests still in flight have to be answered. A
// process that was suspended beyond the end of its grace period is not killed by the wall clock, as
// it would have been by then. Its requests therefore get the time that they would have had without
// the suspension: those that arrived in it, and those whose sub-requests were not sent before it,
// have been read only since.
func (n *Node) answerPeriod(startedAt, activeAtStart, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := n.meter.WithTimeout(context.Background(), scaleDuration(answerShare, grace)-(n.meter.ActiveTime()-activeAtStart))
	timer := time.AfterFunc(startedAt+scaleDuration(answerShare, grace)-elapsed.Monotonic(), func() {
		if elapsed.Monotonic()-startedAt < grace {
			cancel()
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// deregister removes this node's entry from the store.
func (n *Node) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := n.registry.Deregister(ctx); err != nil {
		n.logger.Warn("failed to remove this node's entry; it stays until its lease ends", "error", err.Error())
	}
}

// acceptFor keeps accepting connections for a time, then closes the callers' port.
func (n *Node) acceptFor(duration time.Duration) {
	time.Sleep(duration)
	if err := n.callers.Drain(); err != nil {
		n.logger.Warn("failed to close the callers' port cleanly", "error", err.Error())
	}
}

// repeatAfterPause calls wait, and again while the process was paused within readTime, for up to
// maxReadTime after the first call. Requests and replicas' responses that came in the pause may not
// be read yet, so that connections seem idle and requests unanswered.
func (n *Node) repeatAfterPause(wait func()) {
	wait()
	reading, cancel := n.meter.WithTimeout(context.Background(), maxReadTime)
	defer cancel()
	for !n.meter.RanWithoutPause(readTime) && reading.Err() == nil {
		time.Sleep(readPollInterval)
		wait()
	}
}

// answerPending makes the requests in flight answer now, and waits until the answers are written
// or ctx is done. Connections are closed after it returns and not at a fixed time, as a process
// that was suspended past both times would close them before the answers are written.
func (n *Node) answerPending(ctx context.Context) {
	n.cancelRequests(query.ErrShuttingDown)
	// closeConnections reports those that are left
	n.repeatAfterPause(func() { _ = n.connections.WaitInactive(ctx) })
}

// closeConnections closes all connections. When ctx is done it aborts those with a request in
// flight: either the request is incomplete, or its caller does not read the answer.
func (n *Node) closeConnections(ctx context.Context) {
	if err := n.server.Shutdown(ctx); err != nil {
		busy := n.connections.ActiveCount()
		n.abortedRequests.Add(float64(busy))
		n.logger.Warn("requests aborted by the shutdown", "requests", busy, "connections", n.connections.Count(), "error", err.Error())
	}
}

func scaleDuration(share float64, total time.Duration) time.Duration {
	return time.Duration(share * float64(total))
}
