// Package daemon assembles doorpondd: it wires the controllers to the
// blackboard, opens the three listeners, and runs the planned stop.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/freshness"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/store/etcd"
	"github.com/doorpond/doorpond/internal/topology"
)

// Version is the program's version.
const Version = "0.1.0"

// Options are what a Daemon is made of.
type Options struct {
	Settings settings.Settings
	Logger   *slog.Logger
}

// Daemon is one doorpondd.
type Daemon struct {
	settings settings.Settings
	logger   *slog.Logger
	id       string
	started  time.Time
	token    string
	registry *prometheus.Registry
	security security

	board      *blackboard.Board
	register   *document.Register
	store      store.Store
	tracker    *replica.Tracker
	seeds      *seedLister
	pool       *replica.Pool
	prober     *replica.Prober
	peers      *peer.Client
	node       *membership.Node
	fetcher    *document.Fetcher
	watcher    *document.StoreWatcher
	election   *document.Election
	editor     *policytable.Editor
	calls      *once.Service
	queries    *query.Service
	statistics *statistics.Recorder
	monitor    *freshness.Monitor
	// meter tells for how long this process has run.
	meter     *elapsed.Meter
	listeners *listeners
}

// New assembles a daemon and opens its listeners, so that its addresses are
// known. Run serves them.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings:   options.Settings,
		logger:     options.Logger,
		id:         ulid.Make().String(),
		started:    time.Now(),
		registry:   prometheus.NewRegistry(),
		board:      &blackboard.Board{},
		register:   document.NewRegister(),
		statistics: statistics.New(time.Now),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.enter(blackboard.PhaseStarting)
	d.registerStateMetrics()
	if err := d.readSecrets(); err != nil {
		return nil, err
	}
	opened, err := openListeners(d.settings)
	if err != nil {
		return nil, err
	}
	d.listeners = opened
	d.meter = elapsed.New(elapsed.Config{Logger: d.logger, Registerer: d.registry})
	d.listeners.callersOpen.Meter, d.listeners.peersOpen.Meter = d.meter, d.meter
	d.assemble()
	return d, nil
}

// readSecrets reads the token and the TLS material.
func (d *Daemon) readSecrets() error {
	var err error
	d.security, err = newSecurity(d.settings)
	if err != nil {
		return err
	}
	if d.settings.Administration.TokenFile == "" {
		return nil
	}
	content, err := os.ReadFile(d.settings.Administration.TokenFile)
	if err != nil {
		return eris.Wrap(err, "read the operators' token")
	}
	d.token = strings.TrimSpace(string(content))
	if d.token == "" {
		return eris.Errorf("the token file %s is empty", d.settings.Administration.TokenFile)
	}
	return nil
}

// assemble makes the parts, in the order in which they need each other.
func (d *Daemon) assemble() {
	place := topology.Place{Region: d.settings.Region, Zone: d.settings.Zone}
	d.store = etcd.New(etcd.Options{
		Endpoint: d.settings.Store.URL,
		Client:   d.security.storeClient(),
		Timeout:  d.settings.Store.Timeout,
	})
	d.assembleReplicas(place)
	d.assembleMembership(place)
	d.assembleDocuments()
	d.calls = once.New(once.Options{
		Store:        d.store,
		Dispatcher:   d.pool,
		Holder:       d.id,
		Logger:       d.logger,
		Registerer:   d.registry,
		StoreTimeout: d.settings.Store.Timeout,
		HasPeers:     d.seeds.mayHaveSeeds,
		StoreTrouble: d.storeUnreachable,
		Announce:     d.announceMark,
		WithTimeout:  d.meter.WithTimeout,
	})
	d.queries = query.NewService(query.Options{
		Board:      d.board,
		Pool:       d.pool,
		Statistics: d.statistics,
		Admission:  admission.New(admission.Options{Total: d.settings.Callers.MaxInFlight, Registerer: d.registry}),
		Registerer: d.registry,
		PausedTime: d.meter.Lost,
	})
	d.connectGossip()
	d.listeners.serve(d)
}

func (d *Daemon) assembleReplicas(place topology.Place) {
	d.peers = peer.NewClient(peer.ClientOptions{TLS: d.security.peersClient(), Registerer: d.registry})
	d.seeds = newSeedLister(d.settings)
	d.tracker = replica.NewTracker(replica.TrackerOptions{
		Lister:     d.seeds,
		Board:      d.board,
		Interval:   d.settings.Machines.Interval,
		Logger:     d.logger,
		Registerer: d.registry,
	})
	d.pool = replica.NewPool(replica.PoolOptions{
		Board:      d.board,
		Self:       place,
		Tracker:    d.tracker,
		Peers:      d.peers,
		Protocol:   replica.Protocol(d.settings.Backends.Protocol),
		TLS:        d.security.backends(),
		Background: func(work func()) { go work() },
		Registerer: d.registry,
	})
	d.prober = replica.NewProber(replica.ProberOptions{
		Pool: d.pool, Tracker: d.tracker, RandomSeed: ulid.Now(), Registerer: d.registry,
	})
}

func (d *Daemon) assembleMembership(place topology.Place) {
	d.node = membership.NewNode(membership.NodeOptions{
		Self:       topology.Member{ID: d.id, PeerAddress: d.listeners.peers.Addr().String(), Place: place},
		Seeds:      d.seeds.addresses,
		Transport:  d.peers,
		Board:      d.board,
		Timing:     membership.Timing{Period: d.settings.Membership.Period},
		RandomSeed: ulid.Now(),
		Logger:     d.logger,
		Registerer: d.registry,
	})
}

func (d *Daemon) assembleDocuments() {
	d.election = document.NewElection(document.ElectionOptions{
		PerZone: d.settings.Store.WatchersPerZone, HasSeeds: d.seeds.mayHaveSeeds,
	})
	d.register.AddAcceptor(document.Table, policytable.TableAcceptor(d.board))
	d.register.AddAcceptor(document.Catalogue, policytable.CatalogueAcceptor(d.board))
	d.fetcher = document.NewFetcher(document.FetcherOptions{
		Source: d.peers, Register: d.register, Peers: d.otherPeers, Logger: d.logger,
	})
	d.watcher = document.NewStoreWatcher(document.StoreWatcherOptions{
		Store:      d.store,
		Register:   d.register,
		Board:      d.board,
		Elected:    d.elected,
		Logger:     d.logger,
		Registerer: d.registry,
	})
	d.editor = policytable.NewEditor(policytable.Options{
		Store: d.store, Register: d.register, Board: d.board, Logger: d.logger,
	})
	d.monitor = freshness.New(freshness.Options{Confirm: d.confirm, Logger: d.logger})
}

// elected tells whether this daemon follows the store.
func (d *Daemon) elected() bool {
	return d.election.Elected(time.Since(d.started), d.board.Members.Load())
}

func (d *Daemon) enter(phase blackboard.Phase) { d.board.Phase.Publish(&phase) }

// Run serves until ctx ends, then goes through the planned stop. When hurry
// ends too, it stops at once.
func (d *Daemon) Run(ctx, hurry context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	group, groupContext := errgroup.WithContext(control)
	for _, run := range []func(context.Context) error{
		d.node.Run, d.tracker.Run, d.prober.Run, d.watcher.Run, d.fetcher.Run, d.calls.Run, d.meter.Run, d.monitor.Run, d.security.follow(d.logger),
	} {
		group.Go(func() error { return ignoreCanceled(run(groupContext)) })
	}
	d.listeners.start(group)
	d.enter(blackboard.PhaseServing)
	d.logger.Info("serving", "id", d.id, "version", Version,
		"callers", d.listeners.callers.Addr().String(),
		"peers", d.listeners.peers.Addr().String(),
		"administration", d.listeners.administration.Addr().String())
	select {
	case <-ctx.Done():
		d.stop(hurry)
	case <-groupContext.Done():
	}
	d.listeners.close()
	stopControl()
	err := group.Wait()
	d.pool.Close()
	d.peers.Close()
	d.logger.Info("stopped", "id", d.id)
	return err
}

func ignoreCanceled(err error) error {
	if eris.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Addresses are where a daemon listens.
type Addresses struct {
	Callers        string `json:"callers"`
	Peers          string `json:"peers"`
	Administration string `json:"administration"`
}

// Addresses returns where the daemon listens, with the ports it was given.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers:        d.listeners.callers.Addr().String(),
		Peers:          d.listeners.peers.Addr().String(),
		Administration: d.listeners.administration.Addr().String(),
	}
}
