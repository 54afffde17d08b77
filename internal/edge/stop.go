package edge

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/query"
)

// The parts of the grace time of a planned stop.
const (
	// acceptShare is for how long new connections are still taken, for callers
	// that keep this node's address.
	acceptShare = 0.55
	// answerShare is when what is still in flight is answered as it stands: what replicas
	// hold for longer would end with its connection, and its caller could not tell a stop
	// from a lost request. The rest is for the answers to be written.
	// 0.42 s at a grace of 6 s; with 0.18 s a busy machine wrote an answer too late, once.
	answerShare = 0.87
	// endShare is by when all is over: what is left is for the process to end.
	endShare = 0.94
	// quietShare is how long the connections that are left must have been idle
	// before they are closed.
	quietShare = 0.15
	// leaveTimeout bounds the removal of the node's entry.
	leaveTimeout = 500 * time.Millisecond
)

// stop is the planned stop: the node is not ready any more and leaves the
// directory at once; it serves what still comes, ending each connection with
// its answer; then the port is closed, and what is in flight is waited for.
func (n *Node) stop(stopRecording func()) {
	grace := n.current.Load().Bounds.Grace
	started := time.Now()
	n.enter(blackboard.PhaseDraining)
	n.logger.Info("stopping", "node", n.settings.Node, "grace", grace.String(), "connections", n.open.Count())
	stopRecording()
	time.AfterFunc(shareOf(answerShare, grace), func() { n.answerNow(query.ErrStopping) })
	leaving, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := n.registry.Leave(leaving); err != nil {
		n.logger.Warn("this node's entry stays until its lease ends", "error", err.Error())
	}
	cancel()
	time.Sleep(time.Until(started.Add(shareOf(acceptShare, grace))))
	if err := n.callers.TurnOff(); err != nil {
		n.logger.Warn("the callers' port was not closed cleanly", "error", err.Error())
	}
	n.enter(blackboard.PhaseClosing)
	bounded, cancel := context.WithDeadline(context.Background(), started.Add(shareOf(endShare, grace)))
	defer cancel()
	_ = n.open.AwaitQuiet(bounded, shareOf(quietShare, grace)) // Shutdown waits for the rest
	if err := n.server.Shutdown(bounded); err != nil {
		n.logger.Warn("requests were cut off", "connections", n.open.Count(), "error", err.Error())
	}
	n.enter(blackboard.PhaseStopped)
}

func shareOf(share float64, whole time.Duration) time.Duration {
	return time.Duration(share * float64(whole))
}
