package system

import (
	"time"

	"github.com/doorpond/doorpond/internal/membership"
)

// stop is a planned stop: peers and callers are told first, requests are
// still taken for a while, what is in flight ends, then the process does.
func (d *daemon) stop() {
	if d.stopping || !d.process.Alive() {
		return
	}
	d.stopping = true
	d.world.tracef("stop %s", d.id)
	d.step(membership.LeaveRequested{})
	d.process.After(stopGrace, func() {
		d.closed = true
		d.awaitIdle(d.world.engine.Now() + stopDrain)
	})
}

// awaitIdle ends the process once nothing is in flight.
func (d *daemon) awaitIdle(until time.Duration) {
	const interval = 20 * time.Millisecond
	if d.inFlight > 0 && d.world.engine.Now() < until {
		d.process.After(interval, func() { d.awaitIdle(until) })
		return
	}
	d.step(membership.LeaveCompleted{})
	d.process.After(stopLinger, func() {
		d.world.checks.stopped(d)
		d.world.killDaemon(d.slot)
	})
}
