// Package edge assembles the node that serves callers who run no process of
// ours: it takes their requests, passes them on to the replicas that the store
// lists, and tells callers which nodes to use. All nodes are equal, and none
// keeps anything on a disk.
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
	"github.com/doorpond/doorpond/internal/registry"
	"github.com/doorpond/doorpond/internal/relay"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// Version is the program's version.
const Version = "0.2.0"

// Store is the store that a node reads and writes.
type Store interface {
	follower.Store
	registry.Store
}

// Codec speaks the protocols of callers, replicas and operators.
type Codec interface {
	upstream.Codec
	ingress.Codec
	follower.Decoder
}

// Platform is what a node stands on.
type Platform struct {
	Store Store
	Codec Codec
	Keys  follower.Keys
	// ReadinessHandler and Directory make the handlers of the platform's calls.
	ReadinessHandler func(ready func() bool) http.Handler
	DirectoryHandler func(resolve func(host string, caller topology.Place) (directory.Answer, bool)) http.Handler
}

// Options are what a Node is made of.
type Options struct {
	Settings Settings
	Platform Platform
	// Reload reads the settings anew; nil means that they never change.
	Reload func() (Settings, error)
	Logger *slog.Logger
}

// The constants of a node.
const (
	// entryTTL is how long a node's entry outlives it. Other nodes notice sooner that
	// it is gone (liveness), and each renewal is priced.
	// With 30 s it is renewed each 10 s; no node waits for its end.
	entryTTL = 30 * time.Second
	// headerTimeout and idleTimeout bound what a caller may do with a
	// connection; callers keep to the operators' smaller limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is net/http's limit; callers keep to the operators' own.
	maxHeaderBytes = 64 << 10
	// relayWait is how long a question to another node for changes waits for one. The
	// answer shows that the node lives, so it is well under the time for which callers
	// should notice that a node is gone (two seconds).
	relayWait = time.Second
	// relaySlack is how much longer the answer may take: one packet lost and sent
	// again, or a busy node.
	relaySlack = 500 * time.Millisecond
	// sweepInterval is the time between two looks for connections to replicas that
	// have rested for too long.
	sweepInterval = time.Second
	// vanishedShare of the drain time is how long a replica whose entry is gone
	// may still be asked; the rest is for the time to hear of it.
	vanishedShare = 0.4
)

// Node is one edge node.
type Node struct {
	// settings are those of the start; current ones may differ in what can
	// change while the node runs.
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
	// quarantine is nil when it is off.
	quarantine *quarantine.List
	keeper     *quarantine.Persister
	follower   *follower.Follower
	registry   *registry.Registry
	// meter tells for how long this process has run.
	meter     *elapsed.Meter
	processor *processor.Meter
	liveness  *liveness.Checker
	// self is this node as it records itself, but for its readiness and load.
	self    topology.Node
	callers *drain.Listener
	open    drain.Connections
	server  *http.Server
	// cutOff counts the requests that a stop has cut off.
	cutOff prometheus.Counter
	// answerNow ends the contexts of all callers' requests with a cause.
	answerNow context.CancelCauseFunc
	auxiliary map[string]*auxiliary // by name
}

// auxiliary is a listener beside that of the callers.
type auxiliary struct {
	listener net.Listener
	server   *http.Server
}

// New assembles a node and opens its listeners. Run serves them.
func New(options Options) (*Node, error) {
	n := &Node{
		settings: options.Settings, platform: options.Platform, logger: options.Logger, board: &blackboard.Board{},
		reload: options.Reload,
	}
	n.current.Store(&n.settings)
	if n.logger == nil {
		n.logger = slog.New(slog.DiscardHandler)
	}
	n.enter(blackboard.PhaseStarting)
	var err error
	n.announcer, err = announce.New(announce.Options{
		Address: n.settings.Peers, Nodes: n.board.Nodes.Load, Logger: n.logger, Notice: n.hearOfRequest,
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

func (n *Node) enter(phase blackboard.Phase) { n.board.Phase.Publish(&phase) }

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
	n.open.Meter = n.meter
	n.addCutOff(registerer)
	source := countCalls(n.platform.Store, registerer)
	n.liveness = liveness.New(liveness.Config{Logger: n.logger})
	n.processor = processor.New(processor.Options{Processors: n.settings.Limits.Processors(), Logger: n.logger})
	n.budgets = newBudgets(n.board, func() BoundsSettings { return n.current.Load().Bounds }, time.Now)
	if registerer != nil {
		registerer.MustRegister(newBudgetCollector(n.budgets))
	}
	n.pool = replica.NewPool(replica.PoolOptions{
		Board: n.board, Self: place, Codec: n.platform.Codec, GroupRetryBudget: n.budgets.of, Registerer: registerer,
		OnAddressReused: n.tellDisplaced,
	})
	n.addQuarantine(source, registerer)
	n.queries = query.NewService(query.Options{
		Board: n.board, Pool: n.pool, Registerer: registerer, Logger: n.logger, Quarantine: n.quarantine,
		Admission: admission.New(admission.Options{Registerer: registerer}), Lost: n.meter.PausedTime,
	})
	n.follower = follower.New(follower.Options{
		Store: source, Decoder: n.platform.Codec, Keys: n.platform.Keys, Board: n.board, Quarantine: n.quarantine,
		Regions: n.settings.Regions, Self: n.self, Logger: n.logger, EntryNodes: n.settings.Bounds.EntryNodes(),
		Announcer: n.announcer, MaxStaleness: n.settings.Bounds.MaxStaleness(),
		PeerSnapshots: handover.New(handover.Config{HTTP: stateClient(), Nodes: n.board.Nodes.Load, Seeds: n.settings.Seeds}),
		RelayClient: relay.New(relay.Config{
			HTTP: relayClient(), Wait: relayWait, Slack: relaySlack,
			Suspected: func(found []relay.Suspicion) { n.follower.Suspect(found) },
		}),
		Unreachable: n.liveness.Unreachable, Now: elapsed.Time, RanWithoutPause: n.meter.RanWithoutPause,
		VanishedRetention: time.Duration(vanishedShare * float64(n.settings.Bounds.Drain)),
		ColdBound:         decision.ColdRateLimit{Overage: n.settings.Bounds.ColdOverage, Slack: n.settings.Bounds.ColdSlack},
	})
	n.addNewsMetrics(registerer)
	n.registry = registry.New(registry.Config{
		Store: source, Key: n.platform.Keys.Nodes + n.settings.Node, TTL: max(entryTTL, n.settings.Store.MinTTL),
		Listed: n.listed, Era: n.storeEra,
		Node: func() topology.Node {
			recorded := n.self
			recorded.Ready, recorded.Overloaded = n.ready(), n.loaded()
			return recorded
		},
		Logger: n.logger,
	})
	n.addServers()
}

// addNewsMetrics registers what tells how far this node is behind the store.
func (n *Node) addNewsMetrics(registerer prometheus.Registerer) {
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

func (n *Node) addCutOff(registerer prometheus.Registerer) {
	n.cutOff = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "doorpondd_requests_cut_off_total", Help: "Requests whose connections ended without an answer in a planned stop.",
	})
	if registerer != nil {
		registerer.MustRegister(n.cutOff)
	}
}

// tellDisplaced logs that a replica's address is another process's by now.
func (n *Node) tellDisplaced(replica topology.Replica) {
	n.logger.Info("another process answers at a replica's address",
		"group", replica.Group, "address", replica.Address, "incarnation", replica.Incarnation)
}

// relayClient is for watching another node: one question waits after the other.
func relayClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: upstream.DialContext, MaxIdleConnsPerHost: 1}}
}

// sweep closes connections to replicas that have rested for too long, until ctx
// ends.
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

// stateClient is for reading what other nodes know.
func stateClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: upstream.DialContext, DisableKeepAlives: true}}
}

// ready tells whether the node takes new callers.
func (n *Node) ready() bool {
	return *n.board.Phase.Load() == blackboard.PhaseServing &&
		n.board.Routes.Load() != nil && n.board.Replicas.Load() != nil
}

// loaded tells whether callers should be led to further nodes beside this one.
func (n *Node) loaded() bool { return n.queries.Loaded() || n.processor.Loaded() }

// storeEra is the store's era as far as this node knows.
func (n *Node) storeEra() int64 {
	revision, _ := n.follower.AppliedRevision()
	return store.EraOf(revision)
}

// listed tells whether this node is among those that are known.
func (n *Node) listed() bool {
	nodes := n.board.Nodes.Load()
	return nodes == nil || slices.ContainsFunc(nodes.Nodes, func(node topology.Node) bool { return node.ID == n.self.ID })
}

// nodes returns the nodes with what this one knows of itself now: its entry in
// the store may have lapsed, or be older than its load.
func (n *Node) nodes() *topology.Nodes {
	recorded := n.board.Nodes.Load()
	if recorded == nil || n.board.Routes.Load() == nil {
		return nil // another directory knows more
	}
	own := recorded.Self
	own.Ready, own.Overloaded = n.ready(), n.loaded()
	at := slices.IndexFunc(recorded.Nodes, func(node topology.Node) bool { return node.ID == own.ID })
	if at >= 0 && recorded.Nodes[at] == own {
		return recorded
	}
	current := *recorded
	current.Nodes = slices.Clone(recorded.Nodes)
	if at < 0 {
		current.Nodes = append(current.Nodes, own)
	} else {
		current.Nodes[at] = own
	}
	return &current
}

// Run serves until ctx ends, then goes through the planned stop.
func (n *Node) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	group, running := errgroup.WithContext(control)
	recording, stopRecording := context.WithCancel(running)
	defer stopRecording()
	recorded := make(chan struct{})
	group.Go(func() error { return n.announcer.Run(running) })
	group.Go(func() error { return n.follower.Run(running) })
	group.Go(func() error { return n.meter.Run(running) })
	group.Go(func() error { return n.processor.Run(running) })
	group.Go(func() error { return n.sweep(running) })
	group.Go(func() error { return n.guard(running) })
	group.Go(func() error { return n.keepQuarantine(running) })
	group.Go(func() error {
		defer close(recorded)
		return n.registry.Run(recording)
	})
	group.Go(func() error { return serve(n.server, n.callers) })
	for _, one := range n.auxiliary {
		group.Go(func() error { return serve(one.server, one.listener) })
	}
	n.enter(blackboard.PhaseServing)
	n.logger.Info("started", "node", n.settings.Node, "version", Version, "zone", n.settings.Zone, "callers", n.callers.Addr().String())
	select {
	case <-ctx.Done():
		n.stop(func() {
			stopRecording()
			<-recorded
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
