package experiment

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Mode is what an experiment runs against.
type Mode string

// The modes.
const (
	// ModeVirtual is simulated back ends in virtual time.
	ModeVirtual Mode = "virtual"
	// ModeLoopback is real daemons and stand-ins of the back ends in this
	// process, over real connections, in real time.
	ModeLoopback Mode = "loopback"
)

// String describes the mode in a report.
func (m Mode) String() string {
	if m == ModeLoopback {
		return "Real daemons over loopback, in real time"
	}
	return "Virtual time on simulated back ends"
}

// checkMode refuses what a mode cannot run.
func (f *File) checkMode() error {
	if f.Mode == ModeVirtual {
		return nil
	}
	if f.Mode != ModeLoopback {
		return eris.Errorf("mode: there is no %q", string(f.Mode))
	}
	if len(f.strategies(deploymentByName(f.Deployment))) == 0 {
		return eris.New("strategies: the baselines run in virtual time only")
	}
	for i := range f.Scenarios {
		if slices.ContainsFunc(f.Scenarios[i].Faults, func(fault Fault) bool { return fault.Kind == FaultZoneLoss }) {
			return eris.Errorf("scenario %q: a lost zone cannot be had over loopback", f.Scenarios[i].Name)
		}
	}
	return nil
}

// notRun returns the strategies that the mode cannot run: the baselines know
// nothing of load and health, which no policy takes from the real daemon.
func (f *File) notRun() []string {
	if f.Mode != ModeLoopback {
		return nil
	}
	var left []string
	for _, name := range f.Strategies {
		if isBaseline(name) && !f.hasPolicy(name) {
			left = append(left, name)
		}
	}
	return left
}
