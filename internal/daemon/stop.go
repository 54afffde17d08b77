package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/drain"
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
// settings allow. Only time in which the daemon runs counts: one that stands still
// beyond the bound would cut off requests that are answered as soon as it goes on.
func (d *Daemon) finish(hurry context.Context) {
	bounded, cancel := d.meter.WithTimeout(hurry, d.settings.Stop.Timeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.finishCallers(bounded) })
	group.Go(func() error { return d.finishPeers(bounded) })
	if err := group.Wait(); err != nil {
		d.logger.Error("the stop did not go as planned", "error", err)
	}
	d.enter(blackboard.PhaseStopped)
}

// finishCallers closes the port, and then tells callers to close their
// connections.
func (d *Daemon) finishCallers(bounded context.Context) error {
	closed := d.listeners.callers.Drain()
	d.enter(blackboard.PhaseClosing)
	cutOff := d.finishServer(bounded, d.listeners.callersServer, &d.listeners.callersOpen)
	return errors.Join(closed, eris.Wrap(cutOff, "requests of callers were cut off"))
}

// endingHTTP1 ends each HTTP/1.1 connection with its answer once the ports are
// closed, as peers go on with membership on those that they have. HTTP/2 needs
// no such sign.
func (d *Daemon) endingHTTP1(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && *d.board.Phase.Load() >= blackboard.PhaseClosing {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// finishPeers closes the port. Peers know of the stop and forward no more.
func (d *Daemon) finishPeers(bounded context.Context) error {
	closed := d.listeners.peers.Drain()
	cutOff := d.finishServer(bounded, d.listeners.peersServer, &d.listeners.peersOpen)
	return errors.Join(closed, eris.Wrap(cutOff, "requests of peers were cut off"))
}

// finishServer lets connections end by themselves, or stay idle, for up to half
// of the stop's time, before it shuts the server down: a shutdown gives up
// requests that are on their way, on HTTP/2 too.
func (d *Daemon) finishServer(bounded context.Context, server *http.Server, open *drain.Connections) error {
	quiet, cancel := d.meter.WithTimeout(bounded, d.settings.Stop.Timeout/2)
	defer cancel()
	_ = open.WaitIdle(quiet, d.settings.Stop.Grace) // Shutdown waits for the rest
	return server.Shutdown(bounded)
}
