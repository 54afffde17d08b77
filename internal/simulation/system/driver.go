package system

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/query"
)

// driver is the query.Driver of a simulated daemon.
type driver struct{ daemon *daemon }

func (v driver) Start(work func()) {
	parent := v.daemon.world.current.query
	// A task starts after its query has parked, as a goroutine would.
	v.daemon.process.After(0, func() {
		v.daemon.world.spawn(v.daemon.process, func(t *task) { t.query = parent }, work)
	})
}

func (driver) WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	created := parent.(*virtualContext).child()
	return created, func() { created.cancel(context.Canceled) }
}

func (v driver) Detached() context.Context { return newContext(v.daemon.process) }

func (v driver) After(wait time.Duration, work func()) { v.daemon.process.After(wait, work) }

func (v driver) NewInbox(int) query.Inbox {
	return &inbox{daemon: v.daemon, started: v.daemon.world.engine.Now()}
}

// inbox is the query.Inbox of a simulated daemon.
type inbox struct {
	daemon  *daemon
	started time.Duration
	results []query.AttemptResult
	timer   func()
	due     bool
	closed  bool
	wake    func()
}

func (i *inbox) Elapsed() time.Duration { return i.daemon.world.engine.Now() - i.started }

func (i *inbox) SetTimer(at time.Duration) {
	if i.timer != nil {
		i.timer()
	}
	i.due = false
	i.timer = i.daemon.process.After(at-i.Elapsed(), func() {
		i.due = true
		i.notify()
	}).Stop
}

func (i *inbox) Deliver(result query.AttemptResult) {
	if i.closed {
		return
	}
	i.results = append(i.results, result)
	i.notify()
}

func (i *inbox) notify() {
	if i.wake != nil {
		i.wake()
	}
}

func (i *inbox) Next(ctx context.Context) (query.AttemptResult, query.WakeReason) {
	caller := ctx.(*virtualContext)
	for {
		switch {
		case caller.Err() != nil:
			return query.AttemptResult{}, query.WakeContextDone
		case len(i.results) > 0:
			first := i.results[0]
			i.results = i.results[1:]
			return first, query.WakeResult
		case i.due:
			i.due = false
			return query.AttemptResult{}, query.WakeTimer
		}
		i.daemon.world.await(func(wake func()) {
			i.wake = wake
			caller.whenDone(wake)
		})
		i.wake = nil
	}
}

func (i *inbox) Ready() int { return len(i.results) }

func (i *inbox) Close() {
	i.closed = true
	if i.timer != nil {
		i.timer()
	}
}
