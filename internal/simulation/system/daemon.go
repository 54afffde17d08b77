package system

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/simulation"
	"github.com/doorpond/doorpond/internal/topology"
)

// listInterval is how often a daemon reads the machine list.
const listInterval = 2 * time.Second

// slot is a machine that runs a daemon; the process on it may be replaced.
type slot struct {
	number  int
	place   topology.Place
	address string
	starts  int
	// skew is the error of the machine's wall clock at the next start.
	skew   time.Duration
	daemon *daemon
}

// daemon is one simulated daemon process.
type daemon struct {
	world   *World
	slot    *slot
	process *simulation.Process
	id      string
	skew    time.Duration
	core    *membership.Core
	// membersChanged is true while the blackboard is behind the core.
	membersChanged bool
	wake           *simulation.Timer
	wakeAt         time.Duration
	board          *blackboard.Board
	register       *document.Register
	tracker        *replica.Tracker
	pool           *replica.Pool
	prober         *replica.Prober
	search         *query.Service
	editor         *policytable.Editor
	calls          *callService
	election       *document.Election
	follower       follower
	fetching       bool
	wanted         map[document.Name]announcement
	reading        machines.List
	readable       bool
	known          map[string]bool

	lastReading time.Duration
	confirming  bool

	// stopping is true from a planned stop on; closed once it takes no more.
	stopping, closed bool
	inFlight         int
}

// startDaemon runs a new process on a machine.
func (w *World) startDaemon(on *slot) {
	on.starts++
	id := fmt.Sprintf("daemon-%04d.%d", on.number, on.starts)
	created := &daemon{
		world: w, slot: on, id: id, skew: on.skew,
		process: w.engine.NewProcess(id, on.place), board: &blackboard.Board{},
		register: document.NewRegister(), wanted: make(map[document.Name]announcement), known: make(map[string]bool),
	}
	on.daemon = created
	created.build()
	w.tracef("start %s", id)
	created.step(membership.SeedsUpdated{Addresses: w.list.daemons()})
	created.readList()
	created.probe()
	created.follow()
	if !w.options.TableOnly {
		created.calls.tend()
		created.process.After(w.jitter(recheckEvery), created.calls.recheck)
	}
	created.lastReading = w.engine.Now()
	created.watchClock()
}

func (d *daemon) build() {
	w := d.world
	d.core = membership.NewCore(membership.CoreOptions{
		Self: topology.Member{ID: d.id, PeerAddress: d.slot.address, Place: d.slot.place},
		Seed: w.engine.Random().Uint64(),
	})
	d.register.AddAcceptor(document.Table, d.world.acceptTable(d.board))
	d.register.AddAcceptor(document.Catalogue, w.acceptCatalogue(d.board))
	d.register.Subscribe(d.accepted)
	d.publishMembers()
	d.calls = &callService{daemon: d, fence: once.NewFence(d.id), started: d.now()}
	d.election = document.NewElection(document.ElectionOptions{PerZone: followersPerZone})
	if w.options.TableOnly {
		d.buildEditor()
		return
	}
	d.tracker = replica.NewTracker(replica.TrackerOptions{Lister: lister{d}, Board: d.board, Interval: listInterval, Now: d.now})
	d.tracker.OnLeaving(func(address, incarnation string) {
		d.process.After(0, func() {
			d.step(membership.Announced{Record: membership.Record{
				Kind: membership.RecordReplicaLeaving, Key: address + "|" + incarnation, Version: 1,
			}})
		})
	})
	d.pool = replica.NewPool(replica.PoolOptions{
		Board: d.board, Self: d.slot.place, Tracker: d.tracker, Post: d.post,
		Now: d.now, Random: w.engine.Random().Uint64,
	})
	d.prober = replica.NewProber(replica.ProberOptions{
		Pool: d.pool, Tracker: d.tracker, RandomSeed: w.engine.Random().Uint64(), Now: d.now,
	})
	d.search = query.NewService(query.Options{
		Board: d.board, Pool: d.pool, Now: d.now, Driver: driver{d}, NewID: d.newQueryID,
	})
	d.buildEditor()
}

func (d *daemon) buildEditor() {
	w := d.world
	d.editor = policytable.NewEditor(policytable.Options{
		Store: storeClient{d}, Register: d.register, Board: d.board, Now: d.now,
		NewID: w.newID, ChangeTimeout: time.Hour,
		Pause: func(_ context.Context, limit time.Duration) bool {
			w.sleep(time.Duration(w.engine.Random().Int64N(int64(limit))))
			return true
		},
	})
}

// now is the daemon's wall clock.
func (d *daemon) now() time.Time { return d.world.wallClock().Add(d.skew) }

// step feeds the membership core and carries out what it asks.
func (d *daemon) step(input membership.Input) membership.Message {
	ready := d.core.Step(d.world.engine.Now(), input)
	for _, send := range ready.Sends {
		d.sendGossip(send)
	}
	for _, learned := range ready.Learned {
		d.learned(learned)
	}
	if ready.Changed() {
		d.membersChanged = true
	}
	if d.pool != nil {
		d.members()
	}
	d.scheduleTick()
	return ready.Reply
}

// members publishes what has changed of the membership and returns it. With
// many nodes that is put off until somebody asks.
func (d *daemon) members() *topology.Members {
	if d.membersChanged {
		d.membersChanged = false
		d.publishMembers()
	}
	return d.board.Members.Load()
}

func (d *daemon) publishMembers() {
	d.board.Members.Publish(&topology.Members{Self: d.core.Self(), Members: d.core.Members()})
}

func (d *daemon) scheduleTick() {
	wake := max(d.core.NextTick(), d.world.engine.Now())
	if d.wake != nil && d.wakeAt <= wake {
		return
	}
	if d.wake != nil {
		d.wake.Stop()
	}
	d.wakeAt = wake
	d.wake = d.process.After(wake-d.world.engine.Now(), func() {
		d.wake = nil
		d.step(membership.Tick{})
	})
}

// gossipTimeout is how long an exchange between daemons may take.
const gossipTimeout = 500 * time.Millisecond

func (d *daemon) sendGossip(send membership.Send) {
	target := d.world.daemonAt(send.Address)
	failed := func() { d.step(membership.Failed{Exchange: send.Exchange}) }
	d.world.request(d.process, target.process, gossipTimeout, failed, func(answer func(func())) {
		reply := target.step(membership.Received{Message: send.Message})
		answer(func() { d.step(membership.Replied{Exchange: send.Exchange, Message: reply}) })
	})
}

func (d *daemon) learned(learned membership.Learned) {
	switch learned.Record.Kind {
	case membership.RecordDocument:
		d.announced(document.Name(learned.Record.Key), learned.Record.Version, learned.From)
	case membership.RecordStoreWatermark:
		d.calls.fence.Merge(once.WatermarkFromVersion(learned.Record.Version))
	case membership.RecordReplicaLeaving:
		address, incarnation, _ := strings.Cut(learned.Record.Key, "|")
		if d.tracker != nil {
			d.tracker.MarkLeaving(address, incarnation)
		}
	}
}

// accepted is called by the register for each version that came into force.
func (d *daemon) accepted(version document.Document) {
	d.world.checks.inForce(d, version)
	d.process.After(0, func() {
		d.step(membership.Announced{Record: membership.Record{
			Kind: membership.RecordDocument, Key: string(version.Name), Version: version.Revision,
		}})
	})
}

// lister hands the last reading of the machine list to the tracker.
type lister struct{ daemon *daemon }

var errListUnreachable = errors.New("machine list unreachable")

// List returns what the last exchange with the list brought.
func (l lister) List(context.Context) (machines.List, error) {
	if !l.daemon.readable {
		return machines.List{}, errListUnreachable
	}
	return l.daemon.reading, nil
}

// readList reads the machine list now and then.
func (d *daemon) readList() {
	if d.tracker == nil {
		return
	}
	list := d.world.list
	refresh := func(readable bool) {
		d.readable = readable
		d.tracker.Refresh(context.Background())
		d.step(membership.SeedsUpdated{Addresses: d.reading.Daemons})
	}
	d.world.request(d.process, list.process, time.Second, func() { refresh(false) }, func(answer func(func())) {
		read := list.read()
		answer(func() {
			d.reading = read
			refresh(true)
		})
	})
	d.process.After(listInterval, d.readList)
}

// post carries one exchange with a back end for the pool.
func (d *daemon) post(ctx context.Context, address, path string, body []byte) replica.PostResult {
	w := d.world
	var came replica.PostResult
	whose := w.current.flight
	w.await(func(wake func()) {
		finished := false
		finish := func(result replica.PostResult) {
			if !finished {
				finished = true
				came = result
				wake()
			}
		}
		giveUp := ctx.(*virtualContext)
		giveUp.whenDone(func() { finish(replica.PostResult{Err: giveUp.Err()}) })
		d.sendToBackend(address, path, body, whose, finish)
	})
	return came
}

var errRefused = errors.New("connection refused")

func (d *daemon) sendToBackend(address, path string, body []byte, whose *flight, finish exchangeReply) {
	w := d.world
	target := w.backendAt[address]
	process := target.process
	if !process.Alive() {
		d.process.After(simulation.NewConnectionDelay, func() { finish(replica.PostResult{Err: errRefused, NotSent: true}) })
		return
	}
	connect := simulation.NewConnectionDelay
	if d.known[target.name()] {
		connect = 0
	}
	d.known[target.name()] = true
	if path != backendapi.StatusPath {
		w.checks.sentToBackend(d, target)
	}
	answer := d.openExchange(target, finish)
	d.process.After(connect, func() {
		w.network.Send(d.process, process, func() {
			target.serve(path, body, whose, answer)
		})
	})
}

var errReset = errors.New("connection reset by peer")

// openExchange returns what answers an exchange with a back end. If the
// process there ends first, the connection is reset.
func (d *daemon) openExchange(target *backend, finish exchangeReply) exchangeReply {
	process := target.process
	opened := &openExchange{}
	opened.reset = func() {
		opened.ended = true
		d.world.network.Send(process, d.process, func() { finish(replica.PostResult{Err: errReset}) })
	}
	target.connect(opened)
	return func(result replica.PostResult) {
		opened.ended = true
		d.world.network.Send(process, d.process, func() { finish(result) })
	}
}

// acceptTable and acceptCatalogue are the daemon's acceptors. With many
// daemons, each version is decoded once and shared, as it is immutable.
func (w *World) acceptTable(board *blackboard.Board) func(document.Document) error {
	return shared(w, &board.PolicyTable, policytable.TableAcceptor)
}

func (w *World) acceptCatalogue(board *blackboard.Board) func(document.Document) error {
	return shared(w, &board.Catalogue, policytable.CatalogueAcceptor)
}

func shared[T any](w *World, section *blackboard.Section[T], acceptor func(*blackboard.Board) func(document.Document) error) func(document.Document) error {
	return func(version document.Document) error {
		if decoded, found := w.decoded[&version.Body[0]].(*T); found {
			section.Publish(decoded)
			return nil
		}
		scratch := &blackboard.Board{}
		if err := acceptor(scratch)(version); err != nil {
			return err
		}
		var decoded any = scratch.PolicyTable.Load()
		if version.Name == document.Catalogue {
			decoded = scratch.Catalogue.Load()
		}
		w.decoded[&version.Body[0]] = decoded
		section.Publish(decoded.(*T))
		return nil
	}
}
