package system

import (
	"context"
	"fmt"
	"iter"
	"runtime/debug"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/simulation"
)

// task is a coroutine of one process: code that blocks, such as the table's
// editor, runs in it and hands control back to the engine wherever it waits.
type task struct {
	process *simulation.Process
	next    func() (struct{}, bool)
	stop    func()
	yield   func(struct{}) bool
	// flight is the call that the task dispatches, if it does.
	flight *flight
	ended  bool
	// query is the query that the task answers, if it does.
	query *queryRecord
}

// taskStopped unwinds a task whose process has ended.
type taskStopped struct{}

// spawn runs a body as a task until it waits for the first time.
func (w *World) spawn(process *simulation.Process, set func(*task), body func()) {
	created := &task{process: process}
	if set != nil {
		set(created)
	}
	created.next, created.stop = iter.Pull(func(yield func(struct{}) bool) {
		created.yield = yield
		defer created.end()
		body()
	})
	w.keep(created)
	w.resume(created)
}

// keep notes a task, to be stopped when the run is over; ended ones are
// dropped now and then.
func (w *World) keep(created *task) {
	const spare = 1024
	if len(w.tasks) > w.tasksLimit {
		w.tasks = slices.DeleteFunc(w.tasks, func(one *task) bool { return one.ended })
		w.tasksLimit = 2*len(w.tasks) + spare
	}
	w.tasks = append(w.tasks, created)
}

// end is deferred in each task.
func (t *task) end() {
	t.ended = true
	if cause := recover(); cause != nil {
		if _, stopped := cause.(taskStopped); !stopped {
			panic(fmt.Sprintf("%v in a task\n%s", cause, debug.Stack()))
		}
	}
}

func (w *World) resume(resumed *task) {
	before := w.current
	w.current = resumed
	resumed.next()
	w.current = before
}

// await parks the current task until wake is called; more than one wake of
// the same wait counts once.
func (w *World) await(register func(wake func())) {
	parked := w.current
	woken := false
	register(func() {
		if woken {
			return
		}
		woken = true
		parked.process.After(0, func() { w.resume(parked) })
	})
	if !parked.yield(struct{}{}) {
		panic(taskStopped{})
	}
}

// sleep parks the current task for a while.
func (w *World) sleep(wait time.Duration) {
	process := w.current.process
	w.await(func(wake func()) { process.After(wait, wake) })
}

// stopTasks ends what still waits when the run is over.
func (w *World) stopTasks() {
	for _, left := range w.tasks {
		left.stop()
	}
}

// virtualContext is a context whose deadline is of the virtual clock.
type virtualContext struct {
	context.Context
	process *simulation.Process
	err     error
	done    chan struct{}
	onDone  []func()
}

func newContext(process *simulation.Process) *virtualContext {
	return &virtualContext{Context: context.Background(), process: process, done: make(chan struct{})}
}

// Done is there for the interface; tasks use whenDone.
func (c *virtualContext) Done() <-chan struct{} { return c.done }

// Err returns why the context ended.
func (c *virtualContext) Err() error { return c.err }

func (c *virtualContext) cancel(cause error) {
	if c.err != nil {
		return
	}
	c.err = cause
	close(c.done)
	for _, notify := range c.onDone {
		notify()
	}
	c.onDone = nil
}

func (c *virtualContext) whenDone(notify func()) {
	if c.err != nil {
		notify()
		return
	}
	c.onDone = append(c.onDone, notify)
}

func (c *virtualContext) child() *virtualContext {
	created := newContext(c.process)
	c.whenDone(func() { created.cancel(c.err) })
	return created
}

func (c *virtualContext) withTimeout(timeout time.Duration) (*virtualContext, context.CancelFunc) {
	created := c.child()
	timer := c.process.After(timeout, func() { created.cancel(context.DeadlineExceeded) })
	return created, func() {
		timer.Stop()
		created.cancel(context.Canceled)
	}
}
