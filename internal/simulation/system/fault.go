package system

import (
	"fmt"
	"time"
)

// FaultKind names a fault.
type FaultKind int

// The faults.
const (
	KillDaemon FaultKind = iota
	FreezeDaemon
	StopDaemon
	KillBackend
	LeaveBackend
	RestartBackend
	FreezeBackend
	LyingBackend
	SlowBackend
	CutDaemons
	CutRegion
	LoseMessages
	DelayMessages
	RefusingStore
	SilentStore
	SlowStore
	LostStoreAnswers
	StaleStoreReads
	BrokenWatches
	RestoredStore
	StepClocks
	MassRestart
	LostZone
	LaggingList
	faultKinds
)

var faultNames = [faultKinds]string{
	"kill daemon", "freeze daemon", "stop daemon", "kill back end", "back end leaves", "restart back end",
	"freeze back end", "lying back end", "slow back end", "cut daemons", "cut region", "lose messages",
	"delay messages", "store refuses", "store silent", "store slow", "store answers lost", "store reads stale",
	"watches broken", "store restored", "clocks step", "mass restart", "zone lost", "machine list lags",
}

// String returns the fault's name.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is one fault of a schedule.
type Fault struct {
	Kind FaultKind
	// At and For are when it begins and how long it lasts.
	At, For time.Duration
	// Target and Other choose among what the fault can hit.
	Target, Other int
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s %d/%d for %v", f.At, f.Kind, f.Target, f.Other, f.For)
}

const (
	// restartAfter is how soon a killed process is replaced.
	restartAfter = time.Second
	// lossRate is the share of messages lost while they are.
	lossRate       = 0.05
	extraDelay     = 40 * time.Millisecond
	slowStore      = 3 * time.Second
	answerLossRate = 0.5
	staleReads     = 2 * time.Second
	listLag        = 12 * time.Second
	clockStep      = 20 * time.Second
	slowFactor     = 20
	// restoreOutage is how long the store is down while it is restored.
	restoreOutage = 3 * time.Second
)

// inject begins a fault now.
func (w *World) inject(fault Fault) {
	w.tracef("fault %s", fault)
	w.checks.faultBegins(fault)
	switch fault.Kind {
	case KillDaemon:
		w.killDaemon(w.slots[fault.Target%len(w.slots)])
	case FreezeDaemon:
		w.freezeDaemon(w.slots[fault.Target%len(w.slots)].daemon, fault.For)
	case StopDaemon:
		w.slots[fault.Target%len(w.slots)].daemon.stop()
	case CutDaemons, CutRegion:
		w.cut(fault)
	case LoseMessages:
		w.network.Loss = lossRate
		w.engine.After(fault.For, func() { w.network.Loss = 0 })
	case DelayMessages:
		w.network.ExtraDelay = extraDelay
		w.engine.After(fault.For, func() { w.network.ExtraDelay = 0 })
	case StepClocks:
		w.stepClocks(fault)
	case MassRestart:
		for at, each := range w.slots {
			if at%2 == fault.Target%2 {
				w.killDaemon(each)
			}
		}
	case LostZone:
		w.loseZone(fault)
	case LaggingList:
		w.list.lag = listLag
		w.engine.After(fault.For, func() { w.list.lag = usualLag })
	default:
		w.injectPlatform(fault)
	}
}

func (w *World) injectPlatform(fault Fault) {
	if fault.Kind >= KillBackend && fault.Kind <= SlowBackend {
		if len(w.backends) > 0 {
			w.backends[fault.Target%len(w.backends)].suffer(fault)
		}
		return
	}
	server := w.store
	after := func(heal func()) { w.engine.After(fault.For, heal) }
	switch fault.Kind {
	case RefusingStore:
		server.refuse = true
		after(func() { server.refuse = false })
	case SilentStore:
		server.silent = true
		server.breakWatches(true)
		after(func() { server.silent = false })
	case SlowStore:
		server.slow = slowStore
		after(func() { server.slow = 0 })
	case LostStoreAnswers:
		server.loseAnswer, server.loseRequest = answerLossRate, answerLossRate/2
		after(func() { server.loseAnswer, server.loseRequest = 0, 0 })
	case StaleStoreReads:
		server.stale = staleReads
		after(func() { server.stale = 0 })
	case BrokenWatches:
		server.breakWatches(fault.Other%2 == 0)
	case RestoredStore:
		// The service is stopped, its data replaced, and started again.
		server.refuse = true
		server.breakWatches(true)
		w.engine.After(restoreOutage, func() {
			server.refuse = false
			server.restore(restoreOutage + fault.For)
		})
	}
}

func (w *World) killDaemon(at *slot) {
	if !at.daemon.process.Alive() {
		return
	}
	w.tracef("kill %s", at.daemon.id)
	at.daemon.process.Kill()
	w.checks.daemonEnds(at.daemon)
	w.engine.After(restartAfter, func() {
		if !at.daemon.process.Alive() {
			w.startDaemon(at)
		}
	})
}

func (w *World) freezeDaemon(target *daemon, length time.Duration) {
	target.process.Freeze()
	w.checks.freezes++
	w.engine.After(length, target.process.Resume)
}

func (w *World) cut(fault Fault) {
	from, to := "", ""
	if fault.Kind == CutRegion {
		from = w.layout.regions[fault.Target%len(w.layout.regions)]
		to = w.layout.regions[fault.Other%len(w.layout.regions)]
	} else {
		from = w.slots[fault.Target%len(w.slots)].daemon.process.Name
		to = w.slots[fault.Other%len(w.slots)].daemon.process.Name
	}
	if from == to {
		return
	}
	w.network.Cut(from, to)
	w.engine.After(fault.For, func() { w.network.Heal(from, to) })
}

// stepClocks sets back ends' clocks wrong at once and daemons' at their next
// start.
func (w *World) stepClocks(fault Fault) {
	step := clockStep
	if fault.Other%2 == 0 {
		step = -step
	}
	for at, one := range w.backends {
		if at%3 == fault.Target%3 {
			one.clockOffset = step
			w.engine.After(fault.For, func() { one.clockOffset = 0 })
		}
	}
	w.slots[fault.Target%len(w.slots)].skew = step / 4
}

func (w *World) loseZone(fault Fault) {
	lost := w.places[fault.Target%len(w.places)]
	for _, each := range w.slots {
		if each.place == lost {
			w.killDaemon(each)
		}
	}
	for _, one := range w.backends {
		if one.place == lost {
			one.kill(fault.For)
		}
	}
}

// suffer begins a fault of one back end.
func (b *backend) suffer(fault Fault) {
	switch fault.Kind {
	case KillBackend:
		b.kill(fault.For)
	case LeaveBackend:
		if b.process.Alive() && !b.leaving {
			b.leave()
			// A drain outlasts the seconds in which the news must spread.
			const drain = 6 * time.Second
			b.process.After(drain, func() { b.kill(fault.For) })
		}
	case RestartBackend:
		b.kill(0)
	case FreezeBackend:
		frozen := b.process
		frozen.Freeze()
		b.world.engine.After(fault.For, frozen.Resume)
	case LyingBackend:
		for _, other := range b.world.backends {
			other.lying = other.lying || other.group == b.group
		}
		b.world.engine.After(fault.For, b.world.endLies)
	case SlowBackend:
		b.slowFactor = slowFactor
		b.world.engine.After(fault.For, func() { b.slowFactor = 0 })
	}
}

func (w *World) endLies() {
	for _, one := range w.backends {
		one.lying = false
	}
}

// kill ends the process; another starts at the address a while later.
func (b *backend) kill(after time.Duration) {
	if !b.process.Alive() {
		return
	}
	b.process.Kill()
	b.resetConnections()
	b.world.engine.After(after+restartAfter, b.start)
}

// The steps of a planned stop, as in package daemon.
const (
	stopGrace  = 500 * time.Millisecond
	stopDrain  = 10 * time.Second
	stopLinger = 300 * time.Millisecond
)
