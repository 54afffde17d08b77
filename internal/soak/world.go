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

// The shape of the world. Of the three nodes of each zone, callers are led to
// two; the third watches one of them in place of the store.
const (
	shards  = 4
	work    = 5 * time.Millisecond
	grace   = 3 * time.Second
	restart = 500 * time.Millisecond
	linkLag = 60 * time.Millisecond
	// defaultNodes are three in each zone.
	defaultNodes = 9
	settingsMode = 0o600
)

var zones = []string{"a", "b", "c"}

// node is one node of the system, its process and its way to the store.
type node struct {
	process  *process.Process
	store    *proxy.Proxy
	settings edge.Settings
	path     string
	log      *os.File
	// restarting is held while the process is ended and started again.
	restarting sync.Mutex
}

// world is everything that runs.
type world struct {
	deployment *standin.Deployment
	nodes      []*node
	ports      ports
	stalls     stallWatch
	began      time.Time

	// returning counts the replicas that have ended by a request and are not replaced yet.
	returning sync.WaitGroup

	// fleet guards the deployment's replicas, configuring its configuration, evacuating
	// its evacuated zone.
	fleet, configuring, evacuating sync.Mutex
	// shards is the number of shards of the newest configuration; configuring guards it.
	shards int

	mu sync.Mutex
	// links are the proxies before the replicas, in the replicas' order.
	links   []*proxy.Proxy
	leaving map[*standin.Replica]time.Time
	events  []event
	news    []news
	// allowed are the numbers of shards that any configuration has named.
	allowed map[int]bool
	notes   []string
}

// news is a change of the store that all nodes must act on in time: another
// number of shards, or a replica that leaves or stands in an evacuated zone.
type news struct {
	at      time.Time
	shards  int
	replica *standin.Replica // nil for a number of shards
}

func (w *world) markNews(one news) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.news = append(w.news, one)
}

func (w *world) allow(shardCount int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowed[shardCount] = true
}

// note records a finding of the world's own.
func (w *world) note(finding string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, finding)
}

// event is a fault that befell the world.
type event struct {
	kind  Kind
	node  *node // nil for other targets
	from  time.Time
	until time.Time
}

// befell tells whether the event is of one of some kinds and befell the node of an address.
func (e event) befell(address string, kinds ...Kind) bool {
	return e.node != nil && e.node.settings.Callers == address && slices.Contains(kinds, e.kind)
}

func newWorld(config Config) (*world, error) {
	w := &world{leaving: make(map[*standin.Replica]time.Time), allowed: map[int]bool{shards: true}, shards: shards}
	var err error
	w.deployment, err = standin.Start(standin.Options{Zones: zones, Shards: shards, ProcessingTime: work, Advertise: w.link, OnCrash: w.replaceEnding})
	if err != nil {
		return nil, eris.Wrap(err, "start the stand-ins")
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

// link puts a proxy before a replica.
func (w *world) link(listening netip.AddrPort) (netip.AddrPort, error) {
	made, err := proxy.New(proxy.Config{Target: listening, Delay: linkLag})
	if err != nil {
		return netip.AddrPort{}, err
	}
	w.mu.Lock()
	w.links = append(w.links, made)
	w.mu.Unlock()
	return made.Addr(), nil
}

func (w *world) startNode(config Config, number int) (*node, error) {
	target, err := netip.ParseAddrPort(w.deployment.StoreURL()[len("http://"):])
	if err != nil {
		return nil, eris.Wrap(err, "read the store's address")
	}
	started := &node{settings: w.deployment.NodeSettings(fmt.Sprintf("n%d", number), zones[number%len(zones)])}
	if started.store, err = proxy.New(proxy.Config{Target: target, Delay: linkLag}); err != nil {
		return nil, err
	}
	started.settings.Store.URL = "http://" + started.store.Addr().String()
	started.settings.Bounds.Grace = grace
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
		return nil, eris.Wrap(err, "make a log")
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

func (w *world) close() {
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

func (w *world) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for _, one := range w.nodes {
		for !one.ready() {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return eris.Errorf("node %s is not ready in time", one.settings.Node)
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

// begin starts the clock of the plan.
func (w *world) begin() { w.began = time.Now() }

// befall lets the faults of a plan come, and waits for the last one's end.
func (w *world) befall(ctx context.Context, plan []Fault, out io.Writer) error {
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

// noted records a fault from now on, and returns what ends it.
func (w *world) noted(kind Kind, target *node) (end func()) {
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

// met tells whether any fault that matters was there in a span of time.
func (w *world) met(from, until time.Time, matters func(event) bool) bool {
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

// calmLength is how long all must be well at the end of a run.
const calmLength = 4 * time.Second

// settleTime is how long after the last fault all must be well again.
const settleTime = 8 * time.Second

// awaitCalm lets the system settle, and returns when it must have.
func (w *world) awaitCalm(ctx context.Context) time.Time {
	settled := time.Now().Add(settleTime)
	select {
	case <-ctx.Done():
	case <-time.After(settleTime + calmLength):
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
