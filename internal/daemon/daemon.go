// Package daemon assembles doorpondd: it connects the controllers to the blackboard, opens
// the three listeners and performs the graceful shutdown.
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

// Options configure a Daemon.
type Options struct {
	Settings settings.Settings
	Logger   *slog.Logger
}

// Daemon is an instance of doorpondd.
type Daemon struct {
	settings  settings.Settings
	logger    *slog.Logger
	id        string
	startedAt time.Time
	token     string
	registry  *prometheus.Registry
	tls       tlsSources

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
	// meter measures the time for which the process was not paused.
	meter     *elapsed.Meter
	listeners *listeners
}

// New assembles a daemon and opens its listeners, so that Addresses is valid. Use Run to
// serve them.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings:   options.Settings,
		logger:     options.Logger,
		id:         ulid.Make().String(),
		startedAt:  time.Now(),
		registry:   prometheus.NewRegistry(),
		board:      &blackboard.Board{},
		register:   document.NewRegister(),
		statistics: statistics.New(time.Now),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.setPhase(blackboard.PhaseStarting)
	d.registerStateMetrics()
	if err := d.loadSecrets(); err != nil {
		return nil, err
	}
	opened, err := openListeners(d.settings)
	if err != nil {
		return nil, err
	}
	d.listeners = opened
	d.meter = elapsed.New(elapsed.Config{Logger: d.logger, Registerer: d.registry})
	d.listeners.callersConnections.Meter, d.listeners.peersConnections.Meter = d.meter, d.meter
	d.assemble()
	return d, nil
}

// loadSecrets reads the administration token and the TLS files.
func (d *Daemon) loadSecrets() error {
	var err error
	d.tls, err = newTLSSources(d.settings)
	if err != nil {
		return err
	}
	if d.settings.Administration.TokenFile == "" {
		return nil
	}
	content, err := os.ReadFile(d.settings.Administration.TokenFile)
	if err != nil {
		return eris.Wrap(err, "read administration token")
	}
	d.token = strings.TrimSpace(string(content))
	if d.token == "" {
		return eris.Errorf("token file %s is empty", d.settings.Administration.TokenFile)
	}
	return nil
}

// assemble creates the components in the order of their dependencies.
func (d *Daemon) assemble() {
	place := topology.Place{Region: d.settings.Region, Zone: d.settings.Zone}
	d.store = etcd.New(etcd.Options{
		Endpoint:    d.settings.Store.URL,
		Client:      d.tls.storeHTTPClient(),
		Timeout:     d.settings.Store.Timeout,
		WithTimeout: d.meter.WithTimeout,
	})
	d.assembleReplicas(place)
	d.assembleMembership(place)
	d.assembleDocuments()
	d.calls = once.New(once.Options{
		Store:          d.store,
		Dispatcher:     d.pool,
		Holder:         d.id,
		Logger:         d.logger,
		Registerer:     d.registry,
		StoreTimeout:   d.settings.Store.Timeout,
		HasPeers:       d.seeds.mayHaveSeeds,
		StoreUnhealthy: d.storeUnreachable,
		Announce:       d.announceWatermark,
		WithTimeout:    d.meter.WithTimeout,
		PausedTime:     d.meter.PausedTime,
	})
	d.queries = query.NewService(query.Options{
		Board:      d.board,
		Pool:       d.pool,
		Statistics: d.statistics,
		Admission:  admission.New(admission.Options{MaxInFlight: d.settings.Callers.MaxInFlight, Registerer: d.registry}),
		Registerer: d.registry,
		Logger:     d.logger,
		PausedTime: d.meter.PausedTime,
		WaitFresh:  d.monitor.WaitFresh,
	})
	d.connectGossip()
	d.listeners.createServers(d)
}

func (d *Daemon) assembleReplicas(place topology.Place) {
	d.peers = peer.NewClient(peer.ClientOptions{
		TLS: d.tls.peersClientConfig(), Registerer: d.registry, WithTimeout: d.meter.WithTimeout,
	})
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
		TLS:        d.tls.backendsConfig(),
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
		WithTimeout: d.meter.WithTimeout,
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
		Store: d.store, Register: d.register, Board: d.board, Logger: d.logger, WithTimeout: d.meter.WithTimeout,
	})
	d.monitor = freshness.New(freshness.Options{Confirm: d.confirm, Meter: d.meter, Logger: d.logger, Registerer: d.registry})
}

// elected reports whether this daemon is one of those that watch the store.
func (d *Daemon) elected() bool {
	return d.election.Elected(time.Since(d.startedAt), d.board.Members.Load())
}

func (d *Daemon) setPhase(phase blackboard.Phase) { d.board.Phase.Publish(&phase) }

// Run serves requests until ctx ends, then shuts down gracefully. If abort ends as well, it
// stops immediately.
func (d *Daemon) Run(ctx, abort context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	// The meter outlasts the rest, whose timeouts would otherwise never expire.
	metering, stopMeter := context.WithCancel(context.WithoutCancel(ctx))
	defer stopMeter()
	go func() { _ = d.meter.Run(metering) }()
	group, groupContext := errgroup.WithContext(background)
	for _, run := range []func(context.Context) error{
		d.node.Run, d.tracker.Run, d.prober.Run, d.watcher.Run, d.fetcher.Run, d.calls.Run, d.monitor.Run, d.tls.reload(d.logger),
	} {
		group.Go(func() error { return ignoreCanceled(run(groupContext)) })
	}
	d.listeners.start(group, d.meter)
	d.setPhase(blackboard.PhaseServing)
	d.logger.Info("serving", "id", d.id, "version", Version,
		"callers", d.listeners.callers.Addr().String(),
		"peers", d.listeners.peers.Addr().String(),
		"administration", d.listeners.administration.Addr().String())
	select {
	case <-ctx.Done():
		d.shutdown(abort)
	case <-groupContext.Done():
	}
	d.listeners.close()
	stopBackground()
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

// Addresses are the listening addresses of a daemon.
type Addresses struct {
	Callers        string `json:"callers"`
	Peers          string `json:"peers"`
	Administration string `json:"administration"`
}

// Addresses returns the listening addresses, with the ports that the system assigned.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers:        d.listeners.callers.Addr().String(),
		Peers:          d.listeners.peers.Addr().String(),
		Administration: d.listeners.administration.Addr().String(),
	}
}
