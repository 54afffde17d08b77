package experiment

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/policy"
)

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow makes a share of the replicas take Factor times as long.
	FaultSlow FaultKind = "slow"
	// FaultKill ends a share of the processes; their machines reset
	// connections until the processes start again, cold.
	FaultKill FaultKind = "kill"
	// FaultZoneLoss cuts a zone off: its daemons and their callers are gone,
	// and its replicas say nothing until they start again, cold.
	FaultZoneLoss FaultKind = "zone_loss"
	// FaultMassRestart restarts a share of the replicas at once, cold.
	FaultMassRestart FaultKind = "mass_restart"
	// FaultShed makes a share of the replicas refuse every request for load.
	FaultShed FaultKind = "shed"
	// FaultOutage makes a share of the replicas fail every request at once.
	FaultOutage FaultKind = "outage"
)

// Fault is one fault of a scenario.
type Fault struct {
	Kind FaultKind `yaml:"kind"`
	// Share of the replicas, taken evenly from all of them; for
	// FaultZoneLoss it is not used.
	Share  float64         `yaml:"share"`
	Factor float64         `yaml:"factor"`
	At     policy.Duration `yaml:"at"`
	For    policy.Duration `yaml:"for"`
	// Zone is the number of the lost zone.
	Zone int `yaml:"zone"`
}

func (f *Fault) check(duration time.Duration) error {
	switch f.Kind {
	case FaultSlow:
		if f.Factor <= 0 {
			return eris.Errorf("fault slow: factor %g is not above 0", f.Factor)
		}
	case FaultKill, FaultMassRestart, FaultShed, FaultOutage, FaultZoneLoss:
	default:
		return eris.Errorf("fault: there is no %q", f.Kind)
	}
	if f.Kind != FaultZoneLoss && (f.Share <= 0 || f.Share > 1) {
		return eris.Errorf("fault %s: share %g is not over 0 and up to 1", f.Kind, f.Share)
	}
	if f.At < 0 || f.For <= 0 || f.end() > duration {
		return eris.Errorf("fault %s: it does not lie inside the %v of the experiment", f.Kind, duration)
	}
	return nil
}

func (f *Fault) end() time.Duration { return time.Duration(f.At + f.For) }

// takes is true for the share of the replicas that the fault hits, spread
// evenly over their numbers.
func (f *Fault) takes(replica int) bool {
	return int(float64(replica+1)*f.Share) > int(float64(replica)*f.Share)
}

// span returns when the first fault begins and the last ends.
func (s *Scenario) span() (from, to time.Duration) {
	for i, fault := range s.Faults {
		if i == 0 || time.Duration(fault.At) < from {
			from = time.Duration(fault.At)
		}
		to = max(to, fault.end())
	}
	return from, to
}

// schedule puts the faults into a run's queue of events.
func (r *run) schedule(faults []Fault) {
	for _, fault := range faults {
		affected := r.affected(&fault)
		r.engine.After(time.Duration(fault.At), func() { r.begin(&fault, affected) })
		r.engine.After(fault.end(), func() { r.end(&fault, affected) })
	}
}

// affected takes a share of the replicas evenly, so that no group has all of
// its replicas hit before every group has one.
func (r *run) affected(fault *Fault) []*backend {
	var chosen []*backend
	for i, candidate := range r.backends {
		switch {
		case fault.Kind == FaultZoneLoss:
			if candidate.replica.Place == r.deployment.Places[fault.Zone%len(r.deployment.Places)] {
				chosen = append(chosen, candidate)
			}
		case fault.takes(i):
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

func (r *run) begin(fault *Fault, affected []*backend) {
	for _, target := range affected {
		switch fault.Kind {
		case FaultSlow:
			target.factor = fault.Factor
		case FaultShed:
			target.shedding = true
		case FaultOutage:
			target.failing = true
		case FaultKill, FaultMassRestart:
			target.stop(stateStopped)
		case FaultZoneLoss:
			target.stop(stateLost)
		}
	}
	if fault.Kind == FaultZoneLoss {
		r.setZone(fault.Zone, false)
	}
	r.noteStopped(affected)
}

func (r *run) end(fault *Fault, affected []*backend) {
	for _, target := range affected {
		switch fault.Kind {
		case FaultSlow:
			target.factor = 1
		case FaultShed:
			target.shedding = false
		case FaultOutage:
			target.failing = false
		case FaultKill, FaultMassRestart, FaultZoneLoss:
			target.start()
		}
	}
	if fault.Kind == FaultZoneLoss {
		r.setZone(fault.Zone, true)
	}
	r.noteStarted(affected)
}

func (r *run) setZone(zone int, up bool) {
	lost := r.deployment.Places[zone%len(r.deployment.Places)]
	for _, daemon := range r.daemons {
		if daemon.place == lost {
			daemon.up = up
		}
	}
}

// noteStopped takes stopped processes off the machine list, after its lag.
func (r *run) noteStopped(affected []*backend) {
	r.engine.After(r.listLag, func() {
		for _, target := range affected {
			if target.state != stateServing {
				r.eachDaemon(func(d *daemon) { d.unlist(target) })
			}
		}
	})
}

// noteStarted puts new processes on the machine list, after its lag.
func (r *run) noteStarted(affected []*backend) {
	r.engine.After(r.listLag, func() {
		for _, target := range affected {
			if target.state == stateServing {
				r.eachDaemon(func(d *daemon) { d.list(target) })
			}
		}
	})
}

func (r *run) eachDaemon(change func(*daemon)) {
	for _, daemon := range r.daemons {
		change(daemon)
	}
}
