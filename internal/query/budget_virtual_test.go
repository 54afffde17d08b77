package query_test

// Guards against two ways around the retry budget: first attempts that all go to another
// shard's replica, which has taken over the address of a crashed one and rejects them; and
// repeats of requests that were taken for unsent because their new connection was reset.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// The simulated deployment: nodes that divide the budget of each shard, at a steady rate
// of requests. The fault lasts from faultAt until the end.
const (
	budgetNodes        = 6
	budgetRate         = 176 // requests per second, all nodes together
	budgetWindow       = 10 * time.Second
	usedBudgetFraction = 0.9 // of ratio and burst, used by the nodes
	faultAt            = 2 * time.Second
	budgetRunTime      = 14 * time.Second
	// Repeated arrivals are counted at targetShard; crashedShard loses all its replicas.
	targetShard, crashedShard = "shard-4", "shard-3"
	firstIncarnation          = "1"
	secondIncarnation         = "2"
)

// budgetLimits bound the repeats of all nodes together: a fraction of the requests, and a
// burst.
type budgetLimits struct{ ratio, burst float64 }

var (
	defaultLimits = budgetLimits{ratio: 0.2, burst: 52}
	// tightLimits allow fewer repeats than most faults at lowFaultRate cause.
	tightLimits = budgetLimits{ratio: 0.05, burst: 13}
)

// budgetNetwork connects nodes to replicas, and counts the arrivals at each shard beyond
// the first of each request.
type budgetNetwork struct {
	mutex  sync.Mutex
	random *rand.Rand
	// processes holds the process at each address.
	processes map[string]replicaProcess
	// fault applies to a fraction faultRate of the requests to targetShard.
	fault     replicaFault
	faultRate float64
	arrived   map[[2]string]bool // by shard and request
	requests  []time.Time
	repeats   map[string][]time.Time // by shard
}

// replicaFault is what a replica does instead of answering.
type replicaFault uint8

const (
	noFault replicaFault = iota
	// resetAfterRead resets the connection after reading the request, resetBeforeRead
	// before.
	resetAfterRead
	resetBeforeRead
	// replyServerError and replyRejected are error responses; replyWrongID and
	// replyTruncated are invalid successful ones.
	replyServerError
	replyRejected
	replyWrongID
	replyTruncated
	// holdRequest never answers.
	holdRequest
	faultCount
)

var faultNames = [faultCount]string{
	"none", "reset after reading", "reset before reading", "server error", "rejected", "wrong request ID", "truncated body", "no answer",
}

// replicaProcess is the process of a replica.
type replicaProcess struct{ shard, incarnation string }

// resettableConnection returns ECONNRESET after its peer has reset it.
type resettableConnection struct {
	memoryConnection
	reset *atomic.Bool
}

func (c resettableConnection) Read(into []byte) (int, error) {
	n, err := c.memoryConnection.Read(into)
	if err != nil && c.reset.Load() {
		return n, syscall.ECONNRESET
	}
	return n, err
}

func (n *budgetNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	n.mutex.Lock()
	process, running := n.processes[address]
	n.mutex.Unlock()
	if !running {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	clientConn, serverConn := net.Pipe()
	reset := &atomic.Bool{}
	go n.serve(serverConn, process, reset)
	return resettableConnection{memoryConnection{clientConn}, reset}, nil
}

func (n *budgetNetwork) serve(conn net.Conn, process replicaProcess, reset *atomic.Bool) {
	defer conn.Close()
	fault := n.drawFault(process)
	if fault == resetBeforeRead {
		reset.Store(true)
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	n.recordArrival(process, request.Header.Get("Id"))
	if request.Header.Get("Process") != process.incarnation {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if fault == resetAfterRead {
		reset.Store(true)
		return
	}
	if fault == holdRequest {
		_, _ = io.Copy(io.Discard, conn) // until the node closes the connection
		return
	}
	if fault == replyRejected {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	time.Sleep(serviceTime)
	if fault == replyServerError {
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return
	}
	id, body := request.Header.Get("Id"), make([]byte, routing.RecordBytes)
	if fault == replyWrongID {
		id = "another"
	}
	head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: " + process.shard + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if fault == replyTruncated {
		body = body[:len(body)/2]
	}
	_, _ = io.WriteString(conn, head+string(body))
}

// drawFault returns the fault for the next request to a process.
func (n *budgetNetwork) drawFault(process replicaProcess) replicaFault {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if process.shard != targetShard || n.random.Float64() >= n.faultRate {
		return noFault
	}
	return n.fault
}

func (n *budgetNetwork) recordArrival(process replicaProcess, request string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := [2]string{process.shard, request}
	if n.arrived[key] {
		n.repeats[process.shard] = append(n.repeats[process.shard], time.Now())
	}
	n.arrived[key] = true
}

// worstExcess returns by how much the repeats at targetShard exceed the limits in the worst
// window, and the number of repeats in it.
func (n *budgetNetwork) worstExcess(limits budgetLimits) (excess float64, repeats int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	within := func(times []time.Time, from time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				count++
			}
		}
		return count
	}
	excess = math.Inf(-1)
	for _, from := range n.repeats[targetShard] {
		count := within(n.repeats[targetShard], from)
		allowed := limits.ratio*float64(within(n.requests, from)) + limits.burst
		if float64(count)-allowed > excess {
			excess, repeats = float64(count)-allowed, count
		}
	}
	return excess, repeats
}

// misdirectedCodec is a benchCodec that recognizes answers of another process.
type misdirectedCodec struct{ benchCodec }

func (c misdirectedCodec) ReadResponse(reply *upstream.Response) {
	c.benchCodec.ReadResponse(reply)
	reply.Misdirected = reply.Status == http.StatusMisdirectedRequest
	reply.NotExecuted = reply.Misdirected || reply.Header.Get("Not-Run") != ""
}

// newBudgetService returns the service of one node.
func newBudgetService(t *testing.T, network *budgetNetwork, board *blackboard.Board, zone string, limits budgetLimits) *query.Service {
	budgets := make(map[string]*decision.TokenBudget)
	for shard := range virtualShards {
		budgets[fmt.Sprint("shard-", shard)] = decision.NewTokenBudgetWithReserve(usedBudgetFraction*limits.ratio, usedBudgetFraction*limits.burst/budgetNodes, 0.2)
	}
	pool := replica.NewPool(replica.PoolOptions{
		Board: board, Self: topology.Place{Region: zone, Zone: zone}, Codec: misdirectedCodec{},
		DialUpstream: network.dial, Random: network.randomUint64,
		GroupRetryBudget: func(group string) decision.Budget { return budgets[group] },
	})
	t.Cleanup(pool.Close)
	return query.NewService(query.Options{Board: board, Pool: pool})
}

func (n *budgetNetwork) randomUint64() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.Uint64()
}

// budgetResult is the result of a simulated run.
type budgetResult struct {
	requests, answered int
	excess             float64
	repeats            int
}

// runBudget sends requests through all nodes and injects a fault.
func runBudget(t *testing.T, seed uint64, limits budgetLimits, inject func(*budgetNetwork)) budgetResult {
	t.Helper()
	return runDeployment(t, seed, limits, func(*blackboard.Board, *routing.Route) {}, inject)
}

// runDeployment is like runBudget, with a deployment that setUp has changed.
func runDeployment(t *testing.T, seed uint64, limits budgetLimits, setUp func(*blackboard.Board, *routing.Route), inject func(*budgetNetwork)) budgetResult {
	t.Helper()
	var result budgetResult
	synctest.Test(t, func(t *testing.T) {
		network := &budgetNetwork{
			random: rand.New(rand.NewPCG(seed, 2)), processes: map[string]replicaProcess{},
			arrived: map[[2]string]bool{}, repeats: map[string][]time.Time{},
		}
		board := &blackboard.Board{}
		virtual := &virtualNetwork{
			random: network.random, phases: map[string]time.Duration{}, delays: map[string]time.Duration{}, shards: map[string]string{},
		}
		route := newVirtualRoute(board, virtual, 2)
		setUp(board, route)
		for address, shard := range virtual.shards {
			network.processes[address] = replicaProcess{shard, firstIncarnation}
		}
		var nodes []*query.Service
		for i := range budgetNodes {
			nodes = append(nodes, newBudgetService(t, network, board, virtualZones[i%len(virtualZones)], limits))
		}
		time.AfterFunc(faultAt, func() { network.update(inject) })
		result.answered = network.sendRequests(nodes, route)
		result.requests = len(network.requests)
		result.excess, result.repeats = network.worstExcess(limits)
	})
	return result
}

func (n *budgetNetwork) update(change func(*budgetNetwork)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(n)
}

// sendRequests returns how many requests were answered.
func (n *budgetNetwork) sendRequests(nodes []*query.Service, route *routing.Route) int {
	var answered atomic.Int64
	var sending sync.WaitGroup
	for number := range int(budgetRate * budgetRunTime.Seconds()) {
		n.requests = append(n.requests, time.Now())
		sending.Go(func() {
			message := &upstream.Request{ID: fmt.Sprint("q", number), Method: http.MethodGet, Target: "/", Host: "h"}
			_, err := nodes[number%len(nodes)].Forward(context.Background(), &query.ForwardRequest{Message: message, Route: route})
			if err == nil {
				answered.Add(1)
			}
		})
		time.Sleep(time.Second / budgetRate)
	}
	sending.Wait()
	time.Sleep(time.Second) // lingering attempts end
	return int(answered.Load())
}

// crashShard ends all replicas of crashedShard. Later a replica of targetShard starts at
// one of their addresses.
func crashShard(network *budgetNetwork) {
	var addresses []string
	for address, process := range network.processes {
		if process.shard == crashedShard {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	for _, address := range addresses {
		delete(network.processes, address)
	}
	const addressReuse = 2 * time.Second
	time.AfterFunc(addressReuse, func() {
		network.update(func(*budgetNetwork) { network.processes[addresses[0]] = replicaProcess{targetShard, secondIncarnation} })
	})
}

// injectFault applies a fault to a fraction of the requests to targetShard.
func injectFault(fault replicaFault, rate float64) func(*budgetNetwork) {
	return func(network *budgetNetwork) { network.fault, network.faultRate = fault, rate }
}

// Fault rates: repeating each failure exceeds the budget at highFaultRate; replicas remain
// in use at lowFaultRate.
const (
	highFaultRate = 0.6
	lowFaultRate  = 0.3
)

// minAnswered is the required fraction of answered requests. An answer does not need the
// faulty shard.
const minAnswered = 0.99

func testBudget(t *testing.T, seeds uint64, limits budgetLimits, inject func(*budgetNetwork)) {
	t.Helper()
	for seed := range seeds {
		got := runBudget(t, seed, limits, inject)
		t.Logf("seed %d: %d of %d requests answered, %d repeats in the worst window, excess %.0f", seed, got.answered, got.requests, got.repeats, got.excess)
		if got.excess > 0 {
			t.Errorf("seed %d: %d repeats in %v, %.0f over the limit", seed, got.repeats, budgetWindow, got.excess)
		}
		if float64(got.answered) < minAnswered*float64(got.requests) {
			t.Errorf("seed %d: %d of %d requests answered", seed, got.answered, got.requests)
		}
	}
}

// TestBudgetReplicaAddressReused checks that requests for a crashed shard are not sent
// again and again to the replica of another shard at its address.
func TestBudgetReplicaAddressReused(t *testing.T) { testBudget(t, 3, defaultLimits, crashShard) }

// TestBudgetChargedForResets checks that repeats of requests that were reset on a new
// connection are charged, as these may have arrived.
func TestBudgetChargedForResets(t *testing.T) {
	testBudget(t, 3, defaultLimits, injectFault(resetAfterRead, highFaultRate))
}

// TestBudgetUnderReplicaFaults checks each fault at all replicas of a shard.
func TestBudgetUnderReplicaFaults(t *testing.T) {
	for fault := resetAfterRead; fault < faultCount; fault++ {
		t.Run(faultNames[fault], func(t *testing.T) {
			t.Parallel()
			testBudget(t, 1, tightLimits, injectFault(fault, lowFaultRate))
		})
	}
}
