package experiment

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/topology"
)

// link is a listed process as one daemon knows it.
type link struct {
	backend     *backend
	incarnation string
	health      *replica.Health
}

// daemon is one simulated daemon with its own, local knowledge.
type daemon struct {
	run    *run
	place  topology.Place
	up     bool
	groups [][]*link
	router router
	places replica.PlaceHealthMap
}

func newDaemon(r *run, place topology.Place) *daemon {
	made := &daemon{run: r, place: place, up: true, groups: make([][]*link, r.deployment.Groups)}
	for _, listed := range r.backends {
		made.add(listed, topology.ReplicaServing)
	}
	made.router = r.strategy.newRouter(made)
	return made
}

func (d *daemon) add(listed *backend, state topology.ReplicaState) {
	seen := listed.replica
	seen.State = state
	d.groups[listed.group] = append(d.groups[listed.group], &link{
		backend: listed, incarnation: seen.Incarnation,
		health: replica.NewHealth(seen, d.place, d.run.now()).WithPlace(d.places.Of(seen.Place)),
	})
}

// list takes in that the machine list names a new process.
func (d *daemon) list(listed *backend) {
	for _, known := range d.groups[listed.group] {
		if known.backend == listed && known.incarnation == listed.replica.Incarnation {
			return
		}
	}
	d.unlist(listed)
	d.add(listed, topology.ReplicaCold)
}

// unlist takes in that the machine list no longer names a process.
func (d *daemon) unlist(listed *backend) {
	kept := slices.Clone(d.groups[listed.group])
	d.groups[listed.group] = slices.DeleteFunc(kept, func(known *link) bool { return known.backend == listed })
}

// send dispatches one attempt over the network.
func (d *daemon) send(request *attempt) {
	request.sent = d.run.engine.Now()
	request.link.health.Begin()
	target := request.link.backend
	delay := d.run.network.Delay(d.place, target.replica.Place)
	d.run.engine.After(delay, func() { target.arrive(request) })
	if patience := d.router.attemptTimeout(); patience > 0 {
		request.timeout = d.run.engine.After(patience, func() { d.timedOut(request) })
	}
}

// replied takes a reply that has crossed the network.
func (d *daemon) replied(request *attempt, outcome decision.Outcome, load backendapi.Load) {
	if request.closed {
		return
	}
	if outcome != decision.Failed {
		request.link.health.ObserveLoad(load)
	}
	d.close(request, replica.Observation{Outcome: outcome, RetryAfter: retryAfter(outcome)})
	request.query.step(decision.Event{
		Kind: decision.AttemptCompleted, Shard: request.shard, Attempt: request.number, Outcome: outcome,
	})
}

// shedRetryAfter is the time to come back that a refusal names.
const shedRetryAfter = 100 * time.Millisecond

func retryAfter(outcome decision.Outcome) time.Duration {
	if outcome == decision.Shed {
		return shedRetryAfter
	}
	return 0
}

func (d *daemon) timedOut(request *attempt) {
	if request.closed {
		return
	}
	d.cancel(request)
	request.query.step(decision.Event{
		Kind: decision.AttemptCompleted, Shard: request.shard, Attempt: request.number, Outcome: decision.Failed,
	})
}

// cancel gives up on an attempt; the back end learns of it later.
func (d *daemon) cancel(request *attempt) {
	if request.closed {
		return
	}
	d.close(request, replica.Observation{Outcome: decision.Failed, Canceled: true})
	target := request.link.backend
	delay := d.run.network.Delay(d.place, target.replica.Place)
	d.run.engine.After(delay, func() { target.abandon(request) })
}

func (d *daemon) close(request *attempt, ended replica.Observation) {
	request.closed = true
	if request.timeout != nil {
		request.timeout.Stop()
	}
	ended.Elapsed = d.run.engine.Now() - request.sent
	request.link.health.End()
	d.router.observe(request.link, ended)
}
