// Package admission decides immediately whether a query may start: by the concurrency
// limit of its policy, by priority under an adaptive limit per daemon, and by whether
// its deadline can be met.
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

// defaultMaxInFlight is the default of Options.MaxInFlight.
const defaultMaxInFlight = 1024

// Rank orders priorities; queries of lower ranks are rejected first.
type Rank int

// rankOf returns the rank of a priority. Unknown priorities rank as normal.
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

// rankFractions is the fraction of the limit up to which each rank is admitted.
var rankFractions = [...]float64{0.5, 0.75, 0.9, 1}

// LowerPriority returns the lower of a policy's and a query's priority. A query
// without a priority has that of its policy.
func LowerPriority(row, query client.Priority) client.Priority {
	if query == "" || rankOf(query) >= rankOf(row) {
		return row
	}
	return query
}

// Options configures a Controller. Zero values select defaults.
type Options struct {
	// MaxInFlight is the maximum number of queries in flight. The adaptive limit
	// starts there.
	MaxInFlight int
	Registerer  prometheus.Registerer
	// Logger receives a message when congestion changes the limit; nil disables
	// logging.
	Logger *slog.Logger
	// refused counts refusals by reason; nil selects a counter of the Controller's own.
	refused *prometheus.CounterVec
}

// Controller admits queries and counts those in flight. The count and the limit are
// lock-free; the shares of tenants are not.
type Controller struct {
	limit    adaptiveLimit
	inFlight atomic.Int64
	policies sync.Map // name -> *policyState
	refused  *prometheus.CounterVec
	shares   shares
	shortage shortage
	// tenantsActive is a copy of shares.active.
	tenantsActive atomic.Bool
}

type policyState struct {
	inFlight   atomic.Int64
	minLatency windowedMin
	// evidenceAt is when a query was last answered completely, or admitted to see whether one can
	// be, in Unix nanoseconds.
	evidenceAt atomic.Int64
}

// evidenceLifetime is how long the fastest recent answer counts without another answer. A query
// whose deadline is shorter is then admitted to see whether that still holds: if all are refused,
// no faster answer can come.
const evidenceLifetime = time.Second

// probeDue reports whether to admit a query although its deadline is too short. It does so once in an
// evidenceLifetime.
func (s *policyState) probeDue(now time.Time) bool {
	last := s.evidenceAt.Load()
	return now.UnixNano()-last >= int64(evidenceLifetime) && s.evidenceAt.CompareAndSwap(last, now.UnixNano())
}

// New returns a Controller and registers its metrics.
func New(options Options) *Controller {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = defaultMaxInFlight
	}
	controller := &Controller{refused: options.refused}
	if controller.refused == nil {
		controller.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "doorpondd_queries_refused_total", Help: "Queries refused before anything was sent, by reason.",
		}, []string{"reason"})
	}
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

// Ticket represents an admitted query. Release must be called exactly once.
type Ticket struct {
	controller *Controller
	policy     *policyState
	// usage is the use by the query's tenant; nil if no tenants use the controller.
	usage    *usage
	admitted time.Time
}

// Release removes the query from the number in flight.
func (t Ticket) Release(now time.Time) {
	t.policy.inFlight.Add(-1)
	t.controller.inFlight.Add(-1)
	if t.usage != nil {
		t.controller.shares.mutex.Lock()
		defer t.controller.shares.mutex.Unlock()
		t.controller.shares.end(now, t.usage, t.admitted)
	}
}

// Observe records the outcome of the query. It must be called before Release.
func (t Ticket) Observe(now time.Time, outcome Outcome) {
	if outcome.complete() {
		t.policy.evidenceAt.Store(now.UnixNano())
		t.policy.minLatency.observe(now, max(0, outcome.Duration-outcome.Paused))
	}
	t.controller.limit.observe(now, t.controller.inFlight.Load(), &outcome)
}

// Admit admits or rejects a query. Errors are of type *failure.Error with kind
// Overloaded or DeadlineUnreachable, and have NotRun set and a retry delay.
func (c *Controller) Admit(row *policy.Row, priority client.Priority, now time.Time, deadline time.Duration) (Ticket, error) {
	return c.AdmitTenant(row, priority, NoTenant, now, deadline)
}

// AdmitTenant is Admit for a tenant's query: at the limit, tenants within their shares come first.
func (c *Controller) AdmitTenant(row *policy.Row, priority client.Priority, tenant Tenant, now time.Time, deadline time.Duration) (Ticket, error) {
	state := c.state(row.Name)
	if minLatency := state.minLatency.value(now); deadline < minLatency && !state.probeDue(now) {
		return Ticket{}, c.refuse("deadline", failure.DeadlineUnreachable,
			fmt.Sprintf("deadline of %v is shorter than the fastest recent answer of %v", deadline, minLatency))
	}
	if state.inFlight.Add(1) > int64(row.Limits.Concurrency) {
		state.inFlight.Add(-1)
		return Ticket{}, c.refuse("policy", failure.Overloaded,
			fmt.Sprintf("policy %s has reached its limit of %d concurrent queries", row.Name, row.Limits.Concurrency))
	}
	c.limit.restore(now)
	c.shortage.end(now, c.limit.logger)
	if tenant.Name != "" || c.tenantsActive.Load() {
		one, reason := c.admitShare(tenant, rankOf(priority), now)
		if reason != "" {
			state.inFlight.Add(-1)
			return Ticket{}, c.refuseOverloaded(now, reason, refusalDetail(reason, c.limit.current(), priority))
		}
		return Ticket{controller: c, policy: state, usage: one, admitted: now}, nil
	}
	limit := c.limit.forRank(rankOf(priority))
	if c.inFlight.Add(1) > limit {
		c.inFlight.Add(-1)
		state.inFlight.Add(-1)
		return Ticket{}, c.refuseOverloaded(now, reasonPriority,
			fmt.Sprintf("daemon has reached its limit of %d concurrent queries for priority %s", limit, priority))
	}
	return Ticket{controller: c, policy: state}, nil
}

// Reasons for refusals at the limit.
const (
	reasonPriority = "priority"
	reasonShare    = "share"
)

func refusalDetail(reason string, limit float64, priority client.Priority) string {
	if reason == reasonShare {
		return fmt.Sprintf("limit of %.0f concurrent queries reached, and the tenant is at its share", limit)
	}
	return fmt.Sprintf("limit of %.0f concurrent queries reached for priority %s", limit, priority)
}

// admitShare admits a query if its tenant's share of the limit allows it. Otherwise it returns the
// reason.
func (c *Controller) admitShare(tenant Tenant, rank Rank, now time.Time) (one *usage, reason string) {
	c.shares.mutex.Lock()
	defer c.shares.mutex.Unlock()
	one = c.shares.of(tenant, now)
	allowed := c.shares.allows(now, one, rank, c.inFlight.Load(), c.limit.current())
	c.tenantsActive.Store(c.shares.active())
	if !allowed {
		c.shares.refuse(one)
		if c.shares.within(one) {
			return nil, reasonPriority
		}
		return nil, reasonShare
	}
	c.inFlight.Add(1)
	c.shares.admittedAt[rank] = now
	c.shares.change(one, 1)
	return one, ""
}

// TenantUse returns a tenant's present use of the target, in queries, by which those that wait are
// ordered. It is 0 if no tenants use the target.
func (c *Controller) TenantUse(tenant Tenant, now time.Time) float64 {
	if !c.tenantsActive.Load() {
		return 0
	}
	c.shares.mutex.Lock()
	defer c.shares.mutex.Unlock()
	one := c.shares.of(tenant, now)
	return max(one.recent, float64(one.inFlight))
}

func (c *Controller) refuse(reason string, kind failure.Kind, detail string) *failure.Error {
	c.refused.WithLabelValues(reason).Inc()
	return failure.New(kind, detail)
}

// refuseOverloaded rejects a query for load. The retry delay is the time for which the
// overload has lasted, as it is expected to last as long again.
func (c *Controller) refuseOverloaded(now time.Time, reason, detail string) *failure.Error {
	refused := c.refuse(reason, failure.Overloaded, detail)
	c.shortage.begin(now, c.limit.logger, c.limit.current(), c.inFlight.Load())
	return refused.WithRetryAfter(min(max(refused.RetryAfter, c.limit.overloadDuration(now)), maxRetryAfter))
}

// maxRetryAfter bounds the retry delay of rejected queries.
const maxRetryAfter = 5 * time.Second

// Overloaded reports whether the limit was recently cut for overload.
func (c *Controller) Overloaded(now time.Time) bool { return c.limit.overloadDuration(now) > 0 }

func (c *Controller) state(name string) *policyState {
	if state, known := c.policies.Load(name); known {
		return state.(*policyState)
	}
	state, _ := c.policies.LoadOrStore(name, &policyState{})
	return state.(*policyState)
}

// minLatencyWindow is the minimum time for which a windowedMin keeps a value.
const minLatencyWindow = 15 * time.Second

// windowedMin is the minimum duration observed in the current and previous window.
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
