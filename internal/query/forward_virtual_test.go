package query_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
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

// The simulated deployment: ten shards with a replica in each of three zones, two of which
// are remote. Each replica pauses for 300 ms every 7.5 s.
const (
	virtualShards      = 10
	virtualObjective   = 250 * time.Millisecond
	serviceTime        = 28 * time.Millisecond
	serviceTimeSpread  = 0.35
	farDelay           = 12 * time.Millisecond
	pauseLength        = 300 * time.Millisecond
	pauseInterval      = 7500 * time.Millisecond
	virtualRate        = 15 // requests per second
	virtualSeconds     = 40
	virtualBudgetRatio = 0.2
	virtualBudgetBurst = 8
)

var virtualZones = []string{"near", "far-1", "far-2"}

// virtualNetwork connects a service to replicas on the virtual clock of a synctest bubble.
type virtualNetwork struct {
	mutex    sync.Mutex
	random   *rand.Rand
	started  time.Time
	phases   map[string]time.Duration
	delays   map[string]time.Duration
	slowdown map[string]float64
	arrivals map[string]int // by shard
	received map[string]int // by address
	shards   map[string]string
	// pausedUntil is when a pause of the node ends that begins with the network.
	pausedUntil time.Time
	// resetUntil is when replicas stop resetting new connections: after a restart of the
	// node, its old connections still count towards their limit.
	resetUntil time.Time
}

// memoryConnection is a net.Pipe that cannot be probed while idle, so that each request
// gets a new connection.
type memoryConnection struct{ net.Conn }

var errNoDescriptor = errors.New("no descriptor")

func (memoryConnection) SyscallConn() (syscall.RawConn, error) { return nil, errNoDescriptor }

// resetFraction is the fraction of new connections that are reset until resetUntil.
const resetFraction = 0.7

// resetConnection is a connection that was reset by its peer.
type resetConnection struct{ memoryConnection }

func (resetConnection) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

func (v *virtualNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	time.Sleep(time.Until(v.pausedUntil))
	clientConn, serverConn := net.Pipe()
	if time.Now().Before(v.resetUntil) && float64(v.randomUint64()%1000)/1000 < resetFraction {
		go func() { _, _ = io.Copy(io.Discard, serverConn) }()
		return resetConnection{memoryConnection{clientConn}}, nil
	}
	go v.serve(serverConn, address)
	return memoryConnection{clientConn}, nil
}

// pausedTime returns for how long the node was paused.
func (v *virtualNetwork) pausedTime() time.Duration {
	return max(0, min(time.Since(v.started), v.pausedUntil.Sub(v.started)))
}

func (v *virtualNetwork) serve(conn net.Conn, address string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	time.Sleep(v.delays[address])
	time.Sleep(v.processingTime(address))
	time.Sleep(v.delays[address])
	body := make([]byte, routing.RecordBytes)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nSignature: "+v.shards[address]+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+string(body))
}

// processingTime counts an arrival and returns how long the replica takes to process it,
// including the rest of a pause.
func (v *virtualNetwork) processingTime(address string) time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.arrivals[v.shards[address]]++
	v.received[address]++
	factor := math.Exp(serviceTimeSpread * v.random.NormFloat64())
	took := time.Duration(float64(serviceTime) * factor * max(1, v.slowdown[address]))
	cyclePosition := (time.Since(v.started) + v.phases[address]) % pauseInterval
	if cyclePosition < pauseLength {
		took += pauseLength - cyclePosition
	}
	return took
}

// virtualResult is the result of a simulated run.
type virtualResult struct {
	requests, onTime, complete int
	answered                   int
	maxArrivals                int
}

// runVirtual sends requests at a steady rate through a Service with the given number of
// attempts per shard. In the middle half of the run some replicas in the near zone are
// slower.
func runVirtual(t *testing.T, seed uint64, attempts, slowReplicas int) virtualResult {
	t.Helper()
	return withVirtualService(t, seed, attempts, func(network *virtualNetwork, service *query.Service, route *routing.Route) virtualResult {
		return network.sendRequests(service, route, slowReplicas)
	})
}

// withVirtualService runs a test with the Service of a node that has just started.
func withVirtualService(t *testing.T, seed uint64, attempts int, test func(*virtualNetwork, *query.Service, *routing.Route) virtualResult) virtualResult {
	t.Helper()
	var result virtualResult
	synctest.Test(t, func(t *testing.T) {
		network := &virtualNetwork{
			random: rand.New(rand.NewPCG(seed, 1)), started: time.Now(),
			phases: map[string]time.Duration{}, delays: map[string]time.Duration{}, slowdown: map[string]float64{},
			arrivals: map[string]int{}, received: map[string]int{}, shards: map[string]string{},
		}
		board := &blackboard.Board{}
		route := newVirtualRoute(board, network, attempts)
		budgets := make(map[string]*decision.TokenBudget)
		for _, shard := range route.Shards {
			budgets[shard] = decision.NewTokenBudgetWithReserve(virtualBudgetRatio, virtualBudgetBurst, 0.2)
		}
		pool := replica.NewPool(replica.PoolOptions{
			Board: board, Self: topology.Place{Region: "near", Zone: "near"}, Codec: benchCodec{},
			DialUpstream: network.dial, Random: network.randomUint64,
			GroupRetryBudget: func(group string) decision.Budget { return budgets[group] },
		})
		service := query.NewService(query.Options{Board: board, Pool: pool, PausedTime: network.pausedTime})
		result = test(network, service, route)
		pool.Close()
	})
	return result
}

func (v *virtualNetwork) randomUint64() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.random.Uint64()
}

func newVirtualRoute(board *blackboard.Board, network *virtualNetwork, attempts int) *routing.Route {
	route := &routing.Route{
		Name: "r", Policy: routing.PolicyRow(routing.RouteSpec{Name: "r", Timeout: 4 * time.Second, Attempts: attempts, MinShardFraction: 0.89}),
		Objective: virtualObjective, Idempotent: true, TopRecords: 5, MinShards: routing.MinShards(0.89, virtualShards),
	}
	groups := make(map[string][]topology.Replica)
	for shard := range virtualShards {
		name := fmt.Sprint("shard-", shard)
		route.Shards = append(route.Shards, name)
		for _, zone := range virtualZones {
			address := name + "." + zone
			network.shards[address] = name
			network.phases[address] = time.Duration(network.random.Int64N(int64(pauseInterval)))
			if zone != "near" {
				network.delays[address] = farDelay
			}
			groups[name] = append(groups[name], topology.Replica{
				Address: address, Incarnation: "1", Group: name, Slots: 5, ConnectionLimit: 40,
				Place: topology.Place{Region: zone, Zone: zone},
			})
		}
	}
	board.Replicas.Publish(&topology.Replicas{Groups: groups})
	return route
}

func (v *virtualNetwork) sendRequests(service *query.Service, route *routing.Route, slowReplicas int) virtualResult {
	var result virtualResult
	var sending sync.WaitGroup
	var mutex sync.Mutex
	const total = virtualRate * virtualSeconds
	for number := range total {
		v.setSlowdown(number > total/4 && number < 3*total/4, slowReplicas)
		sending.Go(func() {
			started := time.Now()
			message := &upstream.Request{ID: fmt.Sprint("q", number), Method: http.MethodGet, Target: "/", Host: "h"}
			answer, err := service.Forward(context.Background(), &query.ForwardRequest{Message: message, Route: route})
			mutex.Lock()
			defer mutex.Unlock()
			result.requests++
			if err == nil && time.Since(started) <= virtualObjective {
				result.onTime++
			}
			if err == nil && answer.MissingShards == 0 {
				result.complete++
			}
		})
		time.Sleep(time.Second / virtualRate)
	}
	sending.Wait()
	time.Sleep(time.Second) // lingering attempts end
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, count := range v.arrivals {
		result.maxArrivals = max(result.maxArrivals, count)
	}
	return result
}

// setSlowdown makes the given number of near replicas eight times slower, or resets them.
func (v *virtualNetwork) setSlowdown(slow bool, replicas int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for shard := range replicas {
		factor := 1.0
		if slow {
			factor = 8
		}
		v.slowdown[fmt.Sprint("shard-", shard, ".near")] = factor
	}
}

// TestForwardPausesAndSlowReplicas checks that nearly all answers are complete and on time
// though replicas pause in one of three requests, and that no service receives more requests
// than the budget allows.
func TestForwardPausesAndSlowReplicas(t *testing.T) {
	for _, test := range []struct {
		name             string
		slow             int
		onTime, complete float64
	}{
		{"pauses", 0, 0.995, 0.97},
		{"pauses and three slow replicas", 3, 0.98, 0.9},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				got := runVirtual(t, seed, 2, test.slow)
				onTime, complete := float64(got.onTime)/float64(got.requests), float64(got.complete)/float64(got.requests)
				t.Logf("on time %.3f, complete %.3f, max arrivals %d for %d requests", onTime, complete, got.maxArrivals, got.requests)
				if onTime < test.onTime || complete < test.complete {
					t.Errorf("on time %.3f, want %.3f; complete %.3f, want %.3f", onTime, test.onTime, complete, test.complete)
				}
				if limit := int(float64(got.requests)*(1+virtualBudgetRatio)) + virtualBudgetBurst; got.maxArrivals > limit {
					t.Errorf("%d arrivals at a service, want at most %d", got.maxArrivals, limit)
				}
			})
		}
	}
}

// TestForwardPausesWithoutHedges checks that the pauses in the test above do have an effect:
// with a single attempt, answers miss shards.
func TestForwardPausesWithoutHedges(t *testing.T) {
	got := runVirtual(t, 0, 1, 0)
	if complete := float64(got.complete) / float64(got.requests); complete > 0.96 {
		t.Errorf("complete %.3f with a single attempt, want at most 0.96", complete)
	}
}

// TestForwardAdmittedAfterPause guards against rejecting requests after a pause of the node as too
// short for the fastest recent answer, when that took long only for the pause.
func TestForwardAdmittedAfterPause(t *testing.T) {
	withVirtualService(t, 1, 2, func(network *virtualNetwork, service *query.Service, route *routing.Route) virtualResult {
		network.pausedUntil = network.started.Add(3 * time.Second)
		for number := range 3 {
			message := &upstream.Request{ID: fmt.Sprint("q", number), Method: http.MethodGet, Target: "/", Host: "h"}
			_, err := service.Forward(context.Background(), &query.ForwardRequest{Message: message, Route: route, CallerTimeout: 2 * time.Second})
			if err != nil {
				t.Errorf("request %d: %v", number, err)
			}
		}
		time.Sleep(time.Second) // lingering attempts end
		return virtualResult{}
	})
}

// restartBacklog is the number of requests that wait for a node that has just started,
// resetDuration how long replicas then reset new connections.
const (
	restartBacklog = 40
	resetDuration  = time.Second
)

// sendBacklog sends all requests of the backlog at once.
func (v *virtualNetwork) sendBacklog(service *query.Service, route *routing.Route) virtualResult {
	v.resetUntil = time.Now().Add(resetDuration)
	result := virtualResult{requests: restartBacklog}
	var answered atomic.Int64
	var sending sync.WaitGroup
	for number := range restartBacklog {
		sending.Go(func() {
			message := &upstream.Request{ID: fmt.Sprint("q", number), Method: http.MethodGet, Target: "/", Host: "h"}
			if _, err := service.Forward(context.Background(), &query.ForwardRequest{Message: message, Route: route}); err == nil {
				answered.Add(1)
			}
		})
	}
	sending.Wait()
	time.Sleep(time.Second) // lingering attempts end
	result.answered = int(answered.Load())
	return result
}

// TestForwardBacklogAfterRestart checks that a node that has just started answers every
// request, though replicas reset most new connections at first.
func TestForwardBacklogAfterRestart(t *testing.T) {
	for seed := range uint64(3) {
		got := withVirtualService(t, seed, 2, (*virtualNetwork).sendBacklog)
		if got.answered != got.requests {
			t.Errorf("seed %d: %d of %d requests answered", seed, got.answered, got.requests)
		}
	}
}
