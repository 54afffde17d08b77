package edge

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/query"
)

// The parts of the grace time of a planned stop.
const (
	// acceptShare is for how long new connections are still taken, for callers
	// that keep this node's address.
	acceptShare = 0.55
	// answerShare is when what is still in flight is answered as it stands: what replicas
	// hold for longer would end with its connection, and its caller could not tell a stop
	// from a lost request. It is counted by the clock, as is the grace time itself.
	answerShare = 0.87
	// writeShare is for how long the node runs after that at most, so that all answers are
	// written: 0.42 s of 6 s. The rest is for the process to end.
	writeShare = 0.07
	// quietShare is how long the connections that are left must have been idle
	// before they are closed.
	quietShare = 0.15
	// leaveTimeout bounds the removal of the node's entry.
	leaveTimeout = 500 * time.Millisecond
)

// stop is the planned stop: the node is not ready any more and leaves the
// directory at once; it serves what still comes, ending each connection with
// its answer; then the port is closed, and what is in flight is waited for, and
// answered as it stands when it takes too long.
func (n *Node) stop(stopRecording func()) {
	grace := n.current.Load().Bounds.Grace
	started := elapsed.Monotonic()
	until := func(share float64) time.Duration { return started + shareOf(share, grace) - elapsed.Monotonic() }
	n.enter(blackboard.PhaseDraining)
	n.logger.Info("stopping", "node", n.settings.Node, "grace", grace.String(), "connections", n.open.Count())
	stopRecording()
	answering, cancel := context.WithTimeout(context.Background(), until(answerShare))
	defer cancel()
	n.leave()
	n.keepAccepting(until(acceptShare))
	n.enter(blackboard.PhaseClosing)
	timely := n.open.AwaitQuiet(answering, shareOf(quietShare, grace)) == nil
	ending, cancelEnding := n.meter.WithTimeout(context.Background(), shareOf(writeShare, grace))
	defer cancelEnding()
	if !timely {
		n.answerRest(ending)
	}
	n.endConnections(ending)
	n.enter(blackboard.PhaseStopped)
}

// leave removes this node's entry.
func (n *Node) leave() {
	leaving, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.registry.Leave(leaving); err != nil {
		n.logger.Warn("this node's entry stays until its lease ends", "error", err.Error())
	}
}

// keepAccepting takes new connections for some time yet, then closes the callers' port.
func (n *Node) keepAccepting(lasting time.Duration) {
	time.Sleep(lasting)
	if err := n.callers.TurnOff(); err != nil {
		n.logger.Warn("the callers' port was not closed cleanly", "error", err.Error())
	}
}

// answerRest answers what is still in flight, and waits until that is written or ctx ends.
// Connections end after it by this order, not at a second mark of the clock: a process that
// stands still over two marks comes to both at once, and ended connections whose answers were
// on their way.
func (n *Node) answerRest(ctx context.Context) {
	n.answerNow(query.ErrStopping)
	_ = n.open.AwaitAnswers(ctx) // endConnections tells of those that are left
}

// endConnections closes all connections. It cuts off those with a request in flight when ctx
// ends: the request has not come whole, or its caller does not take the answer.
func (n *Node) endConnections(ctx context.Context) {
	if err := n.server.Shutdown(ctx); err != nil {
		busy := n.open.Busy()
		n.cutOff.Add(float64(busy))
		n.logger.Warn("requests were cut off", "requests", busy, "connections", n.open.Count(), "error", err.Error())
	}
}

func shareOf(share float64, whole time.Duration) time.Duration {
	return time.Duration(share * float64(whole))
}
