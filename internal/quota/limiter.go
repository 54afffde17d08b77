package quota

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// maxWait bounds how long a request waits for the accounts of other nodes.
	maxWait = 60 * time.Millisecond
	// reviewInterval is the interval at which the known nodes and limits are read.
	reviewInterval = 100 * time.Millisecond
	// underLimitAfter is the time without a refusal after which a tenant is under its limit again.
	underLimitAfter = 5 * time.Second
	// maxListed bounds the lists of State.
	maxListed = 20
	// maxLoggedTenants bounds the log lines of tenants at their limit, per review.
	maxLoggedTenants = 10
)

// Config configures a Limiter.
type Config struct {
	// Node is the ID of this node.
	Node   string
	Bounds Bounds
	// Nodes returns the known nodes, Table the routing table; nil before they are known.
	Nodes func() *topology.Nodes
	Table func() *routing.Table
	// Send sends a datagram to another node.
	Send func(to netip.AddrPort, content []byte) error
	// Now is the elapsed time; nil means elapsed.Monotonic.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Limiter is the shared quota of one node.
type Limiter struct {
	config Config
	mutex  sync.Mutex
	core   *Core
	// changed is closed and replaced when a report arrives.
	changed chan struct{}
	// wake has a value if a report may be due earlier than Run expects.
	wake    chan struct{}
	nodes   *topology.Nodes
	table   *routing.Table
	limited map[*account]bool // logged as being at the limit
	silent  int               // logged as silent
	problem string            // logged as the problem of the bounds
	names   map[uint64]string // of nodes
	metrics metrics
}

type metrics struct {
	requests  *prometheus.CounterVec
	datagrams *prometheus.CounterVec
	bytes     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, l *Limiter) metrics {
	m := metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_quota_requests_total", Help: "Requests of tenants with a limit, by decision.",
		}, []string{"result"}),
		datagrams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_quota_datagrams_total", Help: "Reports of the shared quota, by whether they were sent, received or invalid.",
		}, []string{"direction"}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "doorpondd_quota_sent_bytes_total", Help: "Bytes of the reports that were sent.",
		}),
	}
	if registerer != nil {
		gauge := func(name, help string, value func() int) prometheus.Collector {
			return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
				l.mutex.Lock()
				defer l.mutex.Unlock()
				return float64(value())
			})
		}
		registerer.MustRegister(m.requests, m.datagrams, m.bytes,
			gauge("doorpondd_quota_accounts", "Accounts of tenants that this node keeps.", func() int { return len(l.core.accounts) }),
			gauge("doorpondd_quota_silent_nodes", "Nodes whose share of the limits is reserved, as they do not report.", func() int { return l.core.silent.len() }),
			gauge("doorpondd_quota_tenants_at_limit", "Tenants that this node refuses requests of.", func() int { return len(l.limited) }),
		)
	}
	return m
}

// New returns a Limiter. It exchanges reports while Run is running.
func New(config Config) *Limiter {
	if config.Now == nil {
		config.Now = elapsed.Monotonic
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	l := &Limiter{
		config: config, changed: make(chan struct{}), wake: make(chan struct{}, 1), limited: make(map[*account]bool), names: make(map[uint64]string),
	}
	l.core = NewCore(CoreConfig{Self: NodeID(config.Node), Incarnation: rand.Uint64() | 1, Bounds: config.Bounds, Now: config.Now()})
	l.metrics = newMetrics(config.Registerer, l)
	return l
}

// Admit implements ingress.Quota.
func (l *Limiter) Admit(ctx context.Context, tenant *routing.Tenant) (refund func(), err error) {
	if tenant.Limit.Unlimited() {
		return func() {}, nil
	}
	deadline := l.config.Now() + maxWait
	for {
		l.mutex.Lock()
		l.review()
		now := l.config.Now()
		decision := l.core.Admit(now, tenant.Name, tenant.Limit, now < deadline)
		changed := l.changed
		l.mutex.Unlock()
		if decision.Wait {
			l.awaken()
			l.await(ctx, changed, deadline-now)
			continue
		}
		l.awaken()
		if !decision.Admitted {
			l.metrics.requests.WithLabelValues(string(decision.Reason)).Inc()
			return nil, failure.New(failure.QuotaExceeded, "tenant's limit: "+string(decision.Reason)).
				WithNotRun(true).WithRetryAfter(decision.RetryAfter)
		}
		l.metrics.requests.WithLabelValues("admitted").Inc()
		var once sync.Once
		return func() { once.Do(func() { l.refund(tenant.Name) }) }, nil
	}
}

func (l *Limiter) refund(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.core.Refund(l.config.Now(), name)
}

// await waits until a report arrives, ctx ends or the time has passed.
func (l *Limiter) await(ctx context.Context, changed <-chan struct{}, atMost time.Duration) {
	timer := time.NewTimer(max(0, atMost))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		<-timer.C // the request has no caller; it is decided like others
	}
}

// awaken makes Run look at what is due.
func (l *Limiter) awaken() {
	l.mutex.Lock()
	due, ok := l.core.Due(l.config.Now())
	urgent := ok && due < l.core.nextHeartbeat
	l.mutex.Unlock()
	if urgent {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Receive handles a datagram from another node.
func (l *Limiter) Receive(from netip.AddrPort, content []byte) {
	l.mutex.Lock()
	l.review()
	err := l.core.Receive(l.config.Now(), from, content)
	close(l.changed)
	l.changed = make(chan struct{})
	l.mutex.Unlock()
	if err != nil {
		l.metrics.datagrams.WithLabelValues("invalid").Inc()
		l.config.Logger.Debug("dropped an invalid report of the shared quota", "from", from.String(), "error", err.Error())
		return
	}
	l.metrics.datagrams.WithLabelValues("received").Inc()
	l.awaken()
}

// review applies changes of the known nodes and of the table. l.mutex must be held.
func (l *Limiter) review() {
	now := l.config.Now()
	if nodes := l.config.Nodes(); nodes != nil && nodes != l.nodes {
		l.nodes = nodes
		l.applyNodes(now, nodes)
	}
	if table := l.config.Table(); table != nil && table != l.table {
		l.table = table
		limits := make(map[uint64]TenantLimit)
		for tenant := range table.Tenants() {
			if !tenant.Limit.Unlimited() {
				limits[TenantID(tenant.Name)] = TenantLimit{Name: tenant.Name, Limit: tenant.Limit}
			}
		}
		l.core.SetLimits(now, limits)
	}
}

// peersOf returns the nodes other than this one that have an address for datagrams.
func (l *Limiter) peersOf(nodes []topology.Node) []Peer {
	peers := make([]Peer, 0, len(nodes))
	for i := range nodes {
		address, err := netip.ParseAddrPort(nodes[i].PeerAddress)
		if err == nil && nodes[i].ID != l.config.Node {
			peers = append(peers, Peer{ID: NodeID(nodes[i].ID), Address: address})
		}
	}
	return peers
}

func (l *Limiter) applyNodes(now time.Duration, nodes *topology.Nodes) {
	known := make(map[uint64]bool, len(nodes.Nodes))
	clear(l.names)
	for i := range nodes.Nodes {
		id := NodeID(nodes.Nodes[i].ID)
		known[id] = true
		l.names[id] = nodes.Nodes[i].ID
	}
	entries := l.peersOf(nodes.EntryNodes)
	isEntry := make(map[uint64]bool, len(entries))
	for _, entry := range entries {
		isEntry[entry.ID] = true
	}
	standby := slices.DeleteFunc(l.peersOf(nodes.Nodes), func(peer Peer) bool { return isEntry[peer.ID] })
	selfIsEntry := slices.ContainsFunc(nodes.EntryNodes, func(node topology.Node) bool { return node.ID == l.config.Node })
	l.core.SetNodes(now, entries, standby, selfIsEntry, known)
	problem := ""
	if err := l.config.Bounds.Check(len(entries) + 1); err != nil {
		problem = err.Error()
	}
	if problem != "" && problem != l.problem {
		l.config.Logger.Warn("tenants' limits hold only while all nodes reach each other", "error", problem, "entry_nodes", len(entries)+1)
	}
	l.problem = problem
}

// Run sends reports until ctx is done, and then returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-l.wake:
		}
		timer.Reset(l.step())
	}
}

// step sends what is due and returns the time until the next step.
func (l *Limiter) step() time.Duration {
	l.mutex.Lock()
	l.review()
	now := l.config.Now()
	datagrams := l.core.Tick(now)
	lines := l.changes(now)
	due, ok := l.core.Due(now)
	l.mutex.Unlock()
	for _, d := range datagrams {
		if l.config.Send(d.To, d.Content) == nil {
			l.metrics.bytes.Add(float64(len(d.Content)))
		}
	}
	l.metrics.datagrams.WithLabelValues("sent").Add(float64(len(datagrams)))
	for _, line := range lines {
		l.config.Logger.Info(line.message, line.attributes...)
	}
	if !ok {
		return 5 * reviewInterval
	}
	return max(time.Millisecond, due-now)
}

type logLine struct {
	message    string
	attributes []any
}

// changes returns log lines of what has changed. l.mutex must be held.
func (l *Limiter) changes(now time.Duration) []logLine {
	var lines []logLine
	if silent := l.core.silent.len(); silent != l.silent {
		message := "nodes are silent; their share of the tenants' limits is reserved"
		if silent < l.silent {
			message = "silent nodes report again or are gone"
		}
		lines = append(lines, logLine{message, []any{"silent", silent, "before", l.silent, "entry_nodes", l.core.entries}})
		l.silent = silent
	}
	for _, a := range l.core.recent {
		if !a.atLimit || l.core.accounts[a.tenant] != a {
			continue
		}
		if !l.limited[a] {
			l.limited[a] = true
			if len(lines) < maxLoggedTenants {
				lines = append(lines, logLine{"tenant reached its limit", []any{"tenant", a.name, "rate", a.limit.PerSecond, "burst", a.limit.Burst,
					"demand", fmt.Sprintf("%.1f", a.totalDemand(now)), "reserved", fmt.Sprintf("%.2f", a.reserved)}})
			}
		}
		if now-a.refusedAt > underLimitAfter {
			a.atLimit = false
			delete(l.limited, a)
			if len(lines) < maxLoggedTenants {
				lines = append(lines, logLine{"tenant is under its limit again", []any{"tenant", a.name, "limited_for",
					(now - a.limitedSince).Round(time.Millisecond).String(), "refused", a.refused}})
			}
		}
	}
	for a := range l.limited {
		if l.core.accounts[a.tenant] != a {
			delete(l.limited, a)
		}
	}
	return lines
}

// State is the state of the shared quota for operators.
type State struct {
	// Accounts is the number of accounts, Tenants those with most refusals.
	Accounts int           `json:"accounts"`
	Tenants  []TenantState `json:"tenants"`
	// Peers are the nodes with the oldest reports.
	Peers []PeerState `json:"peers"`
}

// TenantState is the state of a tenant's account on one node.
type TenantState struct {
	Tenant   string            `json:"tenant"`
	Rate     float64           `json:"rate"`
	Burst    float64           `json:"burst"`
	Balance  float64           `json:"balance"`
	Demand   float64           `json:"demand"`
	Reserved float64           `json:"reserved"`
	AtLimit  bool              `json:"at_limit"`
	Admitted uint64            `json:"admitted"`
	Refused  uint64            `json:"refused"`
	Reasons  map[Reason]uint64 `json:"reasons,omitempty"`
}

// PeerState is the age of the last report of a node.
type PeerState struct {
	Node            string `json:"node"`
	AgeMilliseconds int64  `json:"age_ms"`
	Silent          bool   `json:"silent"`
}

// State returns the state for operators. Its lists are bounded.
func (l *Limiter) State() State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.config.Now()
	s := State{Accounts: len(l.core.accounts), Tenants: []TenantState{}, Peers: []PeerState{}}
	for _, a := range l.core.accounts {
		if a.admitted+a.refused == 0 {
			continue
		}
		l.core.reconcile(a, now)
		s.Tenants = append(s.Tenants, TenantState{
			Tenant: a.name, Rate: a.limit.PerSecond, Burst: a.limit.Burst, Balance: a.balance, Demand: a.totalDemand(now),
			Reserved: a.reserved, AtLimit: a.atLimit, Admitted: a.admitted, Refused: a.refused, Reasons: a.reasons(),
		})
	}
	slices.SortFunc(s.Tenants, func(x, y TenantState) int {
		if x.Refused != y.Refused {
			return compareDescending(x.Refused, y.Refused)
		}
		return compareDescending(x.Admitted, y.Admitted)
	})
	s.Tenants = s.Tenants[:min(len(s.Tenants), maxListed)]
	for id, p := range l.core.peers.all() {
		age := int64(-1)
		if p.heard {
			age = (now - p.heardAt).Milliseconds()
		}
		s.Peers = append(s.Peers, PeerState{Node: l.names[id], AgeMilliseconds: age, Silent: p.silent})
	}
	slices.SortFunc(s.Peers, func(x, y PeerState) int { return compareDescending(x.AgeMilliseconds, y.AgeMilliseconds) })
	s.Peers = s.Peers[:min(len(s.Peers), maxListed)]
	return s
}

func compareDescending[T int64 | uint64](x, y T) int {
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	default:
		return 0
	}
}
