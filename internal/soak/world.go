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
	// restarting is held while the process is stopped and restarted.
	restarting sync.Mutex
}

// cluster holds the nodes, the stand-in back ends and the recorded events.
type cluster struct {
	deployment *standin.Deployment
	nodes      []*node
	ports      ports
	stalls     stallDetector
	began      time.Time

	// returning counts the crashed replicas that are not yet replaced.
	returning sync.WaitGroup

	// fleet guards the deployment's replicas, configuring its configuration, and
	// evacuating its evacuated zone.
	fleet, configuring, evacuating sync.Mutex
	// shards is the newest configuration's shard count, guarded by configuring.
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
	replica *standin.Replica // nil for a number of shards
}

func (w *cluster) recordChange(one storeChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, one)
}

func (w *cluster) allowShardCount(shardCount int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowed[shardCount] = true
}

// addNote records a finding made outside the checker.
func (w *cluster) addNote(finding string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, finding)
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
	w := &cluster{leaving: make(map[*standin.Replica]time.Time), allowed: map[int]bool{shards: true}, shards: shards}
	var err error
	w.deployment, err = standin.Start(standin.Options{Zones: zones, Shards: shards, ProcessingTime: processingTime, Advertise: w.link, OnCrash: w.replaceCrashed})
	if err != nil {
		return nil, eris.Wrap(err, "start stand-in services")
	}
	for i := range config.Nodes {
		started, err := w.startNode(config, i)
		if err != nil {
			w.close()
			return nil, err
		}
		w.nodes = append(w.nodes, started)
	}
	return w, nil
}

// link starts a proxy for a replica.
func (w *cluster) link(listening netip.AddrPort) (netip.AddrPort, error) {
	made, err := proxy.New(proxy.Config{Target: listening, Delay: linkLag})
	if err != nil {
		return netip.AddrPort{}, err
	}
	w.mu.Lock()
	w.links = append(w.links, made)
	w.mu.Unlock()
	return made.Addr(), nil
}

func (w *cluster) startNode(config Config, number int) (*node, error) {
	target, err := netip.ParseAddrPort(w.deployment.StoreURL()[len("http://"):])
	if err != nil {
		return nil, eris.Wrap(err, "parse store address")
	}
	started := &node{settings: w.deployment.NodeSettings(fmt.Sprintf("n%d", number), zones[number%len(zones)])}
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
		if *address, err = w.ports.freeAddress(); err != nil {
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
	started.process = process.New(process.Config{
		Program: config.Program, Args: []string{"--config", started.path}, Log: started.log,
	})
	return started, started.process.Start()
}

func (n *node) writeSettings() error {
	content, err := yaml.Marshal(n.settings)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(n.path, content, settingsMode), "write settings")
}

func (w *cluster) close() {
	for _, one := range w.nodes {
		if one.process != nil {
			_ = one.process.Signal(syscall.SIGCONT) // it may be paused
			one.process.Kill()
		}
		one.store.Close()
		_ = one.log.Close()
	}
	w.ports.close()
	w.deployment.Close()
	for _, link := range w.links {
		link.Close()
	}
}

// readyWait bounds the start of all nodes.
const readyWait = 30 * time.Second

func (w *cluster) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for _, one := range w.nodes {
		for !one.ready() {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return eris.Errorf("node %s was not ready in time", one.settings.Node)
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
func (w *cluster) startClock() { w.began = time.Now() }

// runPlan injects the faults of a plan and waits until all are over.
func (w *cluster) runPlan(ctx context.Context, plan []Fault, out io.Writer) error {
	var running sync.WaitGroup
	defer running.Wait()
	failures := make(chan error, len(plan))
	for _, fault := range plan {
		running.Go(func() {
			timer := time.NewTimer(time.Until(w.began.Add(fault.At)))
			defer timer.Stop()
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			if out != nil {
				_, _ = fmt.Fprintf(out, "%7.2f s %s %d for %v\n", fault.At.Seconds(), fault.Kind, fault.Target, fault.For.Round(time.Millisecond))
			}
			if err := w.apply(ctx, fault); err != nil {
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
func (w *cluster) recordFault(kind Kind, target *node) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := len(w.events)
	w.events = append(w.events, event{kind: kind, node: target, from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.events[at].until = time.Now()
	}
}

// overlapsFault reports whether a matching fault overlapped a time span.
func (w *cluster) overlapsFault(from, until time.Time, matters func(event) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.events {
		over := !one.until.IsZero() && one.until.Before(from)
		if !over && !one.from.After(until) && matters(one) {
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
func (w *cluster) awaitRecovery(ctx context.Context) time.Time {
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
