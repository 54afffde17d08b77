// Package simulation runs many simulated processes in one goroutine on a
// virtual clock. Everything that happens is an event of one queue, and every
// random choice comes from one seeded source, so the same seed gives the same
// run, event for event. It holds the clock, the network and the processes;
// what the processes do is written by its importers, which drive the same
// pure cores as the daemon.
package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Engine is the virtual clock and its queue of events.
type Engine struct {
	now      time.Duration
	sequence uint64
	queue    eventQueue
	random   *rand.Rand
	steps    uint64
}

// Timer is one scheduled event.
type Timer struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// New returns an engine at time 0 whose random choices come from a seed.
func New(seed uint64) *Engine {
	const stream = 0x9e3779b97f4a7c15
	return &Engine{random: rand.New(rand.NewPCG(seed, stream))}
}

// Now returns the virtual time since the start.
func (e *Engine) Now() time.Duration { return e.now }

// Random returns the run's only source of random numbers.
func (e *Engine) Random() *rand.Rand { return e.random }

// Steps returns the number of events that have happened.
func (e *Engine) Steps() uint64 { return e.steps }

// After schedules an action; actions of the same instant happen in the order
// in which they were scheduled. A negative delay counts as none.
func (e *Engine) After(delay time.Duration, action func()) *Timer {
	timer := &Timer{at: e.now + max(delay, 0), sequence: e.sequence, action: action}
	e.sequence++
	heap.Push(&e.queue, timer)
	return timer
}

// Stop keeps the action from happening, if it has not happened yet.
func (t *Timer) Stop() { t.action = nil }

// RunUntil lets events happen until the queue is empty or the next one is
// later than a time, which is then the time.
func (e *Engine) RunUntil(until time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		e.step()
	}
	e.now = max(e.now, until)
}

// step lets the next event happen.
func (e *Engine) step() {
	timer := heap.Pop(&e.queue).(*Timer)
	e.now = timer.at
	if timer.action == nil {
		return
	}
	action := timer.action
	timer.action = nil
	e.steps++
	action()
}

// eventQueue is a heap ordered by time, then by sequence.
type eventQueue []*Timer

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is called by container/heap.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(*Timer)) }

// Pop is called by container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
