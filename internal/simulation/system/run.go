package system

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Options are one run's.
type Options struct {
	Seed     uint64
	Topology string
	// Nodes is the number of daemons; 0 means 18.
	Nodes int
	// TableOnly leaves out back ends and callers; it is meant for many nodes.
	TableOnly bool
	// Schedule replaces the faults that the seed generates, unless nil.
	Schedule []Fault
	// Trace keeps a line for each thing that happens.
	Trace bool
}

// Result is what one run showed.
type Result struct {
	Schedule   []Fault
	Violations []Violation
	Figures    Figures
	Operations []EditOperation
	Trace      []byte
	Steps      uint64
}

// defaultNodes is three daemons in each zone.
const defaultNodes = 18

// timing is when the parts of a run begin, from its start.
type timing struct {
	faultsAt, healAt, quietAt, endAt time.Duration
}

func newTiming(options Options) timing {
	warm := 3 * time.Second
	if options.Nodes > largeNodes {
		// Thousands of daemons need a while to find each other.
		warm = 30 * time.Second
	}
	return timing{
		faultsAt: warm, healAt: warm + 14*time.Second,
		quietAt: warm + 36*time.Second, endAt: warm + 44*time.Second,
	}
}

// Run simulates one system under one schedule.
func Run(options Options) (Result, error) {
	if options.Nodes == 0 {
		options.Nodes = defaultNodes
	}
	if options.Topology == "" {
		options.Topology = Ayensu
	}
	w, err := newWorld(options)
	if err != nil {
		return Result{}, err
	}
	schedule := options.Schedule
	if schedule == nil {
		schedule = Generate(options)
	}
	w.run(schedule)
	return w.result(schedule), nil
}

func (w *World) run(schedule []Fault) {
	for _, fault := range schedule {
		w.engine.After(fault.At, func() { w.inject(fault) })
	}
	w.engine.RunUntil(w.plan.quietAt)
	w.quiet = true
	w.engine.RunUntil(w.plan.endAt)
	w.checks.finish()
	w.stopTasks()
}

func (w *World) result(schedule []Fault) Result {
	result := Result{
		Schedule: schedule, Violations: w.checks.violations, Figures: w.checks.figures, Steps: w.engine.Steps(),
	}
	for _, one := range w.checks.table.operations {
		result.Operations = append(result.Operations, *one)
	}
	if w.trace != nil {
		result.Trace = w.trace.Bytes()
	}
	return result
}

// The bounds of generated schedules.
const (
	mostFaults    = 8
	shortestFault = 200 * time.Millisecond
	longestFault  = 6 * time.Second
	targets       = 1 << 10
)

// Generate makes a seed's schedule of faults, in the order of their times.
func Generate(options Options) []Fault {
	const stream = 0x2545f4914f6cdd1d
	random := rand.New(rand.NewPCG(options.Seed, stream))
	plan := newTiming(options)
	var schedule []Fault
	for range 1 + random.IntN(mostFaults) {
		schedule = append(schedule, randomFault(random, plan, FaultKind(random.IntN(int(faultKinds)))))
	}
	// Departures and planned stops are not failures, so they are more common.
	for _, kind := range []FaultKind{LeaveBackend, StopDaemon} {
		if random.IntN(2) == 0 {
			schedule = append(schedule, randomFault(random, plan, kind))
		}
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

func randomFault(random *rand.Rand, plan timing, kind FaultKind) Fault {
	begin := plan.faultsAt + time.Duration(random.Int64N(int64(plan.healAt-plan.faultsAt-shortestFault)))
	length := shortestFault + time.Duration(random.Int64N(int64(longestFault)))
	return Fault{
		Kind: kind, At: begin.Round(time.Millisecond), For: min(length, plan.healAt-begin).Round(time.Millisecond),
		Target: random.IntN(targets), Other: random.IntN(targets),
	}
}

// Shrink returns the shortest schedule found that still breaks a promise.
func Shrink(options Options, schedule []Fault, broken Promise) ([]Fault, error) {
	for again := true; again; {
		again = false
		for at := range schedule {
			shorter := slices.Delete(slices.Clone(schedule), at, at+1)
			breaks, err := breaksWith(options, shorter, broken)
			if err != nil {
				return nil, err
			}
			if breaks {
				schedule, again = shorter, true
				break
			}
		}
	}
	return schedule, nil
}

func breaksWith(options Options, schedule []Fault, broken Promise) (bool, error) {
	options.Schedule = schedule
	options.Trace = false
	result, err := Run(options)
	return err == nil && result.Breaks(broken), err
}

// Breaks tells whether a promise was seen broken.
func (r *Result) Breaks(promise Promise) bool {
	return slices.ContainsFunc(r.Violations, func(one Violation) bool { return one.Promise == promise })
}
