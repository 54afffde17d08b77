package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
)

// stop is the planned stop. The order matters: others are told first, and
// requests are still taken for the grace time. Then the ports are closed, and
// requests on the connections that are left are still served, with
// "Connection: close", so that callers move away by themselves; connections
// idle for as long as the grace time are closed last. What is in flight is
// waited for, also what peers have forwarded.
func (d *Daemon) stop(hurry context.Context) {
	d.logger.Info("draining", "grace", d.settings.Stop.Grace, "timeout", d.settings.Stop.Timeout)
	d.enter(blackboard.PhaseDraining)
	graceEnd := time.NewTimer(d.settings.Stop.Grace)
	defer graceEnd.Stop()
	leaving, cancel := context.WithTimeout(hurry, d.settings.Stop.Grace)
	defer cancel()
	if err := d.node.Leave(leaving); err != nil {
		d.logger.Warn("not all peers heard of the stop in time", "error", err)
	}
	select {
	case <-graceEnd.C:
	case <-hurry.Done():
	}
	d.finish(hurry)
}

// finish closes the ports and waits for the requests in flight, as long as the
// settings allow.
func (d *Daemon) finish(hurry context.Context) {
	bounded, cancel := context.WithTimeout(hurry, d.settings.Stop.Timeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.finishCallers(bounded) })
	group.Go(func() error { return d.finishPeers(bounded) })
	if err := group.Wait(); err != nil {
		d.logger.Error("the stop did not go as planned", "error", err)
	}
	d.enter(blackboard.PhaseStopped)
}

// finishCallers lets callers' connections end by themselves before it shuts
// the server down.
func (d *Daemon) finishCallers(bounded context.Context) error {
	l := d.listeners
	closed := l.callers.TurnOff()
	d.enter(blackboard.PhaseClosing)
	_ = l.callersOpen.AwaitQuiet(bounded, d.settings.Stop.Grace) // Shutdown reports the end of bounded
	cutOff := eris.Wrap(l.callersServer.Shutdown(bounded), "requests of callers were cut off")
	return errors.Join(closed, cutOff)
}

// finishPeers relies on HTTP/2, which tells the other side which requests are
// still served; membership messages may be lost.
func (d *Daemon) finishPeers(bounded context.Context) error {
	closed := d.listeners.peers.TurnOff()
	cutOff := eris.Wrap(d.listeners.peersServer.Shutdown(bounded), "requests of peers were cut off")
	return errors.Join(closed, cutOff)
}
