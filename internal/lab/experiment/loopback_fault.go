package experiment

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/lab/load"
	standin "github.com/doorpond/doorpond/internal/standin/backend"
)

// target is a place for a replica that faults hit. The process that takes the
// place of a killed one has an address of its own.
type target struct {
	server *standin.Server
	faults standin.Faults
}

// moment is something to do during a run, at a time from its start.
type moment struct {
	at time.Duration
	do func() error
}

// timeline returns the faults and the samples of back-end arrivals in order.
func (r *loopbackRun) timeline() []moment {
	var all []moment
	for _, fault := range r.scenario.Faults {
		affected := r.affected(&fault)
		all = append(all,
			moment{time.Duration(fault.At), func() error { return r.begin(&fault, affected) }},
			moment{time.Duration(fault.At + r.file.ListLag), func() error { return r.unlist(&fault, affected) }},
			moment{fault.end(), func() error { return r.end(&fault, affected) }},
		)
	}
	for second := range int(time.Duration(r.file.Duration) / time.Second) {
		all = append(all, moment{time.Duration(second+1) * time.Second, func() error { return r.sample(second) }})
	}
	slices.SortStableFunc(all, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	return all
}

// follow does everything at its time.
func (r *loopbackRun) follow(ctx context.Context, moments []moment) error {
	for _, next := range moments {
		if !load.WaitUntil(ctx, r.started.Add(next.at)) {
			return ctx.Err()
		}
		if err := next.do(); err != nil {
			return err
		}
	}
	return nil
}

func (r *loopbackRun) watch(server *standin.Server) {
	r.targets = append(r.targets, &target{server: server})
	r.everStarted = append(r.everStarted, server.Replica)
}

func (r *loopbackRun) affected(fault *Fault) []*target {
	var chosen []*target
	for i, candidate := range r.targets {
		if fault.takes(i) {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// stops is true for the faults that end processes.
func (f *Fault) stops() bool { return f.Kind == FaultKill || f.Kind == FaultMassRestart }

func (r *loopbackRun) begin(fault *Fault, affected []*target) error {
	for _, hit := range affected {
		if fault.stops() {
			if err := r.platform.KillReplica(hit.server.Address); err != nil {
				return eris.Wrap(err, "kill a replica")
			}
			continue
		}
		hit.set(fault.Kind, fault.Factor, true)
	}
	return nil
}

func (t *target) set(kind FaultKind, factor float64, on bool) {
	switch kind {
	case FaultSlow:
		t.faults.ServiceFactor = 0
		if on {
			t.faults.ServiceFactor = factor
		}
	case FaultShed:
		t.faults.Shed = on
	case FaultOutage:
		t.faults.Outage = on
	}
	t.server.Replica.SetFaults(t.faults)
}

// unlist takes killed replicas off the machine list, unless others run by now.
func (r *loopbackRun) unlist(fault *Fault, affected []*target) error {
	if !fault.stops() || r.file.ListLag >= fault.For {
		return nil
	}
	for _, hit := range affected {
		r.platform.Machines.Remove(hit.server.Address)
	}
	return nil
}

func (r *loopbackRun) end(fault *Fault, affected []*target) error {
	for _, hit := range affected {
		if !fault.stops() {
			hit.set(fault.Kind, fault.Factor, false)
			continue
		}
		if err := r.startAgain(hit); err != nil {
			return err
		}
	}
	return nil
}

// startAgain starts a cold process in the place of a killed one, and lists it
// instead at once.
func (r *loopbackRun) startAgain(hit *target) error {
	r.platform.Machines.Remove(hit.server.Address)
	server, err := r.platform.AddReplica(hit.server.Replica.Options().Group)
	if err != nil {
		return eris.Wrap(err, "start a replica again")
	}
	cold := server.Replica.Options().Timing
	cold.ColdRequests, cold.ColdFactor = int64(r.deployment.ColdRequests), r.deployment.ColdFactor
	server.Replica.SetTiming(cold)
	hit.server = server
	hit.server.Replica.SetFaults(hit.faults)
	r.everStarted = append(r.everStarted, server.Replica)
	return nil
}

// sample counts the searches that reached back ends in a second.
func (r *loopbackRun) sample(second int) error {
	total := int64(0)
	for _, replica := range r.everStarted {
		total += replica.Counters().Searches
	}
	r.recorder.arrivals[second] = int(total - r.arrived)
	r.arrived = total
	return nil
}
