// Package admission decides at once whether a query may start: per policy, per
// daemon by priority under a limit that adapts to what the back ends bear, and
// by whether its deadline can be met.
package admission

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// defaultMaxInFlight is the greatest number of queries in flight at one daemon.
const defaultMaxInFlight = 1024

// Rank orders priorities: the higher, the later it gives way.
type Rank int

// rankOf returns the rank of a priority; an unknown one is normal.
func rankOf(priority client.Priority) Rank {
	switch priority {
	case client.PriorityBatch:
		return 0
	case client.PriorityHigh:
		return 2
	case client.PriorityCritical:
		return 3
	default:
		return 1
	}
}

// rankFractions is the part of the daemon's total up to which a query of
// each rank is let in.
var rankFractions = [...]float64{0.5, 0.75, 0.9, 1}

// LowerPriority returns the lower of a policy's and a query's priority; an empty
// query's priority leaves the policy's.
func LowerPriority(row, query client.Priority) client.Priority {
	if query == "" || rankOf(query) >= rankOf(row) {
		return row
	}
	return query
}

// Options are what a Controller needs. Zero values take defaults.
type Options struct {
	// MaxInFlight is the greatest number of queries in flight at this daemon; the
	// adaptive limit starts there.
	MaxInFlight int
	Registerer  prometheus.Registerer
	// Logger takes a line for each cut of the limit for strain; nil means none.
	Logger *slog.Logger
}

// Controller counts the queries in flight. It takes no lock on the path of a
// query.
type Controller struct {
	limit    adaptiveLimit
	inFlight atomic.Int64
	policies sync.Map // name -> *policyState
	refused  *prometheus.CounterVec
}

type policyState struct {
	inFlight   atomic.Int64
	minLatency windowedMin
}

// New makes a Controller.
func New(options Options) *Controller {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = defaultMaxInFlight
	}
	controller := &Controller{refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_queries_refused_total", Help: "Queries refused before anything was sent, by reason.",
	}, []string{"reason"})}
	controller.limit.start(options.MaxInFlight)
	controller.limit.logger = options.Logger
	if options.Logger == nil {
		controller.limit.logger = slog.New(slog.DiscardHandler)
	}
	if options.Registerer != nil {
		options.Registerer.MustRegister(controller.refused)
		options.Registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "doorpondd_queries_in_flight_count", Help: "Queries in flight.",
		}, func() float64 { return float64(controller.inFlight.Load()) }))
		options.Registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "doorpondd_queries_limit_count", Help: "Queries in flight up to which critical ones are let in.",
		}, func() float64 { return float64(controller.limit.units.Load()) / limitScale }))
	}
	return controller
}

// Ticket is a query that was let in. Release must be called once.
type Ticket struct {
	controller *Controller
	policy     *policyState
}

// Release counts the query out.
func (t Ticket) Release() {
	t.policy.inFlight.Add(-1)
	t.controller.inFlight.Add(-1)
}

// Observe takes in what came of the query; it is called before Release.
func (t Ticket) Observe(now time.Time, ended Outcome) {
	if ended.complete() {
		t.policy.minLatency.observe(now, ended.Duration)
	}
	t.controller.limit.observe(now, t.controller.inFlight.Load(), &ended)
}

// Admit lets a query in or refuses it. Errors are *failure.Error of kinds
// Overloaded and DeadlineUnreachable, with NotRun set and a time to come back.
func (c *Controller) Admit(row *policy.Row, priority client.Priority, now time.Time, deadline time.Duration) (Ticket, error) {
	state := c.state(row.Name)
	if least := state.minLatency.value(now); deadline < least {
		return Ticket{}, c.refuse("deadline", failure.DeadlineUnreachable,
			fmt.Sprintf("deadline of %v is under the fastest recent answer of %v", deadline, least))
	}
	if state.inFlight.Add(1) > int64(row.Limits.Concurrency) {
		state.inFlight.Add(-1)
		return Ticket{}, c.refuse("policy", failure.Overloaded,
			fmt.Sprintf("policy %s is at its limit of %d queries", row.Name, row.Limits.Concurrency))
	}
	c.limit.restore(now)
	limit := c.limit.forRank(rankOf(priority))
	if c.inFlight.Add(1) > limit {
		c.inFlight.Add(-1)
		state.inFlight.Add(-1)
		return Ticket{}, c.refuseOverloaded(now, "priority",
			fmt.Sprintf("daemon is at its limit of %d queries for priority %s", limit, priority))
	}
	return Ticket{controller: c, policy: state}, nil
}

func (c *Controller) refuse(reason string, kind failure.Kind, detail string) *failure.Error {
	c.refused.WithLabelValues(reason).Inc()
	return failure.New(kind, detail)
}

// refuseOverloaded is a refusal for load. An overload is taken to last for as long
// again as it has lasted, so that is when to come back.
func (c *Controller) refuseOverloaded(now time.Time, reason, detail string) *failure.Error {
	refused := c.refuse(reason, failure.Overloaded, detail)
	return refused.WithRetryAfter(min(max(refused.RetryAfter, c.limit.overloadDuration(now)), maxRetryAfter))
}

// maxRetryAfter bounds the time to come back.
const maxRetryAfter = 5 * time.Second

// Overloaded is true while this node has lately had to refuse for load.
func (c *Controller) Overloaded(now time.Time) bool { return c.limit.overloadDuration(now) > 0 }

func (c *Controller) state(name string) *policyState {
	if state, known := c.policies.Load(name); known {
		return state.(*policyState)
	}
	state, _ := c.policies.LoadOrStore(name, &policyState{})
	return state.(*policyState)
}

// minLatencyWindow is the time for which a fastest answer counts, at least.
const minLatencyWindow = 15 * time.Second

// windowedMin is the least duration of the last one to two windows.
type windowedMin struct {
	mutex    sync.Mutex
	started  time.Time
	current  time.Duration
	previous time.Duration
}

func (m *windowedMin) observe(now time.Time, took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rotate(now)
	if m.current == 0 || took < m.current {
		m.current = took
	}
}

func (m *windowedMin) value(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rotate(now)
	if m.current == 0 || (m.previous != 0 && m.previous < m.current) {
		return m.previous
	}
	return m.current
}

func (m *windowedMin) rotate(now time.Time) {
	age := now.Sub(m.started)
	if age < minLatencyWindow {
		return
	}
	m.previous = m.current
	if age >= 2*minLatencyWindow {
		m.previous = 0
	}
	m.current = 0
	m.started = now
}
