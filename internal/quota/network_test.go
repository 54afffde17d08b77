package quota

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// testBounds are those of the target deployment.
var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// network runs cores on virtual time, with datagrams that are delayed and lost.
type network struct {
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  uint64
	nodes  []*testNode
	limits map[uint64]TenantLimit
	loss   float64
	// side is the side of a partition that a node is on.
	side    map[int]int
	standby map[int]bool
	// gone are the nodes whose entries are gone from the store, and hidden[i] - 1 a node that node
	// i does not know.
	gone        map[int]bool
	hidden      map[int]int
	datagrams   int
	bytes       int
	incarnation uint64
	// arrivals and admissions are the times of each tenant's requests.
	arrivals, admissions map[string][]time.Duration
	waited               int
	refusals             map[Reason]int
	onRefusal            func(node *testNode, retryAfter time.Duration)
}

type testNode struct {
	index   int
	core    *Core
	frozen  bool
	stopped bool
	queued  []event
	ticks   uint64
	due     time.Duration // of the scheduled tick, of dueOf
	dueOf   *Core
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newNetwork(seed uint64, nodes int, tenants map[string]routing.RateLimit) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 1)), limits: make(map[uint64]TenantLimit), loss: 0.01, side: map[int]int{}, standby: map[int]bool{}, gone: map[int]bool{}, hidden: map[int]int{},
		arrivals: map[string][]time.Duration{}, admissions: map[string][]time.Duration{}, refusals: map[Reason]int{}, now: time.Hour,
	}
	for name, limit := range tenants {
		n.limits[TenantID(name)] = TenantLimit{Name: name, Limit: limit}
	}
	for i := range nodes {
		n.nodes = append(n.nodes, &testNode{index: i})
	}
	for _, node := range n.nodes {
		n.start(node)
	}
	return n
}

// add adds a node that starts now.
func (n *network) add() *testNode {
	node := &testNode{index: len(n.nodes)}
	n.nodes = append(n.nodes, node)
	n.start(node)
	for _, other := range n.nodes {
		n.configure(other)
	}
	return node
}

func nodeID(index int) uint64 { return NodeID(string(rune('A' + index))) }

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}), 7740)
}

func indexOf(address netip.AddrPort) int {
	b := address.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// start starts a node's process.
func (n *network) start(node *testNode) {
	n.incarnation++
	node.core = NewCore(CoreConfig{Self: nodeID(node.index), Incarnation: n.incarnation, Bounds: testBounds, Now: n.now})
	node.stopped, node.frozen, node.queued = false, false, nil
	n.configure(node)
}

func (n *network) configure(node *testNode) {
	var entries, standby []Peer
	known := make(map[uint64]bool)
	for i := range n.nodes {
		if i == node.index || n.gone[i] || n.hidden[node.index] == i+1 {
			continue
		}
		id := nodeID(i)
		known[id] = true
		if n.standby[i] {
			standby = append(standby, Peer{ID: id, Address: address(i)})
			continue
		}
		entries = append(entries, Peer{ID: id, Address: address(i)})
	}
	node.core.SetNodes(n.now, entries, standby, !n.standby[node.index], known)
	node.core.SetLimits(n.now, n.limits)
	n.schedule(node)
}

// setLimits puts other limits in force on all nodes.
func (n *network) setLimits(tenants map[string]routing.RateLimit) {
	n.limits = make(map[uint64]TenantLimit)
	for name, limit := range tenants {
		n.limits[TenantID(name)] = TenantLimit{Name: name, Limit: limit}
	}
	for _, node := range n.nodes {
		n.configure(node)
	}
}

func (n *network) at(at time.Duration, do func()) {
	n.order++
	heap.Push(&n.queue, event{max(at, n.now), n.order, do})
}

// schedule ticks a node when it is due.
func (n *network) schedule(node *testNode) {
	due, ok := node.core.Due(n.now)
	if !ok {
		return
	}
	if due == node.due && node.core == node.dueOf {
		return
	}
	node.due, node.dueOf = due, node.core
	node.ticks++
	tick, core := node.ticks, node.core
	n.at(due, func() {
		if tick == node.ticks && core == node.core && !node.stopped {
			node.due = 0
			n.onNode(node, func() { n.send(node, node.core.Tick(n.now)) })
		}
	})
}

// onNode runs do on a node, when it is not frozen.
func (n *network) onNode(node *testNode, do func()) {
	if node.stopped {
		return
	}
	if node.frozen {
		node.queued = append(node.queued, event{do: do})
		return
	}
	do()
	n.schedule(node)
}

func (n *network) thaw(node *testNode) {
	queued := node.queued
	node.frozen, node.queued = false, nil
	for _, e := range queued {
		e.do()
	}
	n.schedule(node)
}

func (n *network) send(from *testNode, datagrams []Datagram) {
	near := 400*time.Microsecond + time.Duration(n.random.Int64N(int64(600*time.Microsecond)))
	// The datagrams of one report that arrive at one time are one event, so that large fleets run in
	// little time.
	type group struct {
		content *byte
		delay   time.Duration
	}
	receivers := make(map[group][]int)
	var groups []group
	contents := make(map[*byte]*report)
	for _, d := range datagrams {
		to := indexOf(d.To)
		n.datagrams++
		n.bytes += len(d.Content) + 29
		if n.random.Float64() < n.loss {
			continue
		}
		delay := near
		if from.index%3 != to%3 {
			delay = 12 * time.Millisecond
		}
		g := group{&d.Content[0], delay}
		if contents[g.content] == nil {
			r, err := decode(d.Content)
			if err != nil {
				panic(err)
			}
			contents[g.content] = r
		}
		if receivers[g] == nil {
			groups = append(groups, g)
		}
		receivers[g] = append(receivers[g], to)
	}
	for _, g := range groups {
		n.at(n.now+g.delay, func() {
			for _, to := range receivers[g] {
				if n.side[from.index] == n.side[to] {
					node := n.nodes[to]
					n.onNode(node, func() { node.core.receive(n.now, address(from.index), contents[g.content]) })
				}
			}
		})
	}
}

// request sends a request of a tenant to a node.
func (n *network) request(node *testNode, tenant string) {
	sentAt := n.now
	n.arrivals[tenant] = append(n.arrivals[tenant], sentAt)
	n.onNode(node, func() { n.admit(node, tenant, n.now) })
}

func (n *network) admit(node *testNode, tenant string, since time.Duration) {
	limit := n.limits[TenantID(tenant)].Limit
	decision := node.core.Admit(n.now, tenant, limit, n.now-since < 60*time.Millisecond)
	switch {
	case decision.Wait:
		n.waited++
		n.at(n.now+5*time.Millisecond, func() { n.onNode(node, func() { n.admit(node, tenant, since) }) })
	case decision.Admitted:
		n.admissions[tenant] = append(n.admissions[tenant], n.now)
	default:
		n.refusals[decision.Reason]++
		if n.onRefusal != nil {
			n.onRefusal(node, decision.RetryAfter)
		}
	}
}

// run runs until the given time after the start of the test.
func (n *network) run(until time.Duration) {
	until += time.Hour
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.do()
	}
	n.now = until
}

// load sends requests at random times, at a rate that may depend on time, to the node that pick
// returns.
func (n *network) load(tenant string, from, to time.Duration, rate func(at time.Duration) float64, pick func(at time.Duration) int) {
	from, to = from+time.Hour, to+time.Hour
	var next func()
	next = func() {
		if r := rate(n.now - time.Hour); r > 0 {
			node := n.nodes[pick(n.now-time.Hour)]
			if !node.stopped {
				n.request(node, tenant)
			}
		}
		r := max(rate(n.now-time.Hour), 0.01)
		if at := n.now + time.Duration(n.random.ExpFloat64()/r*float64(time.Second)); at < to {
			n.at(at, next)
		}
	}
	n.at(from+time.Duration(n.random.ExpFloat64()/max(rate(from-time.Hour), 0.01)*float64(time.Second)), next)
}

func (n *network) anyNode(time.Duration) int { return n.random.IntN(len(n.nodes)) }

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// worstWindow returns the largest number of admissions in a window.
func worstWindow(times []time.Duration, window time.Duration) int {
	times = slices.Clone(times)
	slices.Sort(times)
	worst, first := 0, 0
	for i, at := range times {
		for times[first] < at-window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// exactBucket returns how many requests a single token bucket admits.
func exactBucket(times []time.Duration, limit routing.RateLimit) int {
	times = slices.Clone(times)
	slices.Sort(times)
	balance, admitted := limit.Burst, 0
	for i, at := range times {
		if i > 0 {
			balance = min(limit.Burst, balance+limit.PerSecond*(at-times[i-1]).Seconds())
		}
		if balance >= 1 {
			balance--
			admitted++
		}
	}
	return admitted
}

// result is the judgement of a run for a tenant.
type result struct {
	worst, bound  float64
	exact         int
	admitted      int
	share         float64
	datagramsPerS float64
	bytesPerS     float64
}

func (n *network) judge(tenant string) result {
	limit := n.limits[TenantID(tenant)].Limit
	r := result{worst: float64(worstWindow(n.admissions[tenant], testBounds.Window)), bound: testBounds.Max(limit),
		exact: exactBucket(n.arrivals[tenant], limit), admitted: len(n.admissions[tenant])}
	r.share = min(float64(r.admitted)/float64(max(1, r.exact)), 1)
	seconds := (n.now - time.Hour).Seconds()
	r.datagramsPerS = float64(n.datagrams) / seconds / float64(len(n.nodes))
	r.bytesPerS = float64(n.bytes) / seconds / float64(len(n.nodes))
	return r
}

// check fails the test if a window is over the bound, or too little was admitted.
func (n *network) check(t *testing.T, tenant string, least float64) {
	t.Helper()
	r := n.judge(tenant)
	t.Logf("%s: worst window %.0f of %.1f; admitted %d, exact bucket %d (%.3f); %d requests; refused %v; waited %d; per node %.0f datagrams/s, %.0f bytes/s",
		tenant, r.worst, r.bound, r.admitted, r.exact, r.share, len(n.arrivals[tenant]), n.refusals, n.waited, r.datagramsPerS, r.bytesPerS)
	if r.worst > r.bound {
		t.Errorf("%s: %.0f requests in a window, bound %.1f", tenant, r.worst, r.bound)
	}
	if r.share < least {
		t.Errorf("%s: admitted %.3f of what an exact token bucket admits, want %.3f", tenant, r.share, least)
	}
}
