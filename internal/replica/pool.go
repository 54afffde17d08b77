// Package replica manages the connections and requests to backend replicas. It
// tracks the replicas from the machine list, selects replicas by health and
// distance, enforces connection and concurrency limits, and sends sub-requests
// and non-idempotent calls.
package replica

import (
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// defaultMaxReplyBytes is the default limit for the size of one backend reply.
const defaultMaxReplyBytes = 8 << 20

// PoolOptions configures a Pool.
type PoolOptions struct {
	Board *blackboard.Board
	// Self is the place of this daemon.
	Self topology.Place
	// Tracker is notified of leaving replicas. It may be nil.
	Tracker *Tracker
	// Peers forwards requests to replicas that this daemon's connection budget
	// does not cover. If nil, these replicas are not used.
	Peers PeerForwarder
	// Protocol defaults to ProtocolHTTP1.
	Protocol Protocol
	// MaxReplyBytes limits the size of one reply. It defaults to 8 MiB.
	MaxReplyBytes int64
	// Dial opens a connection. It defaults to TCP.
	Dial dialFunc
	// Post replaces the HTTP exchange with a replica; nil means net/http. It is
	// also called, with a nil body, for the GET of backendapi.StatusPath.
	Post PostFunc
	// TLS configures connections to backends, over HTTP/1.1 only; nil means
	// plaintext.
	TLS *tls.Config
	// Codec encodes and decodes the headers of messages. If nil, messages are
	// not supported.
	Codec upstream.Codec
	// DialUpstream opens connections for messages. It defaults to TCP.
	DialUpstream upstream.DialFunc
	// GroupRetryBudget returns the retry budget of a group. If nil, groups
	// share one budget per combination of retry parameters.
	GroupRetryBudget func(group string) decision.Budget
	// OnAddressReused is called once for each replica at whose address another
	// process answers.
	OnAddressReused func(topology.Replica)
	Now             func() time.Time
	Random          func() uint64
	// Background runs work asynchronously. If nil, the request that needs the
	// work waits for it.
	Background func(work func())
	Registerer prometheus.Registerer
}

// Pool holds a handle for each replica process that accepts new work.
type Pool struct {
	options      PoolOptions
	metrics      *poolMetrics
	retryBudgets RetryBudgets
	places       PlaceHealthMap

	view       atomic.Pointer[view]
	mutex      sync.Mutex // held while rebuilding the view
	rebuilding atomic.Bool
	rebuildAt  atomic.Int64 // earliest time of the next rebuild, Unix nanoseconds
}

// view is the pool's state for one version of the replica and member lists.
type view struct {
	replicas *topology.Replicas
	members  *topology.Members
	groups   map[string]*group
	handles  map[processID]*Handle
	routes   map[routeKey]*Handle
	plan     *ConnectionPlan
	// probed lists the replicas that this daemon probes, sorted by address.
	probed []*Handle
}

// group is one replica group. Its state is carried over from view to view.
type group struct {
	state *GroupHealth
	// pending counts the messages that have been admitted and wait for a replica.
	pending *atomic.Int64
	// handles lists directly connected replicas; routes lists handles through
	// peers.
	handles []*Handle
	routes  []*Handle
}

// scheme returns the URL scheme of the backends.
func (o *PoolOptions) scheme() string {
	if o.TLS != nil {
		return "https"
	}
	return "http"
}

// NewPool returns a Pool, applying defaults to zero-valued options.
func NewPool(options PoolOptions) *Pool {
	if options.Protocol == "" {
		options.Protocol = ProtocolHTTP1
	}
	if options.MaxReplyBytes <= 0 {
		options.MaxReplyBytes = defaultMaxReplyBytes
	}
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	pool := &Pool{options: options, metrics: newPoolMetrics(options.Registerer)}
	pool.view.Store(&view{groups: map[string]*group{}, handles: map[processID]*Handle{}})
	return pool
}

// current returns the view for the current replica and member lists, rebuilding
// it if necessary. If Background is set, member changes are applied
// asynchronously and the previous view is returned meanwhile.
func (p *Pool) current() *view {
	replicas, members := p.options.Board.Replicas.Load(), p.options.Board.Members.Load()
	prev := p.view.Load()
	if prev.replicas == replicas && prev.members == members {
		return prev
	}
	if prev.replicas != replicas || prev.plan == nil || p.options.Background == nil {
		return p.rebuild()
	}
	p.rebuildInBackground()
	return prev
}

// rebuildInterval is the minimum time between two rebuilds caused by member
// changes alone. Until then, connectionReserve covers new daemons.
const rebuildInterval = 2 * time.Second

// rebuildInBackground lets requests continue with the previous view, because
// dividing the connections of thousands of replicas takes milliseconds.
func (p *Pool) rebuildInBackground() {
	now := p.options.Now().UnixNano()
	if now < p.rebuildAt.Load() || p.rebuilding.Swap(true) {
		return
	}
	p.options.Background(func() {
		defer p.rebuilding.Store(false)
		defer p.rebuildAt.Store(now + int64(rebuildInterval))
		p.rebuild()
	})
}

func (p *Pool) rebuild() *view {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replicas, members := p.options.Board.Replicas.Load(), p.options.Board.Members.Load()
	prev := p.view.Load()
	if prev.replicas == replicas && prev.members == members {
		return prev
	}
	next := &view{
		replicas: replicas, members: members, groups: map[string]*group{},
		handles: map[processID]*Handle{}, routes: map[routeKey]*Handle{}, plan: prev.plan,
	}
	if prev.members != members || prev.plan == nil {
		next.plan = newPlan(members)
	}
	if prev.replicas == replicas && prev.plan != nil && next.plan.sameDaemons(prev.plan) && next.sameColdRateSharers(prev) {
		next.groups, next.handles, next.routes, next.probed = prev.groups, prev.handles, prev.routes, prev.probed
		p.view.Store(next)
		return next
	}
	if replicas != nil {
		for name, listed := range replicas.Groups {
			next.groups[name] = p.buildGroup(prev, next, name, listed)
		}
	}
	slices.SortFunc(next.probed, func(a, b *Handle) int { return compareReplicas(a.replica, b.replica) })
	p.view.Store(next)
	for key, handle := range prev.handles {
		if next.handles[key] == nil {
			handle.retire()
		}
	}
	return next
}

func newPlan(members *topology.Members) *ConnectionPlan {
	if members == nil {
		members = &topology.Members{}
	}
	return NewConnectionPlan(*members)
}

func (p *Pool) buildGroup(prev, next *view, name string, listed []topology.Replica) *group {
	built := &group{state: &GroupHealth{}, pending: &atomic.Int64{}}
	if known := prev.groups[name]; known != nil {
		built.state, built.pending = known.state, known.pending
	}
	accepting := acceptingWork(listed)
	connections := next.plan.AllocateGroup(name, accepting)
	for i, replica := range accepting {
		budget := connections.Budget(i)
		if budget == 0 {
			continue
		}
		key := processID{replica.Address, replica.Incarnation}
		handle := prev.handles[key]
		if handle == nil {
			handle = newHandle(p, built.state, replica)
			if p.options.Codec != nil {
				handle.slowStart()
			}
		}
		handle.setBudget(budget)
		handle.setStandby(next.standby())
		handle.vanished.Store(replica.State == topology.ReplicaVanished)
		handle.coldLimiter.setLimit(next.coldLimit(replica))
		next.handles[key] = handle
		built.handles = append(built.handles, handle)
		if connections.Probes(i) {
			next.probed = append(next.probed, handle)
		}
	}
	if len(built.handles) < len(accepting) {
		p.addPeerRoutes(prev, next, built, connections, accepting)
	}
	return built
}

// unlimitedConnections is the budget for a replica that declares no limit.
const unlimitedConnections = 1024

func acceptingWork(listed []topology.Replica) []topology.Replica {
	accepting := make([]topology.Replica, 0, len(listed))
	for _, replica := range listed {
		if replica.State.AcceptsRequests() {
			accepting = append(accepting, replica)
		}
	}
	return accepting
}

// HasReplicas reports whether a usable replica is known for each of the groups.
func (p *Pool) HasReplicas(groups []string) bool {
	current := p.current()
	for _, name := range groups {
		if found := current.groups[name]; found == nil || len(found.handles)+len(found.routes) == 0 {
			return false
		}
	}
	return true
}

// LatencyQuantile returns a quantile of a group's recent latencies, or 0 if
// there are too few samples.
func (p *Pool) LatencyQuantile(groupName string, quantile float64) time.Duration {
	found := p.current().groups[groupName]
	if found == nil {
		return 0
	}
	return found.state.LatencyQuantile(quantile)
}

// SharedRetryBudget returns the retry budget shared by all queries with the
// same retry parameters.
func (p *Pool) SharedRetryBudget(retry policy.Retry) decision.Budget { return p.retryBudgets.Of(retry) }

// PlanShard sets the retry budget, hedge delay and expected latency of a shard.
func (p *Pool) PlanShard(shard *decision.ShardPlan, row *policy.Row) {
	if found := p.current().groups[shard.Group]; found != nil {
		shard.Budget = p.GroupRetryBudget(shard.Group, row)
		found.state.PlanShard(shard, row)
	}
}

// GroupRetryBudget returns the retry budget of a group under a policy row.
func (p *Pool) GroupRetryBudget(group string, row *policy.Row) decision.Budget {
	if p.options.GroupRetryBudget != nil {
		return p.options.GroupRetryBudget(group)
	}
	return p.retryBudgets.Of(row.Retry)
}

// standby reports whether callers are not directed to this node.
func (v *view) standby() bool { return v.members != nil && v.members.Standby }

// Sweep closes idle connections that have exceeded their idle timeout.
func (p *Pool) Sweep(now time.Time) {
	for _, handle := range p.current().handles {
		if handle.upstream != nil {
			handle.upstream.CloseExpired(now)
		}
	}
}

// inlineCandidates is the number of candidates that Acquire handles without
// allocating.
const inlineCandidates = 8

// Acquire selects a replica of a group that is not in tried and counts a
// request in flight to it until Search or Call ends it. If no directly
// connected replica is suitable, the handle may forward through a peer. It
// returns nil if there is no replica.
func (p *Pool) Acquire(groupName string, weights policy.Replicas, tried []*Handle) *Handle {
	if len(tried) > 0 {
		return p.acquire(groupName, weights, tried, decision.ChooseAlternate)
	}
	return p.acquire(groupName, weights, tried, decision.ChooseReplica)
}

// chooser is decision.ChooseReplica or decision.ChooseAlternate.
type chooser func(candidates []decision.Candidate, weights policy.Replicas, random uint64) int

func (p *Pool) acquire(groupName string, weights policy.Replicas, tried []*Handle, choose chooser) *Handle {
	found := p.current().groups[groupName]
	if found == nil {
		return nil
	}
	if len(found.routes) == 0 {
		return p.acquireFrom(found.handles, weights, tried, anyHealth, choose)
	}
	for _, health := range []healthFilter{healthyOnly, anyHealth} {
		if handle := p.acquireFrom(found.handles, weights, tried, health, choose); handle != nil {
			return handle
		}
		if handle := p.acquireFrom(found.routes, weights, tried, health, choose); handle != nil {
			return handle
		}
	}
	return nil
}

// healthFilter restricts which handles may be selected.
type healthFilter int

const (
	anyHealth healthFilter = iota
	// healthyOnly excludes handles that are ejected, backing off or at their
	// limit.
	healthyOnly
)

// acquireDirect is Acquire without routes through peers.
func (p *Pool) acquireDirect(groupName string, weights policy.Replicas) *Handle {
	found := p.current().groups[groupName]
	if found == nil {
		return nil
	}
	return p.acquireFrom(found.handles, weights, nil, anyHealth, decision.ChooseReplica)
}

func (p *Pool) acquireFrom(handles []*Handle, weights policy.Replicas, tried []*Handle, health healthFilter, choose chooser) *Handle {
	now := p.options.Now()
	return p.chooseFrom(handles, weights, tried, choose, now, func(handle *Handle) decision.Candidate {
		candidate := handle.candidate(now)
		unhealthy := candidate.Ejected || candidate.BackingOff || candidate.InFlight >= candidate.Limit
		candidate.Tried = health == healthyOnly && unhealthy
		return candidate
	})
}

// chooseFrom selects one of the handles that is not in tried and counts a
// request in flight to it. describe returns the candidate for a handle.
func (p *Pool) chooseFrom(handles []*Handle, weights policy.Replicas, tried []*Handle, choose chooser, now time.Time, describe func(*Handle) decision.Candidate) *Handle {
	var buffer [inlineCandidates]decision.Candidate
	candidates := buffer[:0]
	for _, handle := range handles {
		candidate := describe(handle)
		candidate.Tried = candidate.Tried || slices.Contains(tried, handle)
		candidates = append(candidates, candidate)
	}
	if AllEjected(candidates) {
		for _, handle := range handles {
			handle.ShortenEjection(now)
		}
	}
	for {
		chosen := choose(candidates, weights, p.options.Random())
		if chosen == decision.NoCandidate {
			return nil
		}
		handle := handles[chosen]
		if handle.coldLimiter.admit(now) {
			handle.Begin()
			return handle
		}
		candidates[chosen].Excluded = true // a concurrent request used up the cold limit
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	for _, handle := range p.current().handles {
		handle.closeIdle()
	}
}
