package query_test

// Guards against work that is thrown away under overload: queries over many shards that are
// admitted although a shard cannot answer them, and that end with an error once the other shards
// have run.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// The simulated deployment: three regions with two nodes each, 36 shards with a replica in each
// region. All kinds of request arrive at loadFactor times their rate during the overload, while
// replicas are down.
const (
	loadShards     = 36
	loadRegions    = 3
	loadNodes      = 2 * loadRegions
	loadFactor     = 5
	replicaSlots   = 4
	replicaQueue   = 24
	replicaLimit   = 70 // connections
	loadPause      = 150 * time.Millisecond
	loadPauseEvery = 3600 * time.Millisecond
	regionDelay    = 12 * time.Millisecond
	zoneDelay      = 900 * time.Microsecond
	callerDelay    = time.Millisecond

	overloadFrom = 1500 * time.Millisecond
	overloadTo   = 5500 * time.Millisecond
	crashFrom    = 1800 * time.Millisecond
	crashTo      = 5200 * time.Millisecond
	normalFrom   = overloadTo + 2*time.Second // back to normal
	loadEnd      = 9 * time.Second
)

// loadKind is a kind of request. Its target carries the work in microseconds.
type loadKind struct {
	name                string
	rate                float64 // requests per second outside the overload
	work                time.Duration
	objective, deadline time.Duration
	value, lateValue    float64
	share               float64
	rank                int
}

var loadKinds = []loadKind{
	{"sweep", 69, 7500 * time.Microsecond, 150 * time.Millisecond, 1200 * time.Millisecond, 1.8, 0.089, 0.95, 1},
	{"check", 40, 2500 * time.Microsecond, 80 * time.Millisecond, 800 * time.Millisecond, 1.7, 0.068, 0.85, 2},
	{"fetch", 23, 60 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 0.45, 0.2, 0, 1},
}

// loadReplica is a replica with slots and a queue.
type loadReplica struct {
	mutex    sync.Mutex
	region   int
	speed    float64
	phase    time.Duration
	slots    chan struct{}
	accepted int // running and queued
	open     map[net.Conn]bool
	down     bool
	wasDown  bool
	slow     float64
	wasSlow  float64
}

// loadNetwork connects the nodes to the replicas.
type loadNetwork struct {
	started  time.Time
	replicas map[string]*loadReplica
}

// dialFrom returns the dial function of a node in a region.
func (n *loadNetwork) dialFrom(region int) upstream.DialFunc {
	return func(_ context.Context, address string) (net.Conn, error) {
		at := n.replicas[address]
		delay := zoneDelay
		if at.region != region {
			delay = regionDelay
		}
		time.Sleep(2 * delay)
		at.mutex.Lock()
		defer at.mutex.Unlock()
		if at.down {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		clientConn, serverConn := net.Pipe()
		if len(at.open) >= replicaLimit {
			go func() { _, _ = io.Copy(io.Discard, serverConn) }()
			return resetConnection{memoryConnection{clientConn}}, nil
		}
		at.open[serverConn] = true
		go n.serve(at, serverConn, delay)
		return memoryConnection{clientConn}, nil
	}
}

func (n *loadNetwork) serve(at *loadReplica, conn net.Conn, delay time.Duration) {
	defer func() {
		at.mutex.Lock()
		delete(at.open, conn)
		at.mutex.Unlock()
		_ = conn.Close()
	}()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	time.Sleep(delay)
	n.awaitPause(at)
	at.mutex.Lock()
	full := at.accepted >= replicaSlots+replicaQueue
	if !full {
		at.accepted++
	}
	at.mutex.Unlock()
	if full {
		time.Sleep(delay)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	at.slots <- struct{}{}
	n.awaitPause(at)
	work, _ := strconv.Atoi(request.URL.Path[1:])
	at.mutex.Lock()
	took := time.Duration(float64(work) * float64(time.Microsecond) * at.slow / at.speed)
	at.mutex.Unlock()
	time.Sleep(took)
	n.awaitPause(at)
	<-at.slots
	at.mutex.Lock()
	at.accepted--
	at.mutex.Unlock()
	time.Sleep(delay)
	body := make([]byte, routing.RecordBytes)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nSignature: s\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+string(body))
}

// awaitPause waits for the end of the replica's current pause.
func (n *loadNetwork) awaitPause(at *loadReplica) {
	if position := (time.Since(n.started) + at.phase) % loadPauseEvery; position < loadPause {
		time.Sleep(loadPause - position)
	}
}

// setDown ends or starts the process of a replica.
func (at *loadReplica) setDown(down bool) {
	at.mutex.Lock()
	defer at.mutex.Unlock()
	at.down = down
	at.wasDown = at.wasDown || down
	if down {
		for conn := range at.open {
			_ = conn.Close()
		}
	}
}

// setSlow makes a replica slower by slowFactor, or as fast as before.
func (at *loadReplica) setSlow(slow bool) {
	at.mutex.Lock()
	defer at.mutex.Unlock()
	at.wasSlow, at.slow = slowFactor, 1
	if slow {
		at.slow = slowFactor
	}
}

// loadFault selects the replicas that are down, or slower by the factor slow, during the overload.
type loadFault struct {
	name   string
	down   float64 // share of all replicas
	region bool    // the replicas of one region are down
	slow   float64 // share of the replicas that are slower by slowFactor
}

const slowFactor = 3

// loadSlice is the resolution of the counts.
const loadSlice = 100 * time.Millisecond

// loadCounts counts the requests of one kind that arrived in one second.
type loadCounts struct {
	requests, onTime, late int
	// Attempts by result: answered, refused with nothing run, failed after work.
	answered, refused, failed int
	value                     float64
	slowRefusals              int
}

type loadResult struct {
	mutex   sync.Mutex
	bySlice map[int]map[string]*loadCounts
	groups  [][]*loadReplica // by shard
	cached  map[string]float64
}

func (r *loadResult) of(slice int, kind string) *loadCounts {
	if r.bySlice[slice] == nil {
		r.bySlice[slice] = map[string]*loadCounts{}
	}
	if r.bySlice[slice][kind] == nil {
		r.bySlice[slice][kind] = &loadCounts{}
	}
	return r.bySlice[slice][kind]
}

func runOverload(t *testing.T, seed uint64, fault loadFault) *loadResult {
	t.Helper()
	result := &loadResult{bySlice: map[int]map[string]*loadCounts{}, cached: map[string]float64{}}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 3))
		network := &loadNetwork{started: time.Now(), replicas: map[string]*loadReplica{}}
		board := &blackboard.Board{}
		routes, groups := newLoadRoutes(network, random)
		for _, route := range routes[0].Shards {
			var members []*loadReplica
			for region := range loadRegions {
				members = append(members, network.replicas[fmt.Sprint(route, ".", region)])
			}
			result.groups = append(result.groups, members)
		}
		board.Replicas.Publish(&topology.Replicas{Groups: groups})
		var nodes []*query.Service
		for i := range loadNodes {
			nodes = append(nodes, newLoadNode(t, network, board, groups, i%loadRegions, seed+uint64(i)))
		}
		network.schedule(fault, random)
		var sending sync.WaitGroup
		for i := range loadKinds {
			sending.Go(func() { result.sendKind(&loadKinds[i], routes[i], nodes, seed) })
		}
		sending.Wait()
		time.Sleep(time.Second) // lingering attempts end
	})
	return result
}

func newLoadRoutes(network *loadNetwork, random *rand.Rand) ([]*routing.Route, map[string][]topology.Replica) {
	groups := map[string][]topology.Replica{}
	speeds := []float64{0.8, 1, 1.3}
	addGroup := func(name string) {
		for region := range loadRegions {
			address := fmt.Sprint(name, ".", region)
			network.replicas[address] = &loadReplica{
				region: region, speed: speeds[random.IntN(len(speeds))], slow: 1, slots: make(chan struct{}, replicaSlots),
				phase: time.Duration(random.Int64N(int64(loadPauseEvery))), open: map[net.Conn]bool{},
			}
			groups[name] = append(groups[name], topology.Replica{
				Address: address, Incarnation: "1", Group: name, Slots: replicaSlots, ConnectionLimit: replicaLimit,
				Place: topology.Place{Region: fmt.Sprint(region), Zone: fmt.Sprint(region)},
			})
		}
	}
	var shards []string
	for shard := range loadShards {
		shards = append(shards, fmt.Sprintf("shard-%02d", shard))
		addGroup(shards[shard])
	}
	addGroup("plain")
	var routes []*routing.Route
	for _, kind := range loadKinds {
		route := &routing.Route{
			Name: kind.name, Objective: kind.objective, Rank: kind.rank, Idempotent: true, TopRecords: 5,
			Policy: routing.PolicyRow(routing.RouteSpec{Name: kind.name, Timeout: kind.deadline, Attempts: 2, Rank: kind.rank, MinShardFraction: kind.share}),
		}
		if kind.share > 0 {
			route.Shards, route.MinShards = shards, routing.MinShards(kind.share, loadShards)
		} else {
			route.WeightedGroups = []routing.WeightedGroup{{Group: "plain", Weight: 1}}
		}
		routes = append(routes, route)
	}
	return routes, groups
}

func newLoadNode(t *testing.T, network *loadNetwork, board *blackboard.Board, groups map[string][]topology.Replica, region int, seed uint64) *query.Service {
	budgets := map[string]*decision.TokenBudget{}
	for group := range groups {
		budgets[group] = decision.NewTokenBudgetWithReserve(usedBudgetFraction*defaultLimits.ratio, usedBudgetFraction*defaultLimits.burst/loadNodes, 0.2)
	}
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, 4))
	pool := replica.NewPool(replica.PoolOptions{
		Board: board, Self: topology.Place{Region: fmt.Sprint(region), Zone: fmt.Sprint(region)}, Codec: misdirectedCodec{},
		DialUpstream: network.dialFrom(region), GroupRetryBudget: func(group string) decision.Budget { return budgets[group] },
		Random: func() uint64 {
			mutex.Lock()
			defer mutex.Unlock()
			return random.Uint64()
		},
	})
	t.Cleanup(pool.Close)
	return query.NewService(query.Options{Board: board, Pool: pool})
}

// schedule plans the faults.
func (n *loadNetwork) schedule(fault loadFault, random *rand.Rand) {
	var all []*loadReplica
	for shard := range loadShards {
		for region := range loadRegions {
			all = append(all, n.replicas[fmt.Sprintf("shard-%02d.%d", shard, region)])
		}
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	down := int(fault.down * float64(len(all)))
	slow := down + int(fault.slow*float64(len(all)))
	set := func(active bool) {
		for i, at := range all {
			switch {
			case i < down, fault.region && at.region == 0:
				at.setDown(active)
			case i < slow:
				at.setSlow(active)
			}
		}
	}
	time.AfterFunc(crashFrom, func() { set(true) })
	time.AfterFunc(crashTo, func() { set(false) })
}

// sendKind sends the requests of one kind at random intervals.
func (r *loadResult) sendKind(kind *loadKind, route *routing.Route, nodes []*query.Service, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(len(kind.name))*7+uint64(kind.work)))
	started := time.Now()
	var sending sync.WaitGroup
	for number := 0; ; number++ {
		since := time.Since(started)
		if since > loadEnd {
			break
		}
		rate := kind.rate
		if since >= overloadFrom && since < overloadTo {
			rate *= loadFactor
		}
		first, second := random.IntN(len(nodes)), random.IntN(len(nodes))
		sending.Go(func() {
			r.call(kind, route, int(since/loadSlice), fmt.Sprint(kind.name, number), nodes[first], nodes[second])
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	sending.Wait()
}

// call sends one request as a caller does, and retries it once.
func (r *loadResult) call(kind *loadKind, route *routing.Route, second int, id string, nodes ...*query.Service) {
	started := time.Now()
	for attempt, node := range nodes {
		attemptStart := time.Now()
		message := &upstream.Request{ID: fmt.Sprint(id, "-", attempt), Method: http.MethodGet, Target: fmt.Sprint("/", kind.work.Microseconds()), Host: "h"}
		time.Sleep(callerDelay)
		remaining := kind.deadline - time.Since(started)
		_, err := node.Forward(context.Background(), &query.ForwardRequest{Message: message, Route: route, CallerTimeout: remaining})
		time.Sleep(callerDelay)
		r.mutex.Lock()
		counts := r.of(second, kind.name)
		if attempt == 0 {
			counts.requests++
		}
		if err == nil {
			counts.answered++
			switch took := time.Since(started); {
			case took > kind.objective:
				counts.late++
				counts.value += kind.lateValue
			default:
				counts.onTime++
				counts.value += kind.value
			}
			r.mutex.Unlock()
			return
		}
		known := failure.From(err)
		if known.NotRun {
			counts.refused++
			if time.Since(attemptStart) > kind.objective/4 {
				counts.slowRefusals++
			}
		} else {
			counts.failed++
		}
		r.mutex.Unlock()
		remaining = kind.deadline - time.Since(started)
		time.Sleep(min(known.RetryAfter, remaining/3))
	}
}

// over sums the counts of a kind over the requests that arrived in a period.
func (r *loadResult) over(kind string, from, to time.Duration) loadCounts {
	sum := loadCounts{}
	for slice := int(from / loadSlice); slice < int(to/loadSlice); slice++ {
		c := r.of(slice, kind)
		sum.requests += c.requests
		sum.onTime += c.onTime
		sum.late += c.late
		sum.answered += c.answered
		sum.refused += c.refused
		sum.failed += c.failed
		sum.slowRefusals += c.slowRefusals
		sum.value += c.value
	}
	return sum
}

// overloadCase is an overload and what is required of the queries over many shards that arrive while
// replicas are down: the value earned, as a share of the best possible, and the share of the attempts
// admitted that may fail.
type overloadCase struct {
	fault       loadFault
	seed        uint64
	minValue    float64
	maxFailures float64
}

// TestOverloadWithReplicasDown checks that the nodes earn most of what the remaining replicas can
// serve, that little is admitted and then fails, that refusals come early, and that service is
// normal again 2 s after the overload.
func TestOverloadWithReplicasDown(t *testing.T) {
	for _, test := range []overloadCase{
		{loadFault{name: "0.4 down, three shards lost", down: 0.4}, 0, 0.85, 0.02},
		{loadFault{name: "0.3 down, none lost", down: 0.3}, 3, 0.85, 0.02},
		{loadFault{name: "one region down", region: true}, 0, 0.85, 0.02},
		{loadFault{name: "a third slow", slow: 1.0 / 3}, 0, 0.85, 0.02},
	} {
		t.Run(test.fault.name, func(t *testing.T) {
			t.Parallel()
			test.check(t, runOverload(t, test.seed, test.fault))
		})
	}
}

// Guards against failing queries after work, or answering them late, while one shard is lost and others
// have a single slow replica left.
func TestOverloadWithOneShardLost(t *testing.T) {
	test := overloadCase{loadFault{name: "0.4 down, one shard lost", down: 0.4}, 1, 0.85, 0.02}
	test.check(t, runOverload(t, test.seed, test.fault))
}

func (c *overloadCase) check(t *testing.T, got *loadResult) {
	best := got.bestShares()
	var value, bestValue float64
	var failed, admitted int
	for _, kind := range loadKinds[:2] {
		during, after := got.over(kind.name, crashFrom, crashTo), got.over(kind.name, normalFrom, loadEnd)
		requests := float64(during.requests)
		t.Logf("%s: possible %.2f, in time %.2f, late %.2f; attempts: %d answered, %d failed, %d refused, %d of them late; afterwards %.2f of the value",
			kind.name, best[kind.name], float64(during.onTime)/requests, float64(during.late)/requests,
			during.answered, during.failed, during.refused, during.slowRefusals, after.value/kind.value/float64(after.requests))
		value += during.value
		bestValue += requests * best[kind.name] * kind.value
		failed += during.failed
		admitted += during.failed + during.answered
		if during.slowRefusals > 0 {
			t.Errorf("%s: %d refusals later than a quarter of the objective", kind.name, during.slowRefusals)
		}
		if share := after.value / kind.value / float64(after.requests); share < minAfterOverload {
			t.Errorf("%s: %.2f of the value after the overload, want %.2f", kind.name, share, minAfterOverload)
		}
	}
	share, failures := value/bestValue, float64(failed)/float64(admitted)
	t.Logf("%.2f of the best possible value, %.3f of the attempts admitted failed", share, failures)
	if share < c.minValue || failures > c.maxFailures {
		t.Errorf("%.2f of the best possible value, want %.2f; %.3f of the attempts admitted failed, want at most %.3f", share, c.minValue, failures, c.maxFailures)
	}
}

// minAfterOverload is the required share of the value once the overload has been over for 2 s. Pauses
// of replicas cost some of the rest.
const minAfterOverload = 0.9

// bestShares returns an upper bound for the share of each kind that can be answered in time while
// replicas are down. It accounts for the work that the remaining replicas can do, and for the
// requests that arrive while too many shards have only paused replicas; not for queueing.
func (r *loadResult) bestShares() map[string]float64 {
	sweep, check := &loadKinds[0], &loadKinds[1]
	best, bestValue := map[string]float64{"fetch": 1}, -1.0
	const steps = 40
	for i := range steps + 1 {
		for j := range steps + 1 {
			shares := map[string]float64{"sweep": float64(i) / steps, "check": float64(j) / steps}
			if shares["sweep"] > r.inTime(sweep) || shares["check"] > r.inTime(check) || !r.canServe(shares) {
				continue
			}
			if value := shares["sweep"]*sweep.rate*sweep.value + shares["check"]*check.rate*check.value; value > bestValue {
				best["sweep"], best["check"], bestValue = shares["sweep"], shares["check"], value
			}
		}
	}
	return best
}

// lostShards counts the shards without a replica.
func (r *loadResult) lostShards() int {
	lost := 0
	for _, members := range r.groups {
		if !slices.ContainsFunc(members, func(at *loadReplica) bool { return !at.wasDown }) {
			lost++
		}
	}
	return lost
}

// canServe reports whether the remaining replicas can do the work of the given shares of the
// requests. The shards that an answer can do without are the most loaded ones.
func (r *loadResult) canServe(shares map[string]float64) bool {
	load, spare := 0.0, 0.0
	for _, kind := range loadKinds[:2] {
		work := shares[kind.name] * loadFactor * kind.rate * kind.work.Seconds()
		load += work
		spare += work * float64(loadShards-r.lostShards()-routing.MinShards(kind.share, loadShards))
	}
	for _, members := range r.groups {
		capacity := 0.0
		for _, at := range members {
			if !at.wasDown {
				capacity += replicaSlots * at.speed / max(1, at.wasSlow) * (1 - float64(loadPause)/float64(loadPauseEvery))
			}
		}
		if capacity > 0 {
			spare -= max(0, load-capacity)
		}
	}
	return spare >= 0
}

// inTime returns the share of the arrival times of a kind at which enough shards have a replica
// whose pause ends early enough to answer within the objective.
func (r *loadResult) inTime(kind *loadKind) float64 {
	if r.cached[kind.name] > 0 {
		return r.cached[kind.name] - 1
	}
	possible, total := 0, 0
	for at := crashFrom; at < crashTo; at += time.Millisecond {
		answering := 0
		for _, members := range r.groups {
			if slices.ContainsFunc(members, func(one *loadReplica) bool {
				position := (at + callerDelay + zoneDelay + one.phase) % loadPauseEvery
				took := 2*(callerDelay+zoneDelay) + time.Duration(float64(kind.work)*max(1, one.wasSlow)/one.speed) + max(0, loadPause-position)
				return !one.wasDown && took <= kind.objective
			}) {
				answering++
			}
		}
		total++
		if answering >= routing.MinShards(kind.share, loadShards) {
			possible++
		}
	}
	share := float64(possible) / float64(total)
	r.cached[kind.name] = share + 1
	return share
}
