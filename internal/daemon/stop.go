package daemon

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
)

// stop is the planned stop. The order matters: others are told first, then
// requests are still taken for a while with "Connection: close", so that
// callers on kept-alive connections move away by themselves; only then are
// the listeners closed, and idle connections ended last. What is in flight is
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

// finish waits for the requests in flight, as long as the settings allow.
func (d *Daemon) finish(hurry context.Context) {
	bounded, cancel := context.WithTimeout(hurry, d.settings.Stop.Timeout)
	defer cancel()
	var group errgroup.Group
	for name, server := range map[string]*http.Server{"callers": d.listeners.callersServer, "peers": d.listeners.peersServer} {
		group.Go(func() error {
			if err := server.Shutdown(bounded); err != nil {
				d.logger.Error("requests in flight were cut off", "listener", name, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // each failure is logged above
	d.enter(blackboard.PhaseStopped)
}
