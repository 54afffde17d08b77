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
	// Protocol defaults to ProtocolHTTP1.
	Protocol Protocol
	// MaxReplyBytes bounds one reply.
	MaxReplyBytes int64
	// Dial opens a connection; the default is plain TCP.
	Dial dialFunc
	// TLS is for back ends that speak it.
	TLS        *tls.Config
	Now        func() time.Time
	Random     func() uint64
	Registerer prometheus.Registerer
}

// Pool holds a handle for each replica process that takes new work.
type Pool struct {
	options PoolOptions
	metrics *poolMetrics

	view  atomic.Pointer[view]
	mutex sync.Mutex // taken to rebuild the view
}

// view is the pool's picture of one pair of blackboard sections.
type view struct {
	replicas *topology.Replicas
	members  *topology.Members
	groups   map[string]*group
	handles  map[process]*Handle
}

type group struct {
	state   *groupState
	handles []*Handle
}

// groupState outlives views.
type groupState struct {
	latency latencyWindow
	budgets sync.Map // budgetKey -> *decision.TokenBudget
}

type budgetKey struct{ ratio, burst float64 }

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
	return p.rebuild()
}

func (p *Pool) rebuild() *view {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replicas, members := p.options.Board.Replicas.Load(), p.options.Board.Members.Load()
	seen := p.view.Load()
	if seen.replicas == replicas && seen.members == members {
		return seen
	}
	next := &view{replicas: replicas, members: members, groups: map[string]*group{}, handles: map[process]*Handle{}}
	if replicas != nil {
		for name, listed := range replicas.Groups {
			next.groups[name] = p.buildGroup(seen, next, name, listed)
		}
	}
	p.view.Store(next)
	for key, handle := range seen.handles {
		if next.handles[key] == nil {
			handle.retire()
		}
	}
	return next
}

func (p *Pool) buildGroup(seen, next *view, name string, listed []topology.Replica) *group {
	built := &group{state: &groupState{}}
	if known := seen.groups[name]; known != nil {
		built.state = known.state
	}
	for _, replica := range listed {
		if replica.State == topology.ReplicaLeaving {
			continue
		}
		key := process{replica.Address, replica.Incarnation}
		handle := seen.handles[key]
		if handle == nil {
			handle = newHandle(p, replica)
		}
		handle.setBudget(p.connectionBudget(next.members, replica))
		next.handles[key] = handle
		built.handles = append(built.handles, handle)
	}
	return built
}

// unlimitedConnections is used for a replica that states no limit.
const unlimitedConnections = 1024

func (p *Pool) connectionBudget(members *topology.Members, replica topology.Replica) int {
	if replica.ConnectionLimit <= 0 {
		return unlimitedConnections
	}
	if members == nil {
		members = &topology.Members{}
	}
	return ConnectionBudget(*members, replica)
}

// Knows is true when a usable replica of each group of a list is known.
func (p *Pool) Knows(groups []string) bool {
	seen := p.current()
	for _, name := range groups {
		if found := seen.groups[name]; found == nil || len(found.handles) == 0 {
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
	return found.state.latency.Quantile(quantile)
}

// Budget returns the retry budget that all queries of a policy share for one
// group, or nil for an unknown group.
func (p *Pool) Budget(groupName string, retry policy.Retry) decision.Budget {
	found := p.current().groups[groupName]
	if found == nil {
		return nil
	}
	key := budgetKey{retry.BudgetRatio, retry.BudgetBurst}
	if budget, known := found.state.budgets.Load(key); known {
		return budget.(*decision.TokenBudget)
	}
	budget, _ := found.state.budgets.LoadOrStore(key, decision.NewTokenBudget(retry.BudgetRatio, retry.BudgetBurst))
	return budget.(*decision.TokenBudget)
}

// usualGroup is the number of replicas for which Acquire needs no memory.
const usualGroup = 8

// Acquire chooses a replica of a group that was not tried yet and counts a
// request in flight to it, until Search or Call ends it. It returns nil when
// there is none.
func (p *Pool) Acquire(groupName string, weights policy.Replicas, tried []*Handle) *Handle {
	found := p.current().groups[groupName]
	if found == nil {
		return nil
	}
	var space [usualGroup]decision.Candidate
	candidates := space[:0]
	now := p.options.Now()
	ejected := 0
	for _, handle := range found.handles {
		candidate := handle.candidate(now)
		candidate.Tried = slices.Contains(tried, handle)
		if candidate.Ejected {
			ejected++
		}
		candidates = append(candidates, candidate)
	}
	if 2*ejected > len(candidates) {
		forgiveAll(candidates) // most look bad: the fault is more likely elsewhere
	}
	chosen := decision.ChooseReplica(candidates, weights, p.options.Random())
	if chosen == decision.NoCandidate {
		return nil
	}
	handle := found.handles[chosen]
	handle.inFlight.Add(1)
	return handle
}

func forgiveAll(candidates []decision.Candidate) {
	for i := range candidates {
		candidates[i].Ejected = false
	}
}

// Close ends all idle connections.
func (p *Pool) Close() {
	for _, handle := range p.current().handles {
		handle.transport.CloseIdleConnections()
	}
}
