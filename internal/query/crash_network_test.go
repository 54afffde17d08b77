package query_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// crashNetwork has replicas that crash when they execute a crashing request. All
// connections of a replica break when it crashes.
type crashNetwork struct {
	mutex  sync.Mutex
	random *rand.Rand
	board  *blackboard.Board
	delays map[string]time.Duration
	// processes holds the process at each address, connections its open connections.
	processes   map[string]replicaProcess
	connections map[string]map[net.Conn]bool
	restarts    int
	crashes     []time.Time
	// otherRate is the number of other requests per second.
	otherRate int
	// otherTarget returns the target of an other request.
	otherTarget func(number int) string
	// otherTenants is the number of tenants that send them; 0 means that there are none.
	otherTenants int
	// distinguish, if not nil, changes the crashing requests so that they differ from others
	// with the same target.
	distinguish func(message *upstream.Request)
	// quarantines are the lists of the nodes.
	quarantines []*quarantine.List
	// crashingArrivals are the times at which a crashing request arrived at a replica.
	crashingArrivals []time.Time
}

func (n *crashNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	time.Sleep(2 * n.delays[address])
	n.mutex.Lock()
	defer n.mutex.Unlock()
	process, running := n.processes[address]
	if !running {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	clientConn, serverConn := net.Pipe()
	n.connections[address][serverConn] = true
	go n.serve(serverConn, address, process)
	return memoryConnection{clientConn}, nil
}

func (n *crashNetwork) serve(conn net.Conn, address string, process replicaProcess) {
	defer func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.connections[address], conn)
		_ = conn.Close()
	}()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	time.Sleep(n.delays[address])
	if request.Header.Get("Process") != process.incarnation {
		_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if strings.HasPrefix(request.Header.Get("Id"), crashingIDPrefix) {
		n.runCrashingRequest(address, process)
		return
	}
	time.Sleep(serviceTime + n.delays[address])
	body := make([]byte, routing.RecordBytes)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nSignature: "+process.shard+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+string(body))
}

// runCrashingRequest crashes a process while it executes a request.
func (n *crashNetwork) runCrashingRequest(address string, process replicaProcess) {
	n.mutex.Lock()
	n.crashingArrivals = append(n.crashingArrivals, time.Now())
	n.mutex.Unlock()
	time.Sleep(crashAfter)
	n.crash(address, process)
}

// crash ends a process if it is still running, and schedules its successor.
func (n *crashNetwork) crash(address string, process replicaProcess) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.processes[address] != process {
		return
	}
	n.crashes = append(n.crashes, time.Now())
	delete(n.processes, address)
	for conn := range n.connections[address] {
		_ = conn.Close()
	}
	time.AfterFunc(restartAfter, func() { n.restart(address, process.shard) })
}

// restart starts a successor, which replaces the crashed process in the registry.
func (n *crashNetwork) restart(address, shard string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.restarts++
	successor := replicaProcess{shard, fmt.Sprint("successor-", n.restarts)}
	n.processes[address] = successor
	groups := make(map[string][]topology.Replica)
	for name, replicas := range n.board.Replicas.Load().Groups {
		for _, one := range replicas {
			if one.Address == address {
				one.Incarnation = successor.incarnation
			}
			groups[name] = append(groups[name], one)
		}
	}
	n.board.Replicas.Publish(&topology.Replicas{Groups: groups})
}

func (n *crashNetwork) randomUint64() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.Uint64()
}

// randomTenant returns the tenant of another request, or "" if there are none.
func (n *crashNetwork) randomTenant() string {
	if n.otherTenants == 0 {
		return ""
	}
	return fmt.Sprint("tenant-", n.randomUint64()%uint64(n.otherTenants))
}

// newConnectedQuarantines returns the quarantine lists of nodes that exchange records.
func newConnectedQuarantines(nodes int) []*quarantine.List {
	lists := make([]*quarantine.List, nodes)
	for i := range lists {
		lists[i] = quarantine.New(quarantine.Config{Broadcast: func(record quarantine.Record) {
			time.AfterFunc(gossipDelay, func() {
				for other := range lists {
					if other != i {
						lists[other].Receive(record)
					}
				}
			})
		}})
	}
	return lists
}

// newCrashServices returns the services of all nodes.
func newCrashServices(t *testing.T, network *crashNetwork, nodes int) []*query.Service {
	var services []*query.Service
	network.quarantines = newConnectedQuarantines(nodes)
	for i := range nodes {
		zone := virtualZones[i%len(virtualZones)]
		budgets := make(map[string]*decision.TokenBudget)
		for shard := range virtualShards {
			budgets[fmt.Sprint("shard-", shard)] = decision.NewTokenBudgetWithReserve(
				usedBudgetFraction*defaultLimits.ratio, usedBudgetFraction*defaultLimits.burst/float64(nodes), 0.2)
		}
		pool := replica.NewPool(replica.PoolOptions{
			Board: network.board, Self: topology.Place{Region: zone, Zone: zone}, Codec: misdirectedCodec{},
			DialUpstream: network.dial, Random: network.randomUint64,
			GroupRetryBudget: func(group string) decision.Budget { return budgets[group] },
		})
		t.Cleanup(pool.Close)
		services = append(services, query.NewService(query.Options{Board: network.board, Pool: pool, Quarantine: network.quarantines[i]}))
	}
	return services
}

// crashZone ends all replicas of a zone at the same time.
func (n *crashNetwork) crashZone(zone string) {
	n.mutex.Lock()
	inZone := make(map[string]replicaProcess)
	for address, process := range n.processes {
		if strings.HasSuffix(address, "."+zone) {
			inZone[address] = process
		}
	}
	n.mutex.Unlock()
	for address, process := range inZone {
		n.crash(address, process)
	}
}
