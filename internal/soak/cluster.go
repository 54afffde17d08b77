package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/internal/soak/process"
	"github.com/doorpond/doorpond/internal/soak/proxy"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/platform/standin"
)

// Parameters of the cluster. Callers are directed to two of the three nodes of
// each zone; the third watches one of them instead of the store.
const (
	shards         = 4
	processingTime = 5 * time.Millisecond
	gracePeriod    = 3 * time.Second
	restartDelay   = 500 * time.Millisecond
	linkLag        = 60 * time.Millisecond
	// defaultNodes is three nodes per zone.
	defaultNodes = 9
	settingsMode = 0o600
)

var zones = []string{"a", "b", "c"}

// node is a node process with its settings and its link to the store.
type node struct {
	process  *process.Process
	store    *proxy.Proxy
	settings edge.Settings
	path     string
	log      *os.File
	// restartMu is held while the process is stopped and restarted.
	restartMu sync.Mutex
}

// cluster holds the nodes, the stand-in back ends and the recorded events.
type cluster struct {
	deployment *standin.Deployment
	nodes      []*node
	ports      ports
	stalls     stallDetector
	began      time.Time

	// keys is nil if the run has no tenants.
	keys *keyBook
	// surges counts the senders of tenants that send many times their limit.
	surges atomic.Int64
	// record is the function that receives the requests of such senders.
	record func(observation)

	// replacing counts the crashed replicas that are not yet replaced.
	replacing sync.WaitGroup

	// replicasMu guards the deployment's replicas, configMu its configuration, and
	// evacuationMu its evacuated zone.
	replicasMu, configMu, evacuationMu sync.Mutex
	// shards is the newest configuration's shard count, guarded by configMu.
	shards int

	mu sync.Mutex
	// links are the replicas' proxies, in the order of the replicas.
	links   []*proxy.Proxy
	leaving map[*standin.Replica]time.Time
	events  []event
	changes []storeChange
	// allowed holds the shard counts of all configurations written so far.
	allowed map[int]bool
	notes   []string
}

// storeChange is a store change that nodes must act on in time: a new shard count,
// or a replica that leaves or is in an evacuated zone.
type storeChange struct {
	at      time.Time
	shards  int
	replica *standin.Replica // nil for a new shard count
}

func (c *cluster) recordChange(change storeChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change)
}

func (c *cluster) allowShardCount(shardCount int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed[shardCount] = true
}

// addNote records a finding made outside the checker.
func (c *cluster) addNote(finding string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes = append(c.notes, finding)
}

// event is an injected fault.
type event struct {
	kind  Kind
	node  *node // nil for other targets
	from  time.Time
	until time.Time
}

// affected reports whether the event is of one of kinds and hit the node at
// address.
func (e event) affected(address string, kinds ...Kind) bool {
	return e.node != nil && e.node.settings.Callers == address && slices.Contains(kinds, e.kind)
}

func newCluster(config Config) (*cluster, error) {
	c := &cluster{leaving: make(map[*standin.Replica]time.Time), allowed: map[int]bool{shards: true}, shards: shards}
	options := standin.Options{Zones: zones, Shards: shards, ProcessingTime: processingTime, Advertise: c.link, OnCrash: c.replaceCrashed, FaultyService: true}
	if HasTenants(config.Seed) {
		c.keys = newKeyBook()
		options.Tenants = c.keys.tenants
	}
	var err error
	c.deployment, err = standin.Start(options)
	if err != nil {
		return nil, eris.Wrap(err, "start stand-in services")
	}
	for i := range config.Nodes {
		started, err := c.startNode(config, i)
		if err != nil {
			c.close()
			return nil, err
		}
		c.nodes = append(c.nodes, started)
	}
	return c, nil
}

// link starts a proxy for a replica.
func (c *cluster) link(listening netip.AddrPort) (netip.AddrPort, error) {
	made, err := proxy.New(proxy.Config{Target: listening, Delay: linkLag})
	if err != nil {
		return netip.AddrPort{}, err
	}
	c.mu.Lock()
	c.links = append(c.links, made)
	c.mu.Unlock()
	return made.Addr(), nil
}

func (c *cluster) startNode(config Config, number int) (*node, error) {
	target, err := netip.ParseAddrPort(c.deployment.StoreURL()[len("http://"):])
	if err != nil {
		return nil, eris.Wrap(err, "parse store address")
	}
	started := &node{settings: c.deployment.NodeSettings(fmt.Sprintf("n%d", number), zones[number%len(zones)])}
	if started.store, err = proxy.New(proxy.Config{Target: target, Delay: linkLag}); err != nil {
		return nil, err
	}
	started.settings.Store.URL = "http://" + started.store.Addr().String()
	started.settings.Bounds.Grace = gracePeriod
	started.settings.Limits.ProcessorShare = 1
	for _, address := range []*string{
		&started.settings.Callers, &started.settings.Readiness, &started.settings.Directory,
		&started.settings.Metrics, &started.settings.Peers, &started.settings.State,
	} {
		if *address, err = c.ports.freeAddress(); err != nil {
			return nil, err
		}
	}
	started.path = filepath.Join(config.Directory, started.settings.Node+".yaml")
	if err := started.writeSettings(); err != nil {
		return nil, err
	}
	started.log, err = os.Create(filepath.Join(config.Directory, started.settings.Node+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log file")
	}
	program, args := config.Program, []string{"--config", started.path}
	if config.Breakage != "" && number == int(config.Seed%uint64(config.Nodes)) {
		program, args = config.Lab, append([]string{standin.BrokenNodeCommand, "--breakage", string(config.Breakage)}, args...)
	}
	started.process = process.New(process.Config{Program: program, Args: args, Log: started.log})
	return started, started.process.Start()
}

func (n *node) writeSettings() error {
	content, err := yaml.Marshal(n.settings)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(n.path, content, settingsMode), "write settings")
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		if n.process != nil {
			_ = n.process.Signal(syscall.SIGCONT) // it may be paused
			n.process.Kill()
		}
		n.store.Close()
		_ = n.log.Close()
	}
	c.ports.close()
	c.deployment.Close()
	for _, link := range c.links {
		link.Close()
	}
}

// readyWait bounds the start of all nodes.
const readyWait = 30 * time.Second

func (c *cluster) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for _, n := range c.nodes {
		for !n.ready() {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return eris.Errorf("node %s was not ready in time", n.settings.Node)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (n *node) ready() bool {
	response, err := http.Get("http://" + n.settings.Readiness + standin.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startClock sets the time to which the plan's offsets refer.
func (c *cluster) startClock() { c.began = time.Now() }

// runPlan injects the faults of a plan and waits until all are over.
func (c *cluster) runPlan(ctx context.Context, plan []Fault, out io.Writer) error {
	var running sync.WaitGroup
	defer running.Wait()
	failures := make(chan error, len(plan))
	for _, fault := range plan {
		running.Go(func() {
			timer := time.NewTimer(time.Until(c.began.Add(fault.At)))
			defer timer.Stop()
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			if out != nil {
				_, _ = fmt.Fprintf(out, "%7.2f s %s %d for %v\n", fault.At.Seconds(), fault.Kind, fault.Target, fault.For.Round(time.Millisecond))
			}
			if err := c.apply(ctx, fault); err != nil {
				failures <- err
			}
		})
	}
	running.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return eris.Wrap(ctx.Err(), "soak")
	}
}

// recordFault records the start of a fault and returns a function that records
// its end.
func (c *cluster) recordFault(kind Kind, target *node) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := len(c.events)
	c.events = append(c.events, event{kind: kind, node: target, from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.events[at].until = time.Now()
	}
}

// overlapsFault reports whether a matching fault overlapped a time span.
func (c *cluster) overlapsFault(from, until time.Time, matters func(event) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		over := !e.until.IsZero() && e.until.Before(from)
		if !over && !e.from.After(until) && matters(e) {
			return true
		}
	}
	return false
}

// healthyLength is the length of the fault-free phase checked at the end.
const healthyLength = 4 * time.Second

// settleTime is the time to recover after the last fault.
const settleTime = 8 * time.Second

// awaitRecovery waits for the end of the fault-free phase and returns its start.
func (c *cluster) awaitRecovery(ctx context.Context) time.Time {
	settled := time.Now().Add(settleTime)
	select {
	case <-ctx.Done():
	case <-time.After(settleTime + healthyLength):
	}
	return settled
}

var storeFaults = map[Kind]kv.Faults{
	StoreOutage:        {Outage: true},
	StoreThrottle:      {RateLimitPerSecond: 2},
	StoreSlow:          {LatencyMilliseconds: 300},
	StoreLostAnswers:   {LoseAcknowledgements: 3},
	StoreFreezeWatches: {FreezeWatches: true},
}

var linkModes = map[Kind]proxy.Mode{
	StoreLinkDelay: proxy.Delay, StoreLinkReset: proxy.Reset, StoreLinkHoldRequests: proxy.HoldRequests,
	StoreLinkHoldReplies: proxy.HoldReplies, StoreLinkSilence: proxy.Silence,
	ReplicaLinkDelay: proxy.Delay, ReplicaLinkReset: proxy.Reset,
	ReplicaLinkHoldReplies: proxy.HoldReplies, ReplicaLinkSilence: proxy.Silence,
}
