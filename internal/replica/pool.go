// Package replica knows the back-end replicas: it follows the machine list,
// chooses replicas, keeps connections and limits, and sends sub-requests and
// calls that may not be repeated.
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

// defaultMaxReplyBytes bounds one reply of a back end.
const defaultMaxReplyBytes = 8 << 20

// PoolOptions are what a Pool needs. Zero values take defaults.
type PoolOptions struct {
	Board *blackboard.Board
	// Self is where this daemon runs.
	Self topology.Place
	// Tracker learns of leaving replicas; nil means nobody does.
	Tracker *Tracker
	// Peers reaches replicas beyond this daemon's connection budget; nil means
	// that they cannot be reached.
	Peers PeerForwarder
	// Protocol defaults to ProtocolHTTP1.
	Protocol Protocol
	// MaxReplyBytes bounds one reply.
	MaxReplyBytes int64
	// Dial opens a connection; the default is plain TCP.
	Dial dialFunc
	// Post replaces the HTTP exchange with a replica; nil means net/http. It is
	// also called for the GET of backendapi.StatusPath, without a body.
	Post PostFunc
	// TLS is for back ends that speak it, over HTTP/1.1; nil means plain.
	TLS *tls.Config
	// Codec gives messages their headers; nil means that none are forwarded.
	Codec upstream.Codec
	// DialUpstream opens the connections of messages; nil means plain TCP.
	DialUpstream upstream.DialFunc
	// GroupRetryBudget returns the retry budget of a group; nil means that all groups
	// share one for each set of terms.
	GroupRetryBudget func(group string) decision.Budget
	// OnAddressReused is told, once, of a replica at whose address another process answers.
	OnAddressReused func(topology.Replica)
	Now             func() time.Time
	Random          func() uint64
	// Background runs work beside the requests that ask for it; nil means that
	// a request waits for it.
	Background func(work func())
	Registerer prometheus.Registerer
}

// Pool holds a handle for each replica process that takes new work.
type Pool struct {
	options PoolOptions
	metrics *poolMetrics
	budgets RetryBudgets
	places  PlaceHealthMap

	view       atomic.Pointer[view]
	mutex      sync.Mutex // taken to rebuild the view
	rebuilding atomic.Bool
	rebuildAt  atomic.Int64 // Unix time in nanoseconds before which none begins
}

// view is the pool's picture of one pair of blackboard sections.
type view struct {
	replicas *topology.Replicas
	members  *topology.Members
	groups   map[string]*group
	handles  map[process]*Handle
	routes   map[route]*Handle
	plan     *ConnectionPlan
	// probed are the replicas that this daemon probes, by address.
	probed []*Handle
}

// group is one replica group; its state outlives views.
type group struct {
	state *GroupHealth
	// handles are the replicas in reach; routes lead through peers.
	handles []*Handle
	routes  []*Handle
}

// scheme is the scheme of the back ends' URLs.
func (o *PoolOptions) scheme() string {
	if o.TLS != nil {
		return "https"
	}
	return "http"
}

// NewPool makes a Pool.
func NewPool(options PoolOptions) *Pool {
	if options.Protocol == "" {
		options.Protocol = ProtocolHTTP1
	}
	if options.MaxReplyBytes <= 0 {
		options.MaxReplyBytes = defaultMaxReplyBytes
	}
	if options.Dial == nil {
		options.Dial = plainDial
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	pool := &Pool{options: options, metrics: newPoolMetrics(options.Registerer)}
	pool.view.Store(&view{groups: map[string]*group{}, handles: map[process]*Handle{}})
	return pool
}

// current returns the view of what the blackboard holds now.
func (p *Pool) current() *view {
	replicas, members := p.options.Board.Replicas.Load(), p.options.Board.Members.Load()
	seen := p.view.Load()
	if seen.replicas == replicas && seen.members == members {
		return seen
	}
	if seen.replicas != replicas || seen.plan == nil || p.options.Background == nil {
		return p.rebuild()
	}
	p.rebuildInBackground()
	return seen
}

// rebuildInterval is the least time between two divisions of the connections
// for changes of the daemons alone. The reserve of connections covers it.
const rebuildInterval = 2 * time.Second

// rebuildInBackground lets requests go on with the view of earlier members,
// as dividing the connections of thousands of replicas takes milliseconds.
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
	seen := p.view.Load()
	if seen.replicas == replicas && seen.members == members {
		return seen
	}
	next := &view{
		replicas: replicas, members: members, groups: map[string]*group{},
		handles: map[process]*Handle{}, routes: map[route]*Handle{}, plan: seen.plan,
	}
	if seen.members != members || seen.plan == nil {
		next.plan = planOf(members)
	}
	if seen.replicas == replicas && seen.plan != nil && next.plan.sameHolders(seen.plan) && next.sameSharing(seen) {
		next.groups, next.handles, next.routes, next.probed = seen.groups, seen.handles, seen.routes, seen.probed
		p.view.Store(next)
		return next
	}
	if replicas != nil {
		for name, listed := range replicas.Groups {
			next.groups[name] = p.buildGroup(seen, next, name, listed)
		}
	}
	slices.SortFunc(next.probed, func(a, b *Handle) int { return compareReplicas(a.replica, b.replica) })
	p.view.Store(next)
	for key, handle := range seen.handles {
		if next.handles[key] == nil {
			handle.retire()
		}
	}
	return next
}

func planOf(members *topology.Members) *ConnectionPlan {
	if members == nil {
		members = &topology.Members{}
	}
	return NewConnectionPlan(*members)
}

func (p *Pool) buildGroup(seen, next *view, name string, listed []topology.Replica) *group {
	built := &group{state: &GroupHealth{}}
	if known := seen.groups[name]; known != nil {
		built.state = known.state
	}
	usable := takingWork(listed)
	shares := next.plan.AllocateGroup(name, usable)
	for i, replica := range usable {
		budget := shares.Budget(i)
		if budget == 0 {
			continue
		}
		key := process{replica.Address, replica.Incarnation}
		handle := seen.handles[key]
		if handle == nil {
			handle = newHandle(p, built.state, replica)
			if p.options.Codec != nil {
				handle.startSlowly()
			}
		}
		handle.setBudget(budget)
		handle.setRest(next.standby())
		handle.vanished.Store(replica.State == topology.ReplicaMissing)
		handle.cold.set(next.coldShare(replica))
		next.handles[key] = handle
		built.handles = append(built.handles, handle)
		if shares.Probes(i) {
			next.probed = append(next.probed, handle)
		}
	}
	if len(built.handles) < len(usable) {
		p.addRoutes(seen, next, built, shares, usable)
	}
	return built
}

// unlimitedConnections is used for a replica that states no limit.
const unlimitedConnections = 1024

func takingWork(listed []topology.Replica) []topology.Replica {
	usable := make([]topology.Replica, 0, len(listed))
	for _, replica := range listed {
		if replica.State.AcceptsRequests() {
			usable = append(usable, replica)
		}
	}
	return usable
}

// HasReplicas is true when a usable replica of each group of a list is known.
func (p *Pool) HasReplicas(groups []string) bool {
	seen := p.current()
	for _, name := range groups {
		if found := seen.groups[name]; found == nil || len(found.handles)+len(found.routes) == 0 {
			return false
		}
	}
	return true
}

// LatencyQuantile returns a quantile of a group's recent latencies, 0 while
// too few are known.
func (p *Pool) LatencyQuantile(groupName string, quantile float64) time.Duration {
	found := p.current().groups[groupName]
	if found == nil {
		return 0
	}
	return found.state.LatencyQuantile(quantile)
}

// SharedRetryBudget returns the retry budget that all queries on the same terms share.
func (p *Pool) SharedRetryBudget(retry policy.Retry) decision.Budget { return p.budgets.Of(retry) }

// PlanShard fills in what a shard is waited for, and its budget.
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
	return p.budgets.Of(row.Retry)
}

// standby is true for a node to which callers are not led.
func (v *view) standby() bool { return v.members != nil && v.members.Standby }

// Sweep closes the connections that have rested for too long.
func (p *Pool) Sweep(now time.Time) {
	for _, handle := range p.current().handles {
		if handle.upstream != nil {
			handle.upstream.Sweep(now)
		}
	}
}

// usualGroup is the number of replicas for which Acquire needs no memory.
const usualGroup = 8

// Acquire chooses a replica of a group that was not tried yet and counts a
// request in flight to it, until Search or Call ends it. Where no replica in
// reach can take it, the handle leads through a peer. It returns nil when
// there is none.
func (p *Pool) Acquire(groupName string, weights policy.Replicas, tried []*Handle) *Handle {
	if len(tried) > 0 {
		return p.acquire(groupName, weights, tried, decision.ChooseAlternate)
	}
	return p.acquire(groupName, weights, tried, decision.ChooseReplica)
}

// chooser is decision.ChooseReplica or decision.ChooseAnother.
type chooser func(candidates []decision.Candidate, weights policy.Replicas, random uint64) int

func (p *Pool) acquire(groupName string, weights policy.Replicas, tried []*Handle, choose chooser) *Handle {
	found := p.current().groups[groupName]
	if found == nil {
		return nil
	}
	if len(found.routes) == 0 {
		return p.acquireFrom(found.handles, weights, tried, anyHealth, choose)
	}
	for _, health := range []healthWanted{goodHealth, anyHealth} {
		if handle := p.acquireFrom(found.handles, weights, tried, health, choose); handle != nil {
			return handle
		}
		if handle := p.acquireFrom(found.routes, weights, tried, health, choose); handle != nil {
			return handle
		}
	}
	return nil
}

// healthWanted says which handles may be chosen.
type healthWanted int

const (
	anyHealth healthWanted = iota
	// goodHealth leaves out the ejected, those that refuse for load, and those at
	// their limit.
	goodHealth
)

// acquireInReach is Acquire without the ways through peers.
func (p *Pool) acquireInReach(groupName string, weights policy.Replicas) *Handle {
	found := p.current().groups[groupName]
	if found == nil {
		return nil
	}
	return p.acquireFrom(found.handles, weights, nil, anyHealth, decision.ChooseReplica)
}

func (p *Pool) acquireFrom(handles []*Handle, weights policy.Replicas, tried []*Handle, health healthWanted, choose chooser) *Handle {
	now := p.options.Now()
	return p.chooseFrom(handles, weights, tried, choose, now, func(handle *Handle) decision.Candidate {
		candidate := handle.candidate(now)
		unfit := candidate.Ejected || candidate.BackingOff || candidate.InFlight >= candidate.Limit
		candidate.Tried = health == goodHealth && unfit
		return candidate
	})
}

// chooseFrom describes some handles, chooses one that was not tried, and counts
// a request in flight to it.
func (p *Pool) chooseFrom(handles []*Handle, weights policy.Replicas, tried []*Handle, choose chooser, now time.Time, describe func(*Handle) decision.Candidate) *Handle {
	var space [usualGroup]decision.Candidate
	candidates := space[:0]
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
		if handle.cold.pass(now) {
			handle.Begin()
			return handle
		}
		candidates[chosen].Excluded = true // another request has taken its place meanwhile
	}
}

// Close ends all idle connections.
func (p *Pool) Close() {
	for _, handle := range p.current().handles {
		handle.closeIdle()
	}
}
