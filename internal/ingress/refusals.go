package ingress

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/failure"
)

// Refusal counts the requests that this node refused for one reason before any of it ran.
type Refusal struct {
	// Tenant is empty for requests without a tenant.
	Tenant string       `json:"tenant"`
	Kind   failure.Kind `json:"kind"`
	Count  uint64       `json:"count"`
	// LastAgoMilliseconds is the time since the last one.
	LastAgoMilliseconds int64 `json:"last_ago_ms"`
}

const (
	// maxRefusalCounts bounds the memory of the counts: 10,000 tenants with two kinds each.
	maxRefusalCounts = 20_000
	// maxListedRefusals bounds the list for operators.
	maxListedRefusals = 200
)

type refusalKey struct {
	tenant string
	kind   failure.Kind
}

type refusalCount struct {
	count uint64
	last  time.Time
}

// refusals counts the refused requests by tenant and kind.
type refusals struct {
	metric *prometheus.CounterVec
	mutex  sync.Mutex
	counts map[refusalKey]refusalCount
}

func newRefusals(registerer prometheus.Registerer) *refusals {
	r := &refusals{counts: make(map[refusalKey]refusalCount), metric: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_requests_refused_total", Help: "Requests of which nothing ran, by error kind.",
	}, []string{"kind"})}
	if registerer != nil {
		registerer.MustRegister(r.metric)
	}
	return r
}

// add counts a request of a tenant, or of none if the name is empty, that ended with err.
func (r *refusals) add(tenant string, err error) {
	if err == nil {
		return
	}
	known := failure.From(err)
	if !known.NotRun {
		return
	}
	r.metric.WithLabelValues(string(known.Kind)).Inc()
	key := refusalKey{tenant, known.Kind}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	previous, exists := r.counts[key]
	if !exists && len(r.counts) >= maxRefusalCounts {
		return
	}
	r.counts[key] = refusalCount{previous.count + 1, time.Now()}
}

// list returns the most frequent refusals, in descending order.
func (r *refusals) list() []Refusal {
	r.mutex.Lock()
	listed := make([]Refusal, 0, len(r.counts))
	for key, each := range r.counts {
		listed = append(listed, Refusal{
			Tenant: key.tenant, Kind: key.kind, Count: each.count, LastAgoMilliseconds: max(0, time.Since(each.last).Milliseconds()),
		})
	}
	r.mutex.Unlock()
	slices.SortFunc(listed, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Kind, b.Kind))
	})
	return listed[:min(len(listed), maxListedRefusals)]
}

// Refusals returns the requests that this node has refused since its start, by tenant and kind,
// the most frequent first.
func (h *Handler) Refusals() []Refusal { return h.refusals.list() }
