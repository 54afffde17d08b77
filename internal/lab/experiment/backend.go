package experiment

import (
	"strconv"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/simulation"
	"github.com/doorpond/doorpond/internal/topology"
)

// backendState says whether a back end's process runs.
type backendState uint8

const (
	stateServing backendState = iota
	// stateStopped: the machine resets connections.
	stateStopped
	// stateLost: nothing answers.
	stateLost
)

// backend is a simulated replica: slots, a bounded queue in order of arrival,
// and lognormal service times.
type backend struct {
	run     *run
	group   int
	replica topology.Replica
	starts  int

	state    backendState
	factor   float64
	shedding bool
	failing  bool

	running []*attempt
	queue   []*attempt
	served  int
}

func newBackend(r *run, group, number int) *backend {
	made := &backend{run: r, group: group, factor: 1, served: r.deployment.ColdRequests}
	made.replica = topology.Replica{
		Address: strconv.Itoa(group) + "/" + strconv.Itoa(number),
		Group:   strconv.Itoa(group),
		Place:   r.deployment.placeOf(group, number),
		Slots:   r.deployment.Slots,
	}
	return made
}

// arrive takes a request that has crossed the network.
func (b *backend) arrive(request *attempt) {
	if request.closed || b.state == stateLost {
		return
	}
	b.run.recorder.arrived(b.run.engine.Now())
	switch {
	case b.state == stateStopped, b.failing:
		b.answer(request, decision.Failed)
	case b.shedding, b.full():
		b.answer(request, decision.Shed)
	case len(b.running) < b.replica.Slots:
		b.serve(request)
	default:
		b.queue = append(b.queue, request)
	}
}

func (b *backend) full() bool {
	return len(b.running) >= b.replica.Slots && len(b.queue) >= b.run.deployment.QueueLimit
}

func (b *backend) serve(request *attempt) {
	duration := float64(b.run.deployment.serviceTime(b.run.engine.Random().NormFloat64())) * b.factor
	if b.served < b.run.deployment.ColdRequests {
		duration *= b.run.deployment.ColdFactor
	}
	b.served++
	b.running = append(b.running, request)
	request.service = b.run.engine.After(time.Duration(duration), func() {
		b.running = without(b.running, request)
		b.answer(request, decision.Success)
		b.next()
	})
}

// next gives a free slot to the oldest request that can still be answered.
func (b *backend) next() {
	for len(b.queue) > 0 && len(b.running) < b.replica.Slots {
		request := b.queue[0]
		b.queue = b.queue[1:]
		if b.run.engine.Now() >= request.deadline {
			b.answer(request, decision.DeadlineExceeded)
			continue
		}
		b.serve(request)
	}
}

// abandon ends a request that its daemon has cancelled.
func (b *backend) abandon(request *attempt) {
	if request.service != nil {
		request.service.Stop()
	}
	b.running = without(b.running, request)
	b.queue = without(b.queue, request)
	b.next()
}

// answer sends the reply back.
func (b *backend) answer(request *attempt, outcome decision.Outcome) {
	load := backendapi.Load{Slots: b.replica.Slots, InFlight: len(b.running), Queued: len(b.queue)}
	delay := b.run.network.Delay(b.replica.Place, request.daemon.place)
	b.run.engine.After(delay, func() { request.daemon.replied(request, outcome, load) })
}

// stop ends the process with everything that it holds.
func (b *backend) stop(state backendState) {
	held := append(b.running, b.queue...)
	b.running, b.queue = nil, nil
	b.state = state
	for _, request := range held {
		if request.service != nil {
			request.service.Stop()
		}
		if state == stateStopped {
			b.answer(request, decision.Failed)
		}
	}
}

// start begins a new, cold process.
func (b *backend) start() {
	b.state = stateServing
	b.served = 0
	b.starts++
	b.replica.Incarnation = strconv.Itoa(b.starts)
}

// without removes one request and keeps the order.
func without(requests []*attempt, gone *attempt) []*attempt {
	for i, request := range requests {
		if request == gone {
			return append(requests[:i:i], requests[i+1:]...)
		}
	}
	return requests
}

// attempt is one sub-request. Its daemon has closed it once an answer was
// taken or it was given up.
type attempt struct {
	daemon   *daemon
	query    *query
	link     *link
	shard    int
	number   int
	sent     time.Duration
	deadline time.Duration
	closed   bool
	service  *simulation.Timer
	timeout  *simulation.Timer
}
