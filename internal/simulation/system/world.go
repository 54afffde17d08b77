// Package system simulates whole doorpond systems on a virtual clock in one
// goroutine: daemons, the store, the machine list, back ends, callers and
// operators, under schedules of faults that a seed generates. The daemons run
// the product's own code wherever it needs no goroutine of its own: the query
// service and the replica pool, the membership core, the document register,
// the machine of at-most-once calls and the table's editor. Checks compare
// what callers and operators were told with what back ends and the store
// really did.
package system

import (
	"bytes"
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/simulation"
	"github.com/doorpond/doorpond/internal/topology"
)

// World is one simulated system.
type World struct {
	options  Options
	layout   layout
	places   []topology.Place
	engine   *simulation.Engine
	network  *simulation.Network
	store    *storeServer
	list     *machineList
	backends []*backend
	// backendAt finds a back end by address, slotAt a daemon's machine.
	backendAt map[string]*backend
	slots     []*slot
	slotAt    map[string]*slot
	indexer   *indexer
	callers   []*caller
	operators []*operator
	checks    *checks
	plan      timing
	// decoded has the decoded form of each document by the start of its body.
	decoded map[*byte]any

	tasks []*task
	// tasksLimit is the number of tasks at which ended ones are dropped.
	tasksLimit int
	current    *task
	ids        int
	trace      *bytes.Buffer
	// regressions counts how often a daemon found the store regressed.
	regressions int
	// foundAt and acknowledgedAt are the last times of that and of an
	// operator's acknowledgment.
	foundAt, acknowledgedAt time.Duration
	// quiet is true once the callers and operators send nothing new.
	quiet bool
}

// epoch is the wall clock's time at virtual time 0.
var epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// wallClock is the true time.
func (w *World) wallClock() time.Time { return epoch.Add(w.engine.Now()) }

func newWorld(options Options) (*World, error) {
	shape, err := newLayout(options.Topology)
	if err != nil {
		return nil, err
	}
	w := &World{
		options: options, layout: shape, places: shape.places(), plan: newTiming(options),
		engine: simulation.New(options.Seed), decoded: make(map[*byte]any),
		backendAt: make(map[string]*backend), slotAt: make(map[string]*slot),
	}
	if options.Trace {
		w.trace = &bytes.Buffer{}
	}
	w.network = simulation.NewNetwork(w.engine)
	w.checks = newChecks(w)
	w.store = newStoreServer(w)
	w.indexer = newIndexer(w)
	w.checks.queries.published[1] = w.indexer.kept[0]
	w.buildBackends()
	w.list = newMachineList(w)
	w.seedStore()
	w.buildDaemons()
	w.buildActors()
	return w, nil
}

func (w *World) buildBackends() {
	if w.options.TableOnly {
		return
	}
	for kind, one := range w.layout.services {
		for at := range one.groups * one.replicas {
			created := &backend{
				world: w, service: one, group: groupName(one.name, at%one.groups),
				address: fmt.Sprintf("10.2.%d.%d:9000", kind, at+1), place: w.places[at/one.groups%len(w.places)],
			}
			created.start()
			w.backends = append(w.backends, created)
			w.backendAt[created.address] = created
		}
	}
}

func (w *World) buildDaemons() {
	for number := range w.options.Nodes {
		created := &slot{
			number: number, place: w.places[number%len(w.places)],
			address: fmt.Sprintf("10.1.%d.%d:7000", number/250, number%250+1),
		}
		w.slots = append(w.slots, created)
		w.slotAt[created.address] = created
	}
	for _, each := range w.slots {
		w.startDaemon(each)
	}
}

// daemonAt returns the process at a peer address, nil if there never was one.
func (w *World) daemonAt(address string) *daemon {
	found := w.slotAt[address]
	if found == nil {
		return nil
	}
	return found.daemon
}

// request carries a request and its answer between two processes; exactly one
// of the answer's action and failed happens at the sender, at the latest
// after the timeout.
func (w *World) request(from, to *simulation.Process, timeout time.Duration, failed func(), serve func(answer func(func()))) {
	ended := false
	timer := from.After(timeout, func() {
		ended = true
		failed()
	})
	end := func(action func()) {
		if ended {
			return
		}
		ended = true
		timer.Stop()
		action()
	}
	if !to.Alive() && w.network.Reachable(from, to) {
		from.After(2*w.network.Delay(from.Place, to.Place), func() { end(failed) })
		return
	}
	w.network.Send(from, to, func() {
		serve(func(action func()) {
			w.network.Send(to, from, func() { end(action) })
		})
	})
}

// jitter is a random wait of up to a limit.
func (w *World) jitter(limit time.Duration) time.Duration {
	return time.Duration(w.engine.Random().Int64N(int64(limit)) + 1)
}

// newID returns an ID that is unique in the run.
func (w *World) newID() string {
	w.ids++
	return fmt.Sprintf("id-%06d", w.ids)
}

func (w *World) tracef(format string, arguments ...any) {
	if w.trace == nil {
		return
	}
	fmt.Fprintf(w.trace, "%12.6f ", w.engine.Now().Seconds())
	fmt.Fprintf(w.trace, format, arguments...)
	w.trace.WriteByte('\n')
}
