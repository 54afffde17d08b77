package replica

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// errConnectionBudget is returned when dialing would exceed the connection
// budget.
var errConnectionBudget = eris.New("connection budget exhausted")

// Handle is a backend process as seen by this daemon: its health and its
// connections. Its counters are atomic; the other fields are immutable.
type Handle struct {
	*Health
	group     *GroupHealth
	replica   topology.Replica
	urls      handleURLs
	transport *http.Transport
	// upstream carries messages; nil if the pool has no codec.
	upstream  *upstream.Pool
	multiplex bool
	// viaPeer is set for a handle that forwards through a peer and holds no
	// connection to the backend.
	viaPeer     bool
	metrics     *poolMetrics
	connections atomic.Int64
	budget      atomic.Int64
	retired     atomic.Bool
	// vanished is set while the replica is no longer listed.
	vanished atomic.Bool
	// addressReused is set once another process has answered at the address.
	addressReused atomic.Bool
	// unreachableAt is when the latest request found no process at the address, in Unix
	// nanoseconds; 0 if it found one. probing is set while a connection tests this.
	unreachableAt atomic.Int64
	probing       atomic.Bool
	// canaries counts the canaries in flight, see SelectionCriteria.Canary.
	canaries atomic.Int32
	// harmless counts the requests in flight that another replica has answered.
	harmless atomic.Int64
	// coldLimiter limits the requests sent while the replica is cold.
	coldLimiter coldLimiter
}

type handleURLs struct {
	search, call, status *url.URL
}

// Address returns the replica's address as IP:port.
func (h *Handle) Address() string { return h.replica.Address }

// ProcessName returns a name for the process that is unique across restarts.
func (h *Handle) ProcessName() string { return h.replica.Address + "/" + h.replica.Incarnation }

func (h *Handle) processID() processID { return processID{h.replica.Address, h.replica.Incarnation} }

// Connections returns the number of open connections.
func (h *Handle) Connections() int { return int(h.connections.Load()) }

func newHandle(p *Pool, group *GroupHealth, replica topology.Replica) *Handle {
	handle := &Handle{
		Health:    NewHealth(replica, p.options.Self, p.options.Now()).WithPlace(p.places.Of(replica.Place)),
		group:     group,
		replica:   replica,
		multiplex: p.options.Protocol == ProtocolH2C,
		metrics:   p.metrics,
		urls: handleURLs{
			search: &url.URL{Scheme: p.options.scheme(), Host: replica.Address, Path: backendapi.SearchPath},
			call:   &url.URL{Scheme: p.options.scheme(), Host: replica.Address, Path: backendapi.CallPath},
			status: &url.URL{Scheme: p.options.scheme(), Host: replica.Address, Path: backendapi.StatusPath},
		},
	}
	if p.options.Codec != nil {
		handle.upstream = upstream.NewPool(replica.Address, 0, p.options.DialUpstream)
		return handle
	}
	handle.transport = newTransport(handle, p.options)
	return handle
}

// dial opens a connection within the budget and counts it until it is closed.
func (h *Handle) dial(ctx context.Context, network, address string, dial dialFunc) (net.Conn, error) {
	if h.connections.Add(1) > h.budget.Load() {
		h.connections.Add(-1)
		return nil, errConnectionBudget
	}
	connection, err := dial(ctx, network, address)
	if err != nil {
		h.connections.Add(-1)
		return nil, err
	}
	h.metrics.connections.Inc()
	h.metrics.opened.Inc()
	return &trackedConnection{Conn: connection, closed: h.connectionClosed}, nil
}

func (h *Handle) connectionClosed() {
	h.connections.Add(-1)
	h.metrics.connections.Dec()
}

func (h *Handle) setBudget(budget int) {
	previous := h.budget.Swap(int64(budget))
	if h.upstream != nil {
		h.upstream.SetLimit(budget)
		return
	}
	if int64(budget) < previous {
		h.transport.CloseIdleConnections()
	}
}

// standbyIdleTimeout is how long a standby node keeps an idle connection. It
// rarely gets requests, and all nodes share the replica's connection limit.
const standbyIdleTimeout = time.Second

func (h *Handle) setStandby(standby bool) {
	if h.upstream == nil {
		return
	}
	if standby {
		h.upstream.SetIdleTimeout(standbyIdleTimeout)
		return
	}
	h.upstream.SetIdleTimeout(0)
}

func (h *Handle) retire() {
	h.retired.Store(true)
	h.closeIdle()
}

func (h *Handle) closeIdle() {
	if h.upstream != nil {
		h.upstream.Close()
	}
	if h.transport != nil {
		h.transport.CloseIdleConnections()
	}
}

func (h *Handle) release() {
	if h.End() == 0 && h.retired.Load() {
		h.closeIdle()
	}
}

func (h *Handle) candidate(now time.Time) decision.Candidate {
	candidate := h.Candidate(now)
	candidate.ConnectionAvailable = h.connectionAvailable(candidate.InFlight)
	return candidate
}

func (h *Handle) connectionAvailable(inFlight int) bool {
	budget := h.budget.Load()
	if h.multiplex {
		return budget > 0
	}
	return int64(inFlight) < budget
}

// observe records the result of a request and counts ejections.
func (h *Handle) observe(now time.Time, observation Observation) {
	if h.group.Observe(h.Health, now, observation) {
		h.metrics.ejections.Inc()
	}
}
