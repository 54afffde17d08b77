package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/doorpond/doorpond/internal/lab/load"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/simulation"
)

// measurement is one strategy under one scenario at one rate, and what was
// counted of it, in either mode.
type measurement struct {
	file       *File
	deployment *Deployment
	strategy   *strategy
	scenario   *Scenario
	rows       []*policy.Row // by class
	recorder   *recorder
	rate       float64 // queries a second
	// load is the generator's report, over loopback only.
	load *load.Report
}

func newMeasurement(file *File, deployment *Deployment, chosen *strategy, scenario *Scenario, rate float64) *measurement {
	made := &measurement{
		file: file, deployment: deployment, strategy: chosen, scenario: scenario,
		recorder: newRecorder(file), rate: rate * deployment.Capacity(),
	}
	for _, class := range file.Classes {
		row := chosen.row
		row.Name = class.Name
		row.Priority = class.Priority
		made.rows = append(made.rows, &row)
	}
	return made
}

// execute runs it in the file's mode, to the end of the last query.
func (m *measurement) execute(ctx context.Context) error {
	if m.file.Mode == ModeLoopback {
		return runLoopback(ctx, m)
	}
	newRun(m).execute()
	return nil
}

// run is a measurement in virtual time.
type run struct {
	*measurement
	engine   *simulation.Engine
	network  *simulation.Network
	backends []*backend
	daemons  []*daemon
	listLag  time.Duration
	// arrivals has random numbers of its own, so that every strategy meets
	// the same arrivals.
	arrivals *rand.Rand
}

func newRun(measured *measurement) *run {
	const arrivalStream = 0x5851f42d4c957f2d
	made := &run{
		measurement: measured,
		engine:      simulation.New(measured.file.Seed),
		listLag:     time.Duration(measured.file.ListLag),
		arrivals:    rand.New(rand.NewPCG(measured.file.Seed, arrivalStream)),
	}
	made.network = simulation.NewNetwork(made.engine)
	made.build()
	made.schedule(measured.scenario.Faults)
	return made
}

func (r *run) build() {
	for group := range r.deployment.Groups {
		for number := range r.deployment.ReplicasPerGroup {
			r.backends = append(r.backends, newBackend(r, group, number))
		}
	}
	for range r.deployment.DaemonsPerZone {
		for _, place := range r.deployment.Places {
			r.daemons = append(r.daemons, newDaemon(r, place))
		}
	}
}

// epoch is the wall time at the start of each run.
var epoch = time.Unix(1_000_000_000, 0)

// now is the wall time of the virtual clock.
func (r *run) now() time.Time { return epoch.Add(r.engine.Now()) }

// execute runs to the end of the last query.
func (r *run) execute() {
	r.scheduleArrival()
	r.engine.RunUntil(time.Duration(r.file.Duration))
	r.engine.RunUntil(time.Duration(r.file.Duration) + time.Duration(r.strategy.row.Wait.Timeout) + time.Second)
}

// scheduleArrival draws the next gap of the Poisson process; a daemon that is
// down has no callers.
func (r *run) scheduleArrival() {
	gap := time.Duration(r.arrivals.ExpFloat64() / r.rate * float64(time.Second))
	if r.engine.Now()+gap > time.Duration(r.file.Duration) {
		return
	}
	target := r.daemons[r.arrivals.IntN(len(r.daemons))]
	class := r.file.drawClass(r.arrivals)
	r.engine.After(gap, func() {
		if target.up {
			target.arrive(class)
		}
		r.scheduleArrival()
	})
}

// drawClass picks a class by the shares.
func (f *File) drawClass(random *rand.Rand) int {
	draw := random.Float64()
	for i, class := range f.Classes {
		draw -= class.Share
		if draw < 0 {
			return i
		}
	}
	return len(f.Classes) - 1
}
