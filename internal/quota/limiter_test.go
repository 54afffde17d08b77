package quota

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

// limiters are the limiters of some nodes with a network between them.
type limiters struct {
	mutex     sync.Mutex
	byAddress map[netip.AddrPort]*Limiter
	sent      int
	table     *routing.Table
	nodes     *topology.Nodes
}

func newLimiters(t *testing.T, size int, limit routing.RateLimit) ([]*Limiter, *limiters) {
	t.Helper()
	n := &limiters{byAddress: make(map[netip.AddrPort]*Limiter), nodes: &topology.Nodes{}}
	n.table = routing.NewTable(1, nil, nil, routing.Limits{}).WithTenants(
		[]routing.TenantSpec{{Tenant: routing.Tenant{Name: "a", Limit: limit}, Keys: []string{"k"}}})
	ctx, cancel := context.WithCancel(context.Background())
	startedAt := time.Now()
	var done sync.WaitGroup
	var all []*Limiter
	for i := range size {
		node := topology.Node{ID: string(rune('a' + i)), PeerAddress: address(i).String()}
		n.nodes.Nodes = append(n.nodes.Nodes, node)
		n.nodes.EntryNodes = append(n.nodes.EntryNodes, node)
	}
	for i := range size {
		l := New(Config{
			Node: n.nodes.Nodes[i].ID, Bounds: testBounds, Nodes: func() *topology.Nodes { return n.nodes },
			Table: func() *routing.Table { return n.table }, Now: func() time.Duration { return time.Hour + time.Since(startedAt) },
			Send: func(to netip.AddrPort, content []byte) error {
				n.mutex.Lock()
				defer n.mutex.Unlock()
				n.sent++
				receiver := n.byAddress[to]
				time.AfterFunc(time.Millisecond, func() { receiver.Receive(address(i), content) })
				return nil
			},
		})
		n.byAddress[address(i)] = l
		all = append(all, l)
	}
	for _, l := range all {
		done.Go(func() { _ = l.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return all, n
}

// Guards against a limiter that admits more than the limit at several nodes, that refuses without
// the status and time that callers need, and against a state that does not show why.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := routing.RateLimit{PerSecond: 10, Burst: 10}
		all, n := newLimiters(t, 3, limit)
		time.Sleep(10 * time.Second)
		admitted := 0
		var refused error
		for i := range 1000 {
			if _, err := all[i%3].Admit(context.Background(), n.table.Tenant("a")); err == nil {
				admitted++
			} else {
				refused = err
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 110 || admitted > 150 {
			t.Errorf("%d admitted in 10 s", admitted)
		}
		known := failure.From(refused)
		if known.Kind != failure.QuotaExceeded || !known.NotRun || known.RetryAfter <= 0 {
			t.Errorf("refused with %+v", known)
		}
		state := all[0].State()
		if len(state.Tenants) != 1 || !state.Tenants[0].AtLimit || state.Tenants[0].Refused == 0 || len(state.Peers) != 2 {
			t.Errorf("state %+v", state)
		}
	})
}

// Guards against messages between nodes where no tenant has a limit.
func TestNothingSentWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, n := newLimiters(t, 3, routing.RateLimit{})
		time.Sleep(10 * time.Second)
		for range 100 {
			if _, err := all[0].Admit(context.Background(), &routing.Tenant{Name: "a"}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		if n.sent != 0 {
			t.Errorf("%d datagrams", n.sent)
		}
	})
}

// Guards against charging requests that did not run.
func TestRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, n := newLimiters(t, 3, routing.RateLimit{PerSecond: 1, Burst: 1})
		time.Sleep(10 * time.Second)
		for i := range 500 {
			refund, err := all[i%3].Admit(context.Background(), n.table.Tenant("a"))
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			refund()
			refund()
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against refusals that come late with many tenants: a refusal must take less than 5 ms of
// real time. One in a hundred may take longer, as other processes use the machine.
func TestRefusalsAreImmediate(t *testing.T) {
	var specs []routing.TenantSpec
	for i := range 10_000 {
		specs = append(specs, routing.TenantSpec{Tenant: routing.Tenant{Name: fmt.Sprint("tenant", i), Limit: routing.RateLimit{PerSecond: 1, Burst: 1}},
			Keys: []string{fmt.Sprint("k", i)}})
	}
	table := routing.NewTable(1, nil, nil, routing.Limits{}).WithTenants(specs)
	nodes := &topology.Nodes{Nodes: []topology.Node{{ID: "a"}}, EntryNodes: []topology.Node{{ID: "a"}}}
	l := New(Config{
		Node: "a", Bounds: testBounds, Nodes: func() *topology.Nodes { return nodes }, Table: func() *routing.Table { return table },
		Send: func(netip.AddrPort, []byte) error { return nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	refused, late := 0, 0
	for i := range specs {
		for range 15 {
			startedAt := time.Now()
			if _, err := l.Admit(ctx, table.Tenant(specs[i].Name)); err != nil {
				refused++
				if time.Since(startedAt) > 5*time.Millisecond {
					late++
				}
			}
		}
	}
	t.Logf("%d refused, %d of them in more than 5 ms", refused, late)
	if refused < 5_000 || late > refused/100 {
		t.Errorf("%d refused, %d of them in more than 5 ms", refused, late)
	}
}
