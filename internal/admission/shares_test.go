package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// shareSimulation is a target that several nodes send requests of tenants to.
type shareSimulation struct {
	limits  []int // of each node
	tenants int
	// rate returns the offered load of a tenant at a node, in requests in flight.
	rate func(node, tenant int) float64
	// ranks of the tenants; nil: all 0.
	ranks     func(tenant int) int
	priority  client.Priority // empty: normal and high in turn
	anonymous bool            // requests have no tenant, as before
}

const (
	simulatedDuration = 50 * time.Millisecond
	simulatedFor      = 20 * time.Second
	// simulatedWarmup is not counted.
	simulatedWarmup = 2 * time.Second
)

type simulatedEvent struct {
	at     time.Duration
	node   int
	tenant int
	ticket *Ticket // of a request that ends; nil for one that arrives
}

type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int           { return len(e) }
func (e simulatedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simulatedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simulatedEvents) Push(x any)        { *e = append(*e, x.(simulatedEvent)) }
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// shareResult has the numbers of requests by tenant, and the largest overshoot of a limit.
type shareResult struct {
	sent, served []float64
	peak         []int64
	nodes        []*Controller
}

// run sends requests at random times; each takes simulatedDuration on average.
func (s *shareSimulation) run(seed uint64) *shareResult {
	result := &shareResult{sent: make([]float64, s.tenants), served: make([]float64, s.tenants), peak: make([]int64, len(s.limits))}
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1 << 20}}
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	var events simulatedEvents
	next := func(node, tenant int, from time.Duration) {
		if rate := s.rate(node, tenant); rate > 0 {
			gap := time.Duration(random.ExpFloat64() / rate * float64(simulatedDuration))
			heap.Push(&events, simulatedEvent{at: from + gap, node: node, tenant: tenant})
		}
	}
	for node, limit := range s.limits {
		result.nodes = append(result.nodes, New(Options{MaxInFlight: limit}))
		for tenant := range s.tenants {
			next(node, tenant, 0)
		}
	}
	for number := 0; len(events) > 0 && events[0].at < simulatedFor; number++ {
		event := heap.Pop(&events).(simulatedEvent)
		now, controller := start.Add(event.at), result.nodes[event.node]
		if event.ticket != nil {
			event.ticket.Release(now)
			continue
		}
		next(event.node, event.tenant, event.at)
		tenant, priority := NoTenant, s.priority
		if !s.anonymous {
			tenant = Tenant{Name: fmt.Sprint("tenant-", event.tenant)}
			if s.ranks != nil {
				tenant.Rank = s.ranks(event.tenant)
			}
		}
		if priority == "" {
			priority = []client.Priority{client.PriorityNormal, client.PriorityHigh}[random.IntN(2)]
		}
		ticket, err := controller.AdmitTenant(row, priority, tenant, now, time.Second)
		counted := event.at >= simulatedWarmup
		if counted {
			result.sent[event.tenant]++
		}
		if err != nil {
			continue
		}
		if counted {
			result.served[event.tenant]++
		}
		result.peak[event.node] = max(result.peak[event.node], controller.inFlight.Load())
		took := time.Duration((0.5 + random.Float64()) * float64(simulatedDuration))
		heap.Push(&events, simulatedEvent{at: event.at + took, node: event.node, tenant: event.tenant, ticket: &ticket})
	}
	return result
}

// jain returns Jain's index of the served shares of demand, capped at equal shares.
func (r *shareResult) jain(capacity float64) float64 {
	equal := capacity / float64(len(r.sent))
	sum, squares := 0.0, 0.0
	for i := range r.sent {
		share := min(1, r.served[i]/max(1, min(r.sent[i], equal)))
		sum, squares = sum+share, squares+share*share
	}
	return sum * sum / squares / float64(len(r.sent))
}

// Guards against a tenant at ten times its usual rate that takes the share of others, on one node and on
// several that each see a part of the load.
func TestSharesWithHotTenant(t *testing.T) {
	const tenants, hot, capacity = 81, 0, 60
	zipf := make([]float64, tenants)
	total := 0.0
	for i := range zipf {
		zipf[i] = math.Pow(float64(i+1), -1.2)
		total += zipf[i]
	}
	total += 9 * zipf[hot]
	load := func(tenant int, factor float64) float64 {
		usual := 2 * capacity * zipf[tenant] / total // twice the capacity with the hot tenant
		if tenant == hot {
			return factor * usual
		}
		return usual
	}
	cases := []struct {
		name   string
		limits []int
		// part returns the part of a tenant's requests that a node gets.
		part func(node, tenant int) float64
	}{
		{"one node", []int{capacity}, func(int, int) float64 { return 1 }},
		{"three nodes, evenly", []int{20, 20, 20}, func(int, int) float64 { return 1.0 / 3 }},
		{"hot tenant at one node of three", []int{20, 20, 20}, func(node, tenant int) float64 {
			switch {
			case tenant != hot:
				return 1.0 / 3
			case node == 0:
				return 1
			default:
				return 0
			}
		}},
		{"other tenants at one node each, hot one at all", []int{20, 20, 20}, func(node, tenant int) float64 {
			switch {
			case tenant == hot:
				return 1.0 / 3
			case tenant%3 == node:
				return 1
			default:
				return 0
			}
		}},
		{"nodes of different power", []int{30, 20, 10}, func(node, _ int) float64 { return []float64{0.5, 1.0 / 3, 1.0 / 6}[node] }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			play := func(factor float64, anonymous bool) *shareResult {
				simulation := &shareSimulation{limits: test.limits, tenants: tenants, anonymous: anonymous, rate: func(node, tenant int) float64 {
					return test.part(node, tenant) * load(tenant, factor)
				}}
				return simulation.run(1)
			}
			usual, before, during := play(1, false), play(10, true), play(10, false)
			capacityCount := capacity * (simulatedFor - simulatedWarmup).Seconds() / simulatedDuration.Seconds()
			kept := func(r *shareResult) (worst, least float64) {
				worst, least = 1, 1
				mean, count := 0.0, 0
				for i := range tenants {
					if i == hot {
						continue
					}
					worst = min(worst, r.served[i]/r.sent[i]/(usual.served[i]/usual.sent[i]))
					if r.sent[i] <= capacityCount/tenants {
						mean, count = mean+r.served[i]/r.sent[i], count+1
						least = min(least, r.served[i]/r.sent[i])
					}
				}
				return worst, least / (mean / float64(count))
			}
			for _, each := range []struct {
				name   string
				result *shareResult
			}{{"without tenants", before}, {"with tenants", during}} {
				worst, least := kept(each.result)
				jain := each.result.jain(capacityCount)
				mean := 0.0
				for _, served := range each.result.served {
					mean += served / capacityCount
				}
				t.Logf("%s: worst other tenant keeps %.3f, least within its share %.3f of the mean, Jain's index %.3f, in flight %.2f of the limit on average, at most %v of %v",
					each.name, worst, least, jain, mean, each.result.peak, test.limits)
				if each.result == during && (worst < 0.95 || least < 0.9 || jain < 0.95 || mean > 1.05) {
					t.Error("want at least 0.95, 0.9 and 0.95, and at most 1.05 of the limit")
				}
			}
		})
	}
}

// Guards against less urgent tenants that go before more urgent ones, and against starving them.
func TestSharesByRank(t *testing.T) {
	const tenants, capacity = 20, 40
	simulation := &shareSimulation{limits: []int{capacity}, tenants: tenants,
		rate:  func(int, int) float64 { return 2.0 * capacity / tenants },
		ranks: func(tenant int) int { return tenant % 2 },
	}
	result := simulation.run(1)
	shares := [2]float64{}
	for i := range tenants {
		shares[i%2] += result.served[i] / result.sent[i] / (tenants / 2)
	}
	t.Logf("served shares by rank: %.3f", shares)
	if shares[0] < 0.85 || shares[1] < 0.05 || shares[1] > 0.2 {
		t.Errorf("served shares by rank %.3f, want at least 0.85 and 0.05 to 0.2", shares)
	}
}

// Guards against refusing a tenant's requests while there is capacity, because it uses more than others,
// and against a priority of routes that counts otherwise than without tenants.
func TestSharesUseFreeCapacity(t *testing.T) {
	for _, test := range []struct {
		priority client.Priority
		others   int // tenants that used the target until now
		want     int
	}{
		{client.PriorityCritical, 5, 40}, {client.PriorityHigh, 5, 36}, {client.PriorityNormal, 5, 30}, {client.PriorityBatch, 5, 20},
		{client.PriorityCritical, 0, 40}, {client.PriorityHigh, 0, 36}, {client.PriorityNormal, 0, 30}, {client.PriorityBatch, 0, 20},
	} {
		controller := New(Options{MaxInFlight: 40})
		row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1000}}
		now := time.Unix(1000, 0)
		admit := func(name string) error {
			_, err := controller.AdmitTenant(row, test.priority, Tenant{Name: name}, now, time.Second)
			return err
		}
		for i := range test.others {
			ticket, err := controller.AdmitTenant(row, client.PriorityCritical, Tenant{Name: fmt.Sprint(i)}, now, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			ticket.Release(now.Add(time.Second))
		}
		now = now.Add(time.Second)
		admitted := 0
		for admitted < 100 && admit("a") == nil {
			admitted++
		}
		if admitted != test.want {
			t.Errorf("%s beside %d tenants: %d of one tenant's requests admitted, want %d", test.priority, test.others, admitted, test.want)
		}
		if known := failure.From(admit("a")); known.Kind != failure.Overloaded || !known.NotRun || known.RetryAfter <= 0 {
			t.Errorf("%s: error %v at the limit, want overloaded, not run, and a time to retry after", test.priority, known)
		}
		if err := admit("b"); err != nil {
			t.Errorf("%s: a tenant without requests in flight is refused: %v", test.priority, err)
		}
	}
}

// Guards against state that grows with the tenants that have ever sent requests, and against requests in
// flight that are no longer counted once their tenant's state has been dropped.
func TestSharesForgetIdleTenants(t *testing.T) {
	controller := New(Options{MaxInFlight: 100})
	row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1 << 20}}
	now := time.Unix(1000, 0)
	held, err := controller.AdmitTenant(row, client.PriorityCritical, Tenant{Name: "held"}, now, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50_000 {
		now = now.Add(time.Millisecond)
		ticket, err := controller.AdmitTenant(row, client.PriorityCritical, Tenant{Name: fmt.Sprint(i)}, now, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		ticket.Release(now.Add(time.Millisecond))
	}
	if known := len(controller.shares.byTenant); known > 10_000 {
		t.Errorf("state of %d tenants, want at most that of those of the last 10 s", known)
	}
	if one := controller.shares.byTenant[Tenant{Name: "held"}]; one == nil || one.inFlight != 1 {
		t.Errorf("use %+v of a tenant with a request in flight", one)
	}
	held.Release(now)
	now = now.Add(time.Minute)
	for range 2 { // the first one still finds tenants
		ticket, err := controller.Admit(row, client.PriorityCritical, now, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		ticket.Release(now)
		now = now.Add(time.Minute)
	}
	if controller.tenantsActive.Load() || len(controller.shares.byTenant) > 1 || controller.inFlight.Load() != 0 {
		t.Errorf("state of %d tenants, %d in flight, after all were idle", len(controller.shares.byTenant), controller.inFlight.Load())
	}
}

func BenchmarkAdmitTenants(b *testing.B) {
	for _, tenants := range []int{81, 10_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			controller := New(Options{MaxInFlight: 20})
			row := &policy.Row{Name: "r", Limits: policy.Limits{Concurrency: 1 << 20}}
			names := make([]Tenant, tenants)
			for i := range names {
				names[i] = Tenant{Name: fmt.Sprint("tenant-", i)}
			}
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(100 * time.Microsecond)
				if ticket, err := controller.AdmitTenant(row, client.PriorityHigh, names[i%tenants], now, time.Second); err == nil && i%100 != 0 {
					ticket.Release(now)
				}
			}
		})
	}
}
