package query_test

// Replays demand that moves between zones, on replicas of different speeds, and compares what
// the nodes serve with what a placement serves that knows every queue, pause and speed.

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math"
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
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// The load and the replicas of the second target deployment in docs/design/tenants-and-load.md.
const (
	unevenShards, unevenZones, unevenNodesPerZone = 36, 6, 3
	unevenSlots, unevenQueue                      = 4, 24
	waveAmplitude, wavePeriod                     = 0.55, 13.0
	neighbourShare, neighbourPeriod               = 1.0 / 3, 12 * time.Second
	neighbourLength                               = 3 * time.Second
	unevenPause, unevenPauseInterval              = 150 * time.Millisecond, 3600 * time.Millisecond
)

// unevenKind is a type of request. value is what a success within the objective earns, late a
// later one.
type unevenKind struct {
	name                string
	scattered           bool
	rate                float64
	work                time.Duration
	objective, deadline time.Duration
	minShards           float64
	value, late         float64
}

var unevenKinds = []unevenKind{
	{"sweep", true, 69, 7500 * time.Microsecond, 150 * time.Millisecond, 1200 * time.Millisecond, 0.95, 1.8, 0.089},
	{"check", true, 40, 2500 * time.Microsecond, 80 * time.Millisecond, 800 * time.Millisecond, 0.85, 1.7, 0.068},
	{"fetch", false, 23, 60 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 1, 0.45, 0.2},
}

func (k *unevenKind) earned(took time.Duration) float64 {
	switch {
	case took <= k.objective:
		return k.value
	case took <= k.deadline:
		return k.late
	}
	return 0
}

// unevenReplica processes requests in order of arrival in its slots.
type unevenReplica struct {
	group                  string
	place                  topology.Place
	speed                  float64
	pausePhase, otherPhase time.Duration
	alone                  bool                       // no neighbour
	slots                  [unevenSlots]time.Duration // when each becomes free
	down                   bool
	ends                   []time.Duration // of the requests accepted and not ended
}

// finish returns when a request that arrives at a time would end, and the slot it would use.
func (r *unevenReplica) finish(at, work time.Duration) (end time.Duration, slot int) {
	for i := range r.slots {
		if r.slots[i] < r.slots[slot] {
			slot = i
		}
	}
	start := max(at, r.slots[slot])
	speed := r.speed
	if !r.alone && (start+r.otherPhase)%neighbourPeriod < neighbourLength {
		speed *= 1 - neighbourShare
	}
	end = start + time.Duration(float64(work)/speed)
	if position := (start + r.pausePhase) % unevenPauseInterval; position < unevenPause {
		end += unevenPause - position
	} else if untilPause := unevenPauseInterval - position; end-start > untilPause {
		end += unevenPause
	}
	return end, slot
}

// accept runs a request, unless the queue is full.
func (r *unevenReplica) accept(at, work time.Duration) (end time.Duration, ok bool) {
	r.ends = slices.DeleteFunc(r.ends, func(end time.Duration) bool { return end <= at })
	if len(r.ends) >= unevenSlots+unevenQueue {
		return 0, false
	}
	end, slot := r.finish(at, work)
	r.slots[slot] = end
	r.ends = append(r.ends, end)
	return end, true
}

type unevenArrival struct {
	at   time.Duration
	zone int
	kind int
}

// unevenLoad is one replay. factor multiplies the rates.
type unevenLoad struct {
	seed         uint64
	factor       float64
	length       time.Duration
	down         float64 // fraction of the replicas that refuse connections
	even, steady bool    // even: replicas of speed 1 without neighbours; steady: without waves
}

func (l *unevenLoad) replicas() map[string]*unevenReplica {
	random := rand.New(rand.NewPCG(l.seed, 3))
	speeds := []float64{0.8, 1, 1.3}
	replicas := make(map[string]*unevenReplica)
	add := func(group string, zone int, speed float64) {
		r := &unevenReplica{
			group: group, place: zonePlace(zone), speed: speed,
			pausePhase: time.Duration(random.Int64N(int64(unevenPauseInterval))), otherPhase: time.Duration(random.Int64N(int64(neighbourPeriod))),
		}
		if l.even {
			r.speed, r.alone = 1, true
		}
		replicas[fmt.Sprint(group, ".", zone)] = r
	}
	for shard := range unevenShards {
		order := random.Perm(len(speeds))
		up := random.IntN(len(speeds)) // no shard loses all replicas
		for region, speed := range order {
			zone := 2*region + random.IntN(2)
			add(fmt.Sprint("shard-", shard), zone, speeds[speed])
			replicas[fmt.Sprint("shard-", shard, ".", zone)].down = region != up && random.Float64() < 1.5*l.down
		}
	}
	for zone := range unevenZones {
		add("plain", zone, speeds[zone%len(speeds)])
	}
	return replicas
}

// arrivals returns the requests of a replay, in order of time.
func (l *unevenLoad) arrivals() []unevenArrival {
	random := rand.New(rand.NewPCG(l.seed, 4))
	var all []unevenArrival
	for zone := range unevenZones {
		for kind := range unevenKinds {
			mean := l.factor * unevenKinds[kind].rate / unevenZones
			for at := 0.0; at < l.length.Seconds(); {
				at += random.ExpFloat64() / (mean * (1 + waveAmplitude))
				wave := waveAmplitude * math.Sin(2*math.Pi*(at/wavePeriod+float64(zone)/unevenZones))
				if l.steady {
					wave = 0
				}
				if random.Float64()*(1+waveAmplitude) < 1+wave {
					all = append(all, unevenArrival{time.Duration(at * float64(time.Second)), zone, kind})
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b unevenArrival) int { return int(a.at - b.at) })
	return all
}

func zonePlace(zone int) topology.Place {
	return topology.Place{Region: fmt.Sprint("region-", zone/2), Zone: fmt.Sprint("zone-", zone)}
}

func unevenZoneDelay(from, to topology.Place) time.Duration {
	switch from.DistanceTo(to) {
	case topology.SameZone:
		return 200 * time.Microsecond
	case topology.SameRegion:
		return 900 * time.Microsecond
	}
	return 12 * time.Millisecond
}

// unevenValue is what was earned, as a fraction of what a success in time of each request earns:
// in the whole replay, in the two worst windows of two seconds, and by type. inTime and served are
// fractions of the requests.
type unevenValue struct {
	day, worst, inTime, served float64
	kinds                      [3]float64
}

func valueOf(arrivals []unevenArrival, took []time.Duration) unevenValue {
	var earned, possible, inTime, served float64
	var kinds, kindsPossible [3]float64
	windows, windowsPossible := map[int]float64{}, map[int]float64{}
	for i, arrival := range arrivals {
		kind := &unevenKinds[arrival.kind]
		value := kind.earned(took[i])
		earned, possible = earned+value, possible+kind.value
		window := int(arrival.at / (2 * time.Second))
		windows[window], windowsPossible[window] = windows[window]+value, windowsPossible[window]+kind.value
		kinds[arrival.kind] += value
		kindsPossible[arrival.kind] += kind.value
		if value == kind.value {
			inTime++
		}
		if value > 0 {
			served++
		}
	}
	var shares []float64
	for window := range windowsPossible {
		shares = append(shares, windows[window]/windowsPossible[window])
	}
	slices.Sort(shares)
	count := float64(len(arrivals))
	for i := range kinds {
		kinds[i] /= kindsPossible[i]
	}
	return unevenValue{earned / possible, (shares[0] + shares[1]) / 2, inTime / count, served / count, kinds}
}

// neverServed is the duration of a request that was not answered.
const neverServed = time.Hour

// placed serves a replay with the placement that ends each part first, knowing all queues, pauses
// and speeds. It starts only requests that end within their objective.
func (l *unevenLoad) placed() unevenValue {
	replicas, arrivals := l.replicas(), l.arrivals()
	groups := map[string][]*unevenReplica{}
	for _, r := range replicas {
		groups[r.group] = append(groups[r.group], r)
	}
	took := make([]time.Duration, len(arrivals))
	type choice struct {
		replica *unevenReplica
		at, end time.Duration
	}
	for i, arrival := range arrivals {
		kind, place := &unevenKinds[arrival.kind], zonePlace(arrival.zone)
		var choices []choice
		for _, group := range kind.groups() {
			best := choice{end: arrival.at + neverServed}
			for _, r := range groups[group] {
				if r.down {
					continue
				}
				delay := unevenZoneDelay(place, r.place)
				if end, _ := r.finish(arrival.at+delay, kind.work); end+delay < best.end {
					best = choice{r, arrival.at + delay, end + delay}
				}
			}
			choices = append(choices, best)
		}
		slices.SortFunc(choices, func(a, b choice) int { return int(a.end - b.end) })
		needed := routing.MinShards(kind.minShards, len(choices))
		took[i] = choices[needed-1].end - arrival.at
		if took[i] > kind.objective {
			took[i] = neverServed
			continue
		}
		for _, chosen := range choices[:needed] {
			if _, ok := chosen.replica.accept(chosen.at, kind.work); !ok {
				took[i] = neverServed
			}
		}
	}
	return valueOf(arrivals, took)
}

func (k *unevenKind) groups() []string {
	if !k.scattered {
		return []string{"plain"}
	}
	var groups []string
	for shard := range unevenShards {
		groups = append(groups, fmt.Sprint("shard-", shard))
	}
	return groups
}

// unevenNetwork connects the nodes of a replay to its replicas.
type unevenNetwork struct {
	mutex    sync.Mutex
	started  time.Time
	replicas map[string]*unevenReplica
	random   *rand.Rand
}

func (n *unevenNetwork) randomUint64() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.Uint64()
}

func (n *unevenNetwork) serve(conn net.Conn, address string, delay time.Duration) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	time.Sleep(delay)
	work, _ := time.ParseDuration(request.URL.Path[1:])
	n.mutex.Lock()
	end, ok := n.replicas[address].accept(time.Since(n.started), work)
	n.mutex.Unlock()
	if !ok {
		time.Sleep(delay)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	time.Sleep(end - time.Since(n.started) + delay)
	body := make([]byte, routing.RecordBytes)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nSignature: "+n.replicas[address].group+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+string(body))
}

// newService returns the service of a node in a zone.
func (n *unevenNetwork) newService(t *testing.T, zone int) *query.Service {
	board, place := &blackboard.Board{}, zonePlace(zone)
	groups := make(map[string][]topology.Replica)
	for address, r := range n.replicas {
		groups[r.group] = append(groups[r.group], topology.Replica{
			Address: address, Incarnation: "1", Group: r.group, Slots: unevenSlots, ConnectionLimit: 5, Place: r.place,
		})
	}
	for _, listed := range groups {
		slices.SortFunc(listed, func(a, b topology.Replica) int {
			return int(a.Address[len(a.Address)-1]) - int(b.Address[len(b.Address)-1])
		})
	}
	board.Replicas.Publish(&topology.Replicas{Groups: groups})
	budgets := map[string]*decision.TokenBudget{}
	for group := range groups {
		budgets[group] = decision.NewTokenBudgetWithReserve(0.18, 3, 0.2)
	}
	pool := replica.NewPool(replica.PoolOptions{
		Board: board, Self: place, Codec: misdirectedCodec{}, Random: n.randomUint64,
		DialUpstream: func(_ context.Context, address string) (net.Conn, error) {
			if n.replicas[address].down {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
			}
			clientConn, serverConn := net.Pipe()
			go n.serve(serverConn, address, unevenZoneDelay(place, n.replicas[address].place))
			return memoryConnection{clientConn}, nil
		},
		GroupRetryBudget: func(group string) decision.Budget { return budgets[group] },
	})
	t.Cleanup(pool.Close)
	return query.NewService(query.Options{Board: board, Pool: pool})
}

// served serves a replay with the nodes' services.
func (l *unevenLoad) served(t *testing.T) (result unevenValue) {
	synctest.Test(t, func(t *testing.T) {
		arrivals := l.arrivals()
		network := &unevenNetwork{started: time.Now(), replicas: l.replicas(), random: rand.New(rand.NewPCG(l.seed, 5))}
		var nodes []*query.Service
		for node := range unevenZones * unevenNodesPerZone {
			nodes = append(nodes, network.newService(t, node/unevenNodesPerZone))
		}
		var routes []*routing.Route
		for i := range unevenKinds {
			kind := &unevenKinds[i]
			route := &routing.Route{
				Name: kind.name, Objective: kind.objective, Idempotent: true, TopRecords: 5, MinShards: routing.MinShards(kind.minShards, unevenShards),
				Policy: routing.PolicyRow(routing.RouteSpec{Name: kind.name, Timeout: kind.deadline, Attempts: 2, MinShardFraction: kind.minShards, Rank: []int{1, 2, 1}[i]}),
			}
			if kind.scattered {
				route.Shards = kind.groups()
			} else {
				route.MinShards = 0
				route.WeightedGroups = []routing.WeightedGroup{{Group: "plain", Weight: 1}}
			}
			routes = append(routes, route)
		}
		took := make([]time.Duration, len(arrivals))
		var sending sync.WaitGroup
		for i, arrival := range arrivals {
			time.Sleep(time.Until(network.started.Add(arrival.at)))
			service := nodes[arrival.zone*unevenNodesPerZone+int(network.randomUint64()%unevenNodesPerZone)]
			sending.Go(func() {
				kind := &unevenKinds[arrival.kind]
				message := &upstream.Request{ID: fmt.Sprint("q", i), Method: http.MethodGet, Target: "/" + kind.work.String(), Host: "h"}
				_, err := service.Forward(context.Background(), &query.ForwardRequest{Message: message, Route: routes[arrival.kind]})
				took[i] = time.Since(network.started) - arrival.at
				if err != nil {
					took[i] = neverServed
				}
			})
		}
		sending.Wait()
		time.Sleep(5 * time.Second) // lingering attempts end
		result = valueOf(arrivals, took)
	})
	return result
}

var unevenHeavy = flag.Bool("uneven.heavy", false, "also replay uneven demand beyond that of the target deployment")

// TestServedUnderUnevenDemand guards against a selection of replicas that overloads slow or near
// ones while others are idle. At the target deployment's demand everything can be served in time.
// The floors of the heavy loads are 0.02 to 0.05 below the lowest runs, as runs with the same seed
// differ by up to 0.064 in the worst windows at 14 times the demand. Most of what remains
// to the best placement there is not recovered by a better selection, see
// docs/design/uneven-demand.md.
func TestServedUnderUnevenDemand(t *testing.T) {
	for _, test := range []struct {
		load       unevenLoad
		heavy      bool
		day, worst float64 // fractions of what the best placement earns
	}{
		{unevenLoad{factor: 1, length: 13 * time.Second}, false, 0.99, 0.98},
		{unevenLoad{factor: 10, length: 14 * time.Second}, true, 0.96, 0.95},
		{unevenLoad{factor: 14, length: 14 * time.Second}, true, 0.87, 0.78},
		{unevenLoad{factor: 14, length: 14 * time.Second, steady: true}, true, 0.87, 0.78},
		{unevenLoad{factor: 14, length: 14 * time.Second, even: true}, true, 0.94, 0.93},
		{unevenLoad{factor: 5, length: 14 * time.Second, down: 0.4}, true, 0.74, 0.65},
		{unevenLoad{factor: 5, length: 14 * time.Second, down: 0.4, even: true}, true, 0.89, 0.84},
	} {
		if test.heavy && !*unevenHeavy {
			continue // takes minutes
		}
		for seed := range uint64(2) {
			load := test.load
			load.seed = seed
			t.Run(fmt.Sprintf("%+v", load), func(t *testing.T) {
				t.Parallel()
				placed, served := load.placed(), load.served(t)
				t.Logf("best placement %.3f, served %.3f", placed, served)
				if served.day < test.day*placed.day || served.worst < test.worst*placed.worst {
					t.Errorf("served %.3f of the day and %.3f in the worst windows, want %.3f and %.3f",
						served.day, served.worst, test.day*placed.day, test.worst*placed.worst)
				}
			})
		}
	}
}
