package replica

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/topology"
)

// The constants of a handle's health.
const (
	// ejectAfter failures in a row, a replica is ejected.
	ejectAfter = 5
	// ejectBase is the first ejection's length; each further one doubles it.
	ejectBase = time.Second
	// ejectDoublings bounds an ejection to 32 s.
	ejectDoublings = 5
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// staleLatency is the age after which the average counts half, so that a
	// replica that was slow is tried again.
	staleLatency = 5 * time.Second
	// warmRequests successes, or warmTime, make a cold replica warm.
	warmRequests = 32
	warmTime     = 10 * time.Second
	// limitScale is the number of limit units in one request.
	limitScale = 1000
	// limitCut is the part of the limit that is kept after a shed reply.
	limitCut = 0.8
	// limitSlots bounds the limit as a multiple of the replica's slots.
	limitSlots = 4
)

// errConnectionBudget is returned by a dial that would exceed the budget.
var errConnectionBudget = eris.New("connection budget used up")

// Handle is one back-end process as this daemon sees it. Its counters are
// atomic; the rest is fixed.
type Handle struct {
	replica   topology.Replica
	distance  topology.Distance
	urls      handleURLs
	transport *http.Transport
	multiplex bool
	cold      bool
	created   time.Time
	metrics   *poolMetrics

	inFlight     atomic.Int64
	reported     atomic.Int64
	slots        atomic.Int64
	latency      atomic.Int64 // moving average, nanoseconds
	observed     atomic.Int64 // time of the last sample, nanoseconds after created
	limit        atomic.Int64 // in units of 1/limitScale requests
	connections  atomic.Int64
	budget       atomic.Int64
	successes    atomic.Int64
	failures     atomic.Int64 // in a row
	ejections    atomic.Int64 // in a row
	ejectedUntil atomic.Int64 // nanoseconds after created
	retired      atomic.Bool
}

type handleURLs struct {
	search, call *url.URL
}

// Address returns IP:port.
func (h *Handle) Address() string { return h.replica.Address }

// Connections returns the number of open connections.
func (h *Handle) Connections() int { return int(h.connections.Load()) }

func newHandle(p *Pool, replica topology.Replica) *Handle {
	handle := &Handle{
		replica:   replica,
		distance:  p.options.Self.DistanceTo(replica.Place),
		multiplex: p.options.Protocol == ProtocolH2C,
		cold:      replica.State == topology.ReplicaCold,
		created:   p.options.Now(),
		metrics:   p.metrics,
		urls: handleURLs{
			search: &url.URL{Scheme: "http", Host: replica.Address, Path: backendapi.SearchPath},
			call:   &url.URL{Scheme: "http", Host: replica.Address, Path: backendapi.CallPath},
		},
	}
	handle.slots.Store(int64(max(1, replica.Slots)))
	handle.limit.Store(int64(max(1, replica.Slots)) * limitScale)
	handle.transport = newTransport(handle, p.options)
	return handle
}

// dial opens a connection within the budget and counts it until it closes.
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
	return &countedConnection{Conn: connection, closed: h.connectionClosed}, nil
}

func (h *Handle) connectionClosed() {
	h.connections.Add(-1)
	h.metrics.connections.Dec()
}

func (h *Handle) setBudget(budget int) {
	previous := h.budget.Swap(int64(budget))
	if int64(budget) < previous {
		h.transport.CloseIdleConnections()
	}
}

func (h *Handle) retire() {
	h.retired.Store(true)
	h.transport.CloseIdleConnections()
}

func (h *Handle) release() {
	if h.inFlight.Add(-1) == 0 && h.retired.Load() {
		h.transport.CloseIdleConnections()
	}
}

func (h *Handle) candidate(now time.Time) decision.Candidate {
	age := now.Sub(h.created)
	inFlight := int(h.inFlight.Load())
	return decision.Candidate{
		Distance:            h.distance,
		InFlight:            inFlight,
		Limit:               max(1, int(h.limit.Load()/limitScale)),
		ReportedLoad:        int(h.reported.Load()),
		Slots:               int(h.slots.Load()),
		LatencyEWMA:         h.currentLatency(age),
		Warmth:              h.warmth(age),
		Ejected:             int64(age) < h.ejectedUntil.Load(),
		ConnectionAvailable: h.connectionAvailable(inFlight),
	}
}

func (h *Handle) connectionAvailable(inFlight int) bool {
	budget := h.budget.Load()
	if h.multiplex {
		return budget > 0
	}
	return int64(inFlight) < budget
}

func (h *Handle) currentLatency(age time.Duration) time.Duration {
	halvings := (int64(age) - h.observed.Load()) / int64(staleLatency)
	return time.Duration(h.latency.Load() >> min(max(halvings, 0), 62))
}

func (h *Handle) warmth(age time.Duration) float64 {
	if !h.cold {
		return 1
	}
	byRequests := float64(h.successes.Load()) / warmRequests
	byTime := float64(age) / float64(warmTime)
	return min(1, max(byRequests, byTime))
}

func (h *Handle) observeLoad(load backendapi.Load) {
	h.reported.Store(int64(max(0, load.InFlight+load.Queued)))
	if load.Slots > 0 {
		h.slots.Store(int64(load.Slots))
	}
}

func (h *Handle) observeLatency(now time.Time, latency time.Duration) {
	average := h.latency.Load()
	if average == 0 {
		average = int64(latency)
	} else {
		average += int64(latencyWeight * float64(int64(latency)-average))
	}
	h.latency.Store(average)
	h.observed.Store(int64(now.Sub(h.created)))
}

func (h *Handle) succeeded(now time.Time, latency time.Duration) {
	h.observeLatency(now, latency)
	h.successes.Add(1)
	h.failures.Store(0)
	h.ejections.Store(0)
	h.raiseLimit()
}

// cancelled takes the time that was waited as a lower bound of the latency;
// without it, a slow replica that always loses to a hedge would look fast.
func (h *Handle) cancelled(now time.Time, waited time.Duration) {
	if int64(waited) > h.latency.Load() {
		h.observeLatency(now, waited)
	}
}

// raiseLimit adds a request to the limit for each limit of successes, while
// the limit is in use.
func (h *Handle) raiseLimit() {
	limit := h.limit.Load()
	if 2*h.inFlight.Load()*limitScale < limit {
		return
	}
	most := limitSlots * h.slots.Load() * limitScale
	h.limit.Store(min(limit+limitScale*limitScale/limit, most))
}

func (h *Handle) cutLimit() {
	h.limit.Store(max(limitScale, int64(limitCut*float64(h.limit.Load()))))
}

func (h *Handle) failed(now time.Time) {
	if h.failures.Add(1) < ejectAfter {
		return
	}
	h.failures.Store(0)
	doublings := min(h.ejections.Add(1)-1, ejectDoublings)
	length := time.Duration(float64(ejectBase) * math.Exp2(float64(doublings)))
	h.ejectedUntil.Store(int64(now.Add(length).Sub(h.created)))
	h.metrics.ejections.Inc()
}
