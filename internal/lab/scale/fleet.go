package scale

import (
	"time"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/simulation"
	"github.com/doorpond/doorpond/internal/topology"
)

// The constants of the virtual transport.
const (
	// silenceTimeout is when an exchange with a machine that is gone fails.
	silenceTimeout = time.Second
	// seedCount is how many addresses each daemon starts from.
	seedCount = 3
	// electionInterval is how often a daemon asks whether it follows the store.
	electionInterval = time.Second
	// readInterval is how often a follower reads the documents besides the
	// watch, as document.StoreWatcher does.
	readInterval = 15 * time.Second
	// requestsToFollow the store are made when a daemon begins: list and watch.
	requestsToFollow = 2
	followersPerZone = 2
)

// fleet is the hollow daemons on a virtual clock and network.
type fleet struct {
	engine  *simulation.Engine
	network *simulation.Network
	daemons []*daemon
	byPeer  map[string]*daemon
	traffic traffic
	store   storeRequests
	// tableRevision is the highest that the store has.
	tableRevision uint64
	members       []topology.Member // memory for one election at a time
}

// storeRequests counts what the store is asked.
type storeRequests struct {
	total     uint64
	followers int
}

// daemon is one hollow daemon.
type daemon struct {
	fleet    *fleet
	process  *simulation.Process
	address  string
	starts   int
	core     *membership.Core
	election *document.Election
	wake     *simulation.Timer
	wakeAt   time.Duration
	table    uint64
	fetching uint64
	follows  bool
	// changed is true when the members changed since the last election.
	changed bool
	elected bool
	readAt  time.Duration
}

func newFleet(daemons int, seed uint64) *fleet {
	engine := simulation.New(seed)
	f := &fleet{
		engine: engine, network: simulation.NewNetwork(engine), byPeer: make(map[string]*daemon, daemons),
		traffic: newTraffic(), tableRevision: 1,
	}
	for i := range daemons {
		added := &daemon{fleet: f, address: peerAddress(i)}
		f.daemons = append(f.daemons, added)
		f.byPeer[added.address] = added
	}
	return f
}

// start runs a new process of a daemon.
func (f *fleet) start(index int) {
	d := f.daemons[index]
	d.starts++
	id := memberID(index, d.starts)
	if d.process != nil {
		d.process.Kill()
	}
	d.process = f.engine.NewProcess(id, place(index))
	d.core = membership.NewCore(membership.CoreOptions{
		Self: topology.Member{ID: id, PeerAddress: d.address, Place: place(index)},
		Seed: f.engine.Random().Uint64(),
	})
	d.wake, d.table, d.fetching, d.elected = nil, 0, 0, false
	d.stopFollowing()
	d.election = document.NewElection(document.ElectionOptions{PerZone: followersPerZone})
	d.step(membership.SeedsKnown{Addresses: f.seeds(index)})
	d.pollElection()
}

// seeds returns a few daemons' addresses, another few for each.
func (f *fleet) seeds(index int) []string {
	var addresses []string
	for range seedCount {
		other := f.engine.Random().IntN(len(f.daemons))
		if other != index {
			addresses = append(addresses, f.daemons[other].address)
		}
	}
	return addresses
}

// kill ends the process of a daemon without a word.
func (f *fleet) kill(index int) {
	f.daemons[index].process.Kill()
	f.daemons[index].stopFollowing()
}

func (d *daemon) running() bool { return d.process != nil && d.process.Alive() }

// step feeds the core and carries out what it asks, as membership.Node does.
func (d *daemon) step(input membership.Input) membership.Message {
	ready := d.core.Step(d.fleet.engine.Now(), input)
	for _, send := range ready.Sends {
		d.exchange(send)
	}
	for _, learned := range ready.Learned {
		d.learn(learned)
	}
	d.changed = d.changed || ready.Changed()
	d.schedule()
	return ready.Reply
}

func (d *daemon) schedule() {
	at := max(d.core.Wake(), d.fleet.engine.Now())
	if d.wake != nil && d.wakeAt == at {
		return
	}
	if d.wake != nil {
		d.wake.Stop()
	}
	d.wakeAt = at
	d.wake = d.process.After(at-d.fleet.engine.Now(), func() {
		d.wake = nil
		d.step(membership.Tick{})
	})
}

// exchange carries a request over a new connection, and the reply back.
func (d *daemon) exchange(send membership.Send) {
	from, to := d.process, d.fleet.byPeer[send.Address]
	fail := func() { d.step(membership.Failed{Exchange: send.Exchange}) }
	silence := from.After(silenceTimeout, fail)
	d.fleet.traffic.sent(send.Message)
	if to == nil || !to.running() {
		return
	}
	target := to.process
	from.After(simulation.NewConnectionDelay, func() {
		d.fleet.network.Send(from, target, func() {
			reply := to.step(membership.Received{Message: send.Message})
			d.fleet.traffic.replied(reply)
			d.fleet.network.Send(target, from, func() {
				silence.Stop()
				d.step(membership.Replied{Exchange: send.Exchange, Message: reply})
			})
		})
	})
}

// learn fetches a table revision that a peer has, as document.Fetcher does.
func (d *daemon) learn(learned membership.Learned) {
	revision := learned.Record.Version
	if learned.Record.Kind != membership.RecordDocument || revision <= max(d.table, d.fetching) {
		return
	}
	from := d.fleet.byPeer[learned.From]
	if from == nil || !from.running() {
		return
	}
	d.fetching = revision
	asker, target := d.process, from.process
	d.fleet.traffic.fetched()
	d.fleet.network.Send(asker, target, func() {
		held := from.table
		d.fleet.network.Send(target, asker, func() { d.accept(held) })
	})
}

// accept takes a table into force and tells the others.
func (d *daemon) accept(revision uint64) {
	if revision <= d.table {
		return
	}
	d.table = revision
	d.step(membership.Announced{Record: membership.Record{
		Kind: membership.RecordDocument, Key: string(document.Table), Version: revision,
	}})
}

// pollElection asks now and then whether this daemon follows the store.
func (d *daemon) pollElection() {
	if d.changed || !d.election.Settled() {
		d.changed = false
		d.fleet.members = d.core.AppendMembers(d.fleet.members[:0])
		members := topology.Members{Self: d.core.Self(), Members: d.fleet.members}
		d.elected = d.election.Elected(d.fleet.engine.Now(), &members)
	}
	switch {
	case d.elected && !d.follows:
		d.follow()
	case !d.elected:
		d.stopFollowing()
	case d.fleet.engine.Now() >= d.readAt:
		d.readStore(1)
	}
	d.process.After(electionInterval, d.pollElection)
}

func (d *daemon) follow() {
	d.follows = true
	d.fleet.store.followers++
	d.readStore(requestsToFollow)
}

func (d *daemon) stopFollowing() {
	if d.follows {
		d.follows = false
		d.fleet.store.followers--
	}
}

func (d *daemon) readStore(requests uint64) {
	d.fleet.store.total += requests
	d.readAt = d.fleet.engine.Now() + readInterval
	d.accept(d.fleet.tableRevision)
}

// changeTable makes a new revision, which the followers' watches bring.
func (f *fleet) changeTable() uint64 {
	f.tableRevision++
	for _, follower := range f.daemons {
		if follower.running() && follower.follows {
			follower.process.After(simulation.BetweenZonesDelay, func() { follower.accept(f.tableRevision) })
		}
	}
	return f.tableRevision
}
