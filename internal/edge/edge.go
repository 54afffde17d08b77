// Package edge implements the edge node, which serves callers that run no doorpond daemon. It
// forwards their requests to the replicas listed in the store, and tells callers which nodes to
// use. All nodes are equal and keep no state on disk.
package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/drain"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/follower"
	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/ingress"
	"github.com/doorpond/doorpond/internal/liveness"
	"github.com/doorpond/doorpond/internal/processor"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/quota"
	"github.com/doorpond/doorpond/internal/registry"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

const Version = "0.2.0"

// Store is the store that a node reads and writes.
type Store interface {
	follower.Store
	registry.Store
}

// Codec encodes and decodes the protocols of callers, replicas and operators.
type Codec interface {
	upstream.Codec
	ingress.Codec
	follower.Decoder
}

// Platform is the platform that a node runs on.
type Platform struct {
	Store Store
	Codec Codec
	Keys  follower.Keys
	// ReadinessHandler and DirectoryHandler return the handlers of the platform's calls.
	ReadinessHandler func(ready func() bool) http.Handler
	DirectoryHandler func(resolve func(host string, caller topology.Place) (directory.Answer, bool)) http.Handler
}

// Options configure a Node.
type Options struct {
	Settings Settings
	Platform Platform
	// Reload reads the settings again; nil means that they never change.
	Reload func() (Settings, error)
	Logger *slog.Logger
}

const (
	// entryTTL is the lease of a node's entry in the store. It can be long, as other nodes
	// detect a lost node by probing (liveness); each renewal is billed.
	entryTTL = 30 * time.Second
	// headerTimeout and idleTimeout bound how long a caller may occupy a connection. They
	// exceed the limits that operators set for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is enforced by net/http, in addition to the limits that operators set.
	maxHeaderBytes = 64 << 10
	// relayPollTimeout is how long another node holds a poll for changes. As its answer also
	// proves that the node is alive, this is well below the two seconds within which a lost
	// node should be detected.
	relayPollTimeout = time.Second
	// relayResponseMargin is how much later the answer may arrive, because of a retransmission or
	// a busy node.
	relayResponseMargin = 500 * time.Millisecond
	// sweepInterval is the interval between sweeps of idle connections to replicas.
	sweepInterval = time.Second
	// removedReplicaShare is the share of the drain time for which a replica whose entry is
	// gone may still be used; the rest allows for the delay until this node learns of it.
	removedReplicaShare = 0.4
)

// Node is one edge node.
type Node struct {
	// settings are those the node started with; current includes the changes of Reload.
	settings  Settings
	current   atomic.Pointer[Settings]
	reload    func() (Settings, error)
	platform  Platform
	logger    *slog.Logger
	board     *blackboard.Board
	metrics   *prometheus.Registry
	budgets   *budgets
	pool      *replica.Pool
	queries   *query.Service
	announcer *announce.Announcer
	// quarantine and persister are nil if the quarantine is disabled.
	quarantine *quarantine.List
	persister  *quarantine.Persister
	// quota is nil if the settings have no window for limits of tenants.
	quota    *quota.Limiter
	follower *follower.Follower
	registry *registry.Registry
	// meter measures how long this process has run, without the time it was suspended.
	meter     *elapsed.Meter
	processor *processor.Meter
	liveness  *liveness.Checker
	// self is this node's entry in the store, except for its readiness and load.
	self        topology.Node
	callers     *drain.Listener
	connections drain.Connections
	server      *http.Server
	handler     *ingress.Handler
	// abortedRequests counts the requests that a shutdown has aborted.
	abortedRequests prometheus.Counter
	// cancelRequests cancels the contexts of all requests with a cause.
	cancelRequests context.CancelCauseFunc
	auxiliary      map[string]*auxiliaryServer // by name
}

// auxiliaryServer is a listener other than that of the callers, and its server.
type auxiliaryServer struct {
	listener net.Listener
	server   *http.Server
}

// New returns a node with its listeners open. Run serves them.
func New(options Options) (*Node, error) {
	n := &Node{
		settings: options.Settings, platform: options.Platform, logger: options.Logger, board: &blackboard.Board{},
		reload: options.Reload,
	}
	n.current.Store(&n.settings)
	if n.logger == nil {
		n.logger = slog.New(slog.DiscardHandler)
	}
	n.setPhase(blackboard.PhaseStarting)
	var err error
	n.announcer, err = announce.New(announce.Options{
		Address: n.settings.Peers, Nodes: n.board.Nodes.Load, Logger: n.logger, OnNotice: n.handleNotice, OnDirect: n.handleDirect,
	})
	if err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		n.announcer.Close()
		return nil, err
	}
	n.assemble()
	return n, nil
}

func (n *Node) setPhase(phase blackboard.Phase) { n.board.Phase.Publish(&phase) }

func (n *Node) assemble() {
	place := topology.Place{Region: n.settings.Region, Zone: n.settings.Zone}
	n.self = topology.Node{ID: n.settings.Node, Address: n.callers.Addr().String(), PeerAddress: n.announcer.Address(),
		StateAddress: n.auxiliary["state"].listener.Addr().String(), Place: place, Ready: true,
		Processors: n.settings.Limits.Processors()}
	var registerer prometheus.Registerer
	if n.settings.Metrics != "" {
		n.metrics = prometheus.NewRegistry()
		registerer = n.metrics
	}
	n.meter = elapsed.New(elapsed.Config{Logger: n.logger, Registerer: registerer})
	n.connections.Meter = n.meter
	n.registerAbortedRequests(registerer)
	source := countCalls(n.platform.Store, registerer)
	n.liveness = liveness.New(liveness.Config{Logger: n.logger})
	n.processor = processor.New(processor.Options{CPULimit: n.settings.Limits.Processors(), Logger: n.logger})
	n.budgets = newBudgets(n.board, func() BoundsSettings { return n.current.Load().Bounds }, time.Now)
	if registerer != nil {
		registerer.MustRegister(newBudgetCollector(n.budgets))
	}
	n.pool = replica.NewPool(replica.PoolOptions{
		Board: n.board, Self: place, Codec: n.platform.Codec, GroupRetryBudget: n.budgets.forGroup, Registerer: registerer,
		OnAddressReused: n.logDisplacedReplica,
	})
	n.initQuarantine(source, registerer)
	n.initQuota(registerer)
	n.queries = query.NewService(query.Options{
		Board: n.board, Pool: n.pool, Registerer: registerer, Logger: n.logger, Quarantine: n.quarantine,
		Admission: admission.New(admission.Options{Registerer: registerer}), PausedTime: n.meter.PausedTime,
	})
	n.follower = follower.New(follower.Options{
		Store: source, Decoder: n.platform.Codec, Keys: n.platform.Keys, Board: n.board, Quarantine: n.quarantine,
		Regions: n.settings.Regions, Self: n.self, Logger: n.logger, EntryNodes: n.settings.Bounds.EntryNodes(),
		Announcer: n.announcer, MaxStaleness: n.settings.Bounds.MaxStaleness(),
		PeerSnapshots: handover.New(handover.Config{HTTP: stateClient(), Nodes: n.board.Nodes.Load, Seeds: n.settings.Seeds}),
		RelayClient: relay.New(relay.Config{
			HTTP: relayClient(), Wait: relayPollTimeout, ResponseMargin: relayResponseMargin, Meter: n.meter,
			OnSuspicions: func(found []relay.Suspicion) { n.follower.Suspect(found) },
		}),
		Unreachable: n.liveness.Unreachable, Now: elapsed.Time, RanWithoutPause: n.meter.RanWithoutPause, WithTimeout: n.meter.WithTimeout,
		VanishedRetention: time.Duration(removedReplicaShare * float64(n.settings.Bounds.Drain)),
		ColdRateLimit:     decision.ColdRateLimit{Overage: n.settings.Bounds.ColdOverage, Slack: n.settings.Bounds.ColdSlack},
	})
	n.registerStoreMetrics(registerer)
	n.registry = registry.New(registry.Config{
		Store: source, Key: n.platform.Keys.Nodes + n.settings.Node, TTL: max(entryTTL, n.settings.Store.MinTTL),
		Listed: n.listed, Era: n.storeEra,
		Node: func() topology.Node {
			entry := n.self
			entry.Ready, entry.Overloaded = n.ready(), n.overloaded()
			return entry
		},
		Logger: n.logger,
	})
	n.initServers()
}

// registerStoreMetrics registers metrics of the node's view of the store.
func (n *Node) registerStoreMetrics(registerer prometheus.Registerer) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "doorpondd_store_era", Help: "The store's era as far as it is known; it rises when the store comes back from a copy.",
		}, func() float64 { return float64(n.storeEra()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "doorpondd_requests_awaited_news_total", Help: "Requests that waited until what is known of the store was confirmed.",
		}, func() float64 {
			all, _ := n.follower.WaitCounts()
			return float64(all)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "doorpondd_requests_awaited_news_in_vain_total", Help: "Requests that were refused after they had waited so.",
		}, func() float64 {
			_, vain := n.follower.WaitCounts()
			return float64(vain)
		}),
	)
}

func (n *Node) registerAbortedRequests(registerer prometheus.Registerer) {
	n.abortedRequests = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "doorpondd_requests_cut_off_total", Help: "Requests whose connections ended without an answer in a planned stop.",
	})
	if registerer != nil {
		registerer.MustRegister(n.abortedRequests)
	}
}

// logDisplacedReplica logs that another process now uses a replica's address.
func (n *Node) logDisplacedReplica(replica topology.Replica) {
	n.logger.Info("another process answers at a replica's address",
		"group", replica.Group, "address", replica.Address, "incarnation", replica.Incarnation)
}

// relayClient returns the client for polling another node, with one request at a time.
func relayClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: upstream.DialContext, MaxIdleConnsPerHost: 1}}
}

// sweep periodically closes idle connections to replicas until ctx is done.
func (n *Node) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.pool.Sweep(now)
		}
	}
}

// stateClient returns the client for reading the state of other nodes.
func stateClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: upstream.DialContext, DisableKeepAlives: true}}
}

// ready reports whether the node accepts new callers.
func (n *Node) ready() bool {
	return *n.board.Phase.Load() == blackboard.PhaseServing &&
		n.board.Routes.Load() != nil && n.board.Replicas.Load() != nil
}

// overloaded reports whether callers should be directed to further nodes besides this one.
func (n *Node) overloaded() bool { return n.queries.Overloaded() || n.processor.Overloaded() }

// storeEra returns the latest era of the store that this node knows. The era rises when the
// store is restored from a backup.
func (n *Node) storeEra() int64 {
	revision, _ := n.follower.AppliedRevision()
	return store.EraOf(revision)
}

// listed reports whether this node is among the known nodes, or none are known yet.
func (n *Node) listed() bool {
	nodes := n.board.Nodes.Load()
	return nodes == nil || slices.ContainsFunc(nodes.Nodes, func(node topology.Node) bool { return node.ID == n.self.ID })
}

// nodes returns the known nodes with the current state of this one, whose entry in the store may
// be missing or outdated.
func (n *Node) nodes() *topology.Nodes {
	recorded := n.board.Nodes.Load()
	if recorded == nil || n.board.Routes.Load() == nil {
		return nil // callers then ask another directory
	}
	own := recorded.Self
	own.Ready, own.Overloaded = n.ready(), n.overloaded()
	index := slices.IndexFunc(recorded.Nodes, func(node topology.Node) bool { return node.ID == own.ID })
	if index >= 0 && recorded.Nodes[index] == own {
		return recorded
	}
	current := *recorded
	current.Nodes = slices.Clone(recorded.Nodes)
	if index < 0 {
		current.Nodes = append(current.Nodes, own)
	} else {
		current.Nodes[index] = own
	}
	return &current
}

// Run serves until ctx is done, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	group, running := errgroup.WithContext(control)
	registering, stopRegistration := context.WithCancel(running)
	defer stopRegistration()
	registrationDone := make(chan struct{})
	group.Go(func() error { return n.announcer.Run(running) })
	group.Go(func() error { return n.follower.Run(running) })
	group.Go(func() error { return n.meter.Run(running) })
	group.Go(func() error { return n.processor.Run(running) })
	group.Go(func() error { return n.sweep(running) })
	group.Go(func() error { return n.probeZone(running) })
	group.Go(func() error { return n.persistQuarantine(running) })
	group.Go(func() error { return n.runQuota(running) })
	group.Go(func() error {
		defer close(registrationDone)
		return n.registry.Run(registering)
	})
	group.Go(func() error { return serve(n.server, elapsed.NewListener(n.callers, n.meter)) })
	for _, aux := range n.auxiliary {
		group.Go(func() error { return serve(aux.server, elapsed.NewListener(aux.listener, n.meter)) })
	}
	n.setPhase(blackboard.PhaseServing)
	n.logger.Info("started", "node", n.settings.Node, "version", Version, "zone", n.settings.Zone, "callers", n.callers.Addr().String())
	select {
	case <-ctx.Done():
		n.shutdown(func() {
			stopRegistration()
			<-registrationDone
		})
	case <-running.Done():
	}
	n.close()
	stopControl()
	err := group.Wait()
	n.pool.Close()
	n.logger.Info("stopped", "node", n.settings.Node)
	return err
}
