package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/drain"
)

// shutdown stops the daemon gracefully, in this order: it announces the shutdown to peers and
// keeps accepting connections for the grace period, not counting pauses of the process; it
// closes the listeners and answers requests on the remaining connections with "Connection:
// close"; it closes connections that have been idle for the grace period and waits for requests
// in flight, including those that peers have forwarded.
func (d *Daemon) shutdown(abort context.Context) {
	d.logger.Info("draining", "grace", d.settings.Stop.Grace, "timeout", d.settings.Stop.Timeout)
	d.setPhase(blackboard.PhaseDraining)
	grace, cancel := d.meter.WithTimeout(abort, d.settings.Stop.Grace)
	defer cancel()
	if err := d.node.Leave(grace); err != nil {
		d.logger.Warn("failed to announce the shutdown to all peers", "error", err)
	}
	<-grace.Done()
	d.drain(abort)
}

// drain closes the listeners and waits for requests in flight, up to the stop timeout. Time in
// which the process is paused does not count, so that requests are not aborted that would be
// answered once it resumes.
func (d *Daemon) drain(abort context.Context) {
	ctx, cancel := d.meter.WithTimeout(abort, d.settings.Stop.Timeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.drainCallers(ctx) })
	group.Go(func() error { return d.drainPeers(ctx) })
	if err := group.Wait(); err != nil {
		d.logger.Error("graceful shutdown failed", "error", err)
	}
	d.setPhase(blackboard.PhaseStopped)
}

// drainCallers closes the listener and then makes callers close their connections.
func (d *Daemon) drainCallers(ctx context.Context) error {
	closeErr := d.listeners.callers.Drain()
	d.setPhase(blackboard.PhaseClosing)
	shutdownErr := d.shutdownServer(ctx, d.listeners.callersServer, &d.listeners.callersConnections)
	return errors.Join(closeErr, eris.Wrap(shutdownErr, "aborted requests of callers"))
}

// closeHTTP1Connections closes each HTTP/1.1 connection after its next response once the
// listeners are closed, as peers keep using open connections for membership. HTTP/2 does not
// need this.
func (d *Daemon) closeHTTP1Connections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && *d.board.Phase.Load() >= blackboard.PhaseClosing {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drainPeers closes the listener. Peers know of the shutdown and no longer forward requests.
func (d *Daemon) drainPeers(ctx context.Context) error {
	closeErr := d.listeners.peers.Drain()
	shutdownErr := d.shutdownServer(ctx, d.listeners.peersServer, &d.listeners.peersConnections)
	return errors.Join(closeErr, eris.Wrap(shutdownErr, "aborted requests of peers"))
}

// shutdownServer waits for connections to close or become idle, for up to half of the stop
// timeout, before it shuts the server down: Shutdown drops requests that have been sent but
// not yet read, on HTTP/2 too.
func (d *Daemon) shutdownServer(ctx context.Context, server *http.Server, connections *drain.Connections) error {
	idleCtx, cancel := d.meter.WithTimeout(ctx, d.settings.Stop.Timeout/2)
	defer cancel()
	_ = connections.WaitIdle(idleCtx, d.settings.Stop.Grace) // Shutdown waits for the rest
	err := server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		return nil // the listener has closed itself before the server did
	}
	return err
}
