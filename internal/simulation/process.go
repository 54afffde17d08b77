package simulation

import (
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// Process is one simulated process at a place. It can be killed, and frozen
// and resumed; what was due while it was frozen happens when it resumes.
type Process struct {
	Name   string
	Place  topology.Place
	engine *Engine
	alive  bool
	frozen bool
	held   []func()
}

// NewProcess starts a process.
func (e *Engine) NewProcess(name string, place topology.Place) *Process {
	return &Process{Name: name, Place: place, engine: e, alive: true}
}

// Alive tells whether the process has not been killed.
func (p *Process) Alive() bool { return p.alive }

// Frozen tells whether the process is paused.
func (p *Process) Frozen() bool { return p.frozen }

// Kill ends the process: nothing of it happens any more.
func (p *Process) Kill() {
	p.alive = false
	p.held = nil
}

// Freeze pauses the process. It does not know that it is paused.
func (p *Process) Freeze() { p.frozen = true }

// Resume lets a frozen process go on, with what was due meanwhile first.
func (p *Process) Resume() {
	p.frozen = false
	held := p.held
	p.held = nil
	for _, action := range held {
		p.engine.After(0, p.guarded(action))
	}
}

// After schedules an action of this process.
func (p *Process) After(delay time.Duration, action func()) *Timer {
	return p.engine.After(delay, p.guarded(action))
}

// guarded drops the action if the process is dead by then, and holds it back
// while the process is frozen.
func (p *Process) guarded(action func()) func() {
	return func() {
		switch {
		case !p.alive:
		case p.frozen:
			p.held = append(p.held, action)
		default:
			action()
		}
	}
}
