package quota

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// between returns the times within a part of a test.
func between(times []time.Duration, from, to time.Duration) []time.Duration {
	return slices.DeleteFunc(slices.Clone(times), func(at time.Duration) bool { return at < time.Hour+from || at >= time.Hour+to })
}

// Guards against a lower limit that binds late: the old burst remains, or the old rate is admitted.
func TestLimitFalls(t *testing.T) {
	t.Parallel()
	n := newNetwork(20, 18, single(testLimits[2]))
	n.load("a", 6*time.Second, 24*time.Second, func(at time.Duration) float64 {
		if at < 11*time.Second {
			return 10 // the balance is full when the limit falls
		}
		return 1000
	}, n.anyNode)
	n.at(n.now+12*time.Second, func() {
		n.setLimits(single(testLimits[0]))
		for _, node := range n.nodes {
			if a := node.core.accounts[TenantID("a")]; a != nil && a.balance > testBounds.Divide(testLimits[0]).Burst {
				t.Errorf("balance %.1f after the limit fell", a.balance)
			}
		}
	})
	n.run(24 * time.Second)
	if worst := worstWindow(between(n.admissions["a"], 0, 12*time.Second), testBounds.Window); float64(worst) > testBounds.Max(testLimits[2]) {
		t.Errorf("%d in a window before", worst)
	}
	// A window that begins when the lower limit is in force is within its bound.
	worst := worstWindow(between(n.admissions["a"], 12*time.Second, time.Minute), testBounds.Window)
	t.Logf("worst window after the limit fell %d of %.1f", worst, testBounds.Max(testLimits[0]))
	if float64(worst) > testBounds.Max(testLimits[0]) {
		t.Errorf("%d in a window", worst)
	}
}

// Guards against a higher limit that is not used.
func TestLimitRises(t *testing.T) {
	t.Parallel()
	n := newNetwork(21, 18, single(testLimits[0]))
	n.load("a", 6*time.Second, 20*time.Second, constant(1000), n.anyNode)
	n.at(n.now+12*time.Second, func() { n.setLimits(single(testLimits[2])) })
	n.run(20 * time.Second)
	if got := len(between(n.admissions["a"], 13*time.Second, 20*time.Second)); float64(got) < 0.97*7*testLimits[2].PerSecond {
		t.Errorf("%d admitted in 7 s", got)
	}
	n.check(t, "a", 0)
}

// Guards against accounts, and messages between nodes, of tenants that have no limit any more.
func TestLimitGoes(t *testing.T) {
	t.Parallel()
	n := newNetwork(22, 3, single(testLimits[0]))
	n.load("a", 6*time.Second, 8*time.Second, constant(100), n.anyNode)
	sent := 0
	n.at(n.now+8*time.Second, func() { n.setLimits(nil) })
	n.at(n.now+9*time.Second, func() { sent = n.datagrams })
	n.run(15 * time.Second)
	if n.datagrams != sent {
		t.Errorf("%d datagrams", n.datagrams-sent)
	}
	for _, node := range n.nodes {
		if len(node.core.accounts) > 0 {
			t.Errorf("%d accounts", len(node.core.accounts))
		}
	}
}

// Guards against a second burst for a tenant that is given another name.
func TestRenamedTenant(t *testing.T) {
	t.Parallel()
	n := newNetwork(23, 18, single(testLimits[2]))
	n.load("a", 6*time.Second, 10*time.Second, constant(1000), n.anyNode)
	n.at(n.now+10*time.Second, func() { n.setLimits(map[string]routing.RateLimit{"b": testLimits[2]}) })
	n.load("b", 10*time.Second+time.Millisecond, 20*time.Second, constant(1000), n.anyNode)
	n.run(20 * time.Second)
	n.check(t, "b", 0.85)
	both := slices.Concat(n.admissions["a"], n.admissions["b"])
	if worst := worstWindow(both, testBounds.Window); float64(worst) > testBounds.Max(testLimits[2]) {
		t.Errorf("%d in a window under both names", worst)
	}
}

// Guards against a node that spends the balance anew when it starts, is added, or gets its first
// requests as a standby node.
func TestNewParticipants(t *testing.T) {
	limit := testLimits[0]
	for name, change := range map[string]func(n *network){
		"added":    func(n *network) { n.add() },
		"restarts": func(n *network) { n.start(n.nodes[3]) },
		"standby": func(n *network) {
			n.load("a", 10*time.Second, 16*time.Second, constant(200), func(time.Duration) int { return 17 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(24, 18, single(limit))
			n.standby[17] = true
			for _, node := range n.nodes {
				n.configure(node)
			}
			n.load("a", 6*time.Second, 16*time.Second, constant(10*limit.PerSecond), func(time.Duration) int { return n.random.IntN(17) })
			n.at(n.now+10*time.Second, func() { change(n) })
			n.run(16 * time.Second)
			n.check(t, "a", 0.97)
		})
	}
}

// Guards against excess while nodes know different nodes: each node does not know one other.
func TestDifferentLists(t *testing.T) {
	for _, nodes := range sizes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(25, nodes, single(testLimits[0]))
			for i := range nodes {
				n.hidden[i] = (i+1)%nodes + 1
				n.configure(n.nodes[i])
			}
			n.load("a", 6*time.Second, 16*time.Second, constant(10*testLimits[0].PerSecond), n.anyNode)
			n.run(16 * time.Second)
			n.check(t, "a", 0.97)
		})
	}
}

// Guards against the share of a killed node being spent by others while it may only be partitioned,
// and against it being lost once its entry is gone or it runs again.
func TestKilledNode(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart ", restart), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(26, 3, single(testLimits[0]))
			n.load("a", 6*time.Second, 20*time.Second, constant(10*testLimits[0].PerSecond), func(at time.Duration) int {
				if at < 10*time.Second {
					return n.random.IntN(3)
				}
				return 1 + n.random.IntN(2)
			})
			reserved := func() float64 {
				n.nodes[1].core.reconcile(n.nodes[1].core.accounts[TenantID("a")], n.now)
				return n.nodes[1].core.accounts[TenantID("a")].reserved
			}
			n.at(n.now+10*time.Second, func() { n.nodes[0].stopped = true })
			n.at(n.now+13*time.Second, func() {
				if r := reserved(); r < 0.2 || r > 0.5 {
					t.Errorf("reserved %.2f", r)
				}
				if restart {
					n.start(n.nodes[0])
					return
				}
				n.gone[0] = true
				for _, node := range n.nodes[1:] {
					n.configure(node)
				}
			})
			n.at(n.now+14*time.Second, func() {
				if r := reserved(); r != 0 {
					t.Errorf("reserved %.2f after the node's return or end", r)
				}
			})
			n.run(20 * time.Second)
			n.check(t, "a", 0)
			if got := len(between(n.admissions["a"], 14*time.Second, 20*time.Second)); float64(got) < 0.97*6*testLimits[0].PerSecond {
				t.Errorf("%d admitted in the last 6 s", got)
			}
		})
	}
}

// Guards against a partition of a large fleet, where reports are rarer, that spends the account twice.
func TestPartitionOfLargeFleet(t *testing.T) {
	for _, nodes := range []int{77, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			limit := testLimits[0]
			n := newNetwork(27, nodes, single(limit))
			n.loss = 0
			n.load("a", 500*time.Millisecond, 7*time.Second, func(at time.Duration) float64 {
				if at > 1500*time.Millisecond {
					return 20 * limit.PerSecond
				}
				return 0.8 * limit.PerSecond
			}, n.anyNode)
			n.at(n.now+1500*time.Millisecond, func() {
				for i := range nodes / 3 {
					n.side[i] = 1
				}
			})
			n.run(time.Duration(min(6000, 960_000/nodes)) * time.Millisecond)
			n.check(t, "a", 0)
		})
	}
}

// Guards against memory that grows with all tenants ever seen.
func TestManyTenants(t *testing.T) {
	const tenants = 10_000
	limits := make(map[string]routing.RateLimit, tenants)
	names := make([]string, tenants)
	for i := range names {
		names[i] = fmt.Sprint("tenant", i)
		limits[names[i]] = routing.RateLimit{PerSecond: 1, Burst: 1}
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	n := newNetwork(28, 3, limits)
	n.run(6 * time.Second)
	before := heap()
	for i, name := range names {
		n.at(n.now+time.Duration(i)*100*time.Microsecond, func() { n.request(n.nodes[i%3], name) })
	}
	n.run(9 * time.Second)
	used := int64(heap()-before) / 3
	t.Logf("%d bytes per account on one node", used/tenants)
	if used > 20<<20 {
		t.Errorf("%d bytes per node", used)
	}
	for _, node := range n.nodes {
		if len(node.core.accounts) < tenants*9/10 {
			t.Errorf("%d accounts in use", len(node.core.accounts))
		}
	}
	n.run(30 * time.Second)
	for _, node := range n.nodes {
		if len(node.core.accounts) > 0 || len(node.core.recent) > 0 {
			t.Errorf("%d accounts after 20 s without requests, %d recent", len(node.core.accounts), len(node.core.recent))
		}
	}
}

// Guards against divisions of the bound that admit more than it, or less than the limit.
func TestDivision(t *testing.T) {
	for _, bounds := range []Bounds{testBounds, {Window: 10 * time.Second, Overage: 0.2, Slack: 10}, {Window: time.Second, Overage: 0.1, Slack: 20}} {
		for _, limit := range []routing.RateLimit{{PerSecond: 0.1, Burst: 1}, {PerSecond: 1, Burst: 1}, {PerSecond: 26, Burst: 26}, {PerSecond: 1000, Burst: 10}, {PerSecond: 10, Burst: 1000}} {
			d := bounds.Divide(limit)
			if d.Rate < limit.PerSecond || d.Burst < limit.Burst || d.Failures < 2*d.Initial || d.Initial < 0 {
				t.Errorf("%+v, %+v: %+v", bounds, limit, d)
			}
			if sum := d.Rate*bounds.Window.Seconds() + d.Burst + d.Failures; sum > bounds.Max(limit)+0.001 {
				t.Errorf("%+v, %+v: %.1f of %.1f", bounds, limit, sum, bounds.Max(limit))
			}
		}
	}
	for entries, want := range map[int]bool{1: true, 3: true, 18: true, 77: true, 117: true, 300: true, 1500: false} {
		if err := testBounds.Check(entries); (err == nil) != want {
			t.Errorf("%d entry nodes: %v", entries, err)
		}
	}
}

// Guards against windows over the bound when a tenant's requests reach several standby nodes, which do not
// report to each other as entry nodes do.
func TestStandbyNodes(t *testing.T) {
	limit := routing.RateLimit{PerSecond: 30, Burst: 30}
	n := newNetwork(7, 9, single(limit))
	for i := 6; i < 9; i++ {
		n.standby[i] = true
	}
	for _, node := range n.nodes {
		n.configure(node)
	}
	const from = 20 * time.Second
	n.load("a", from, from+20*time.Second, constant(150), func(time.Duration) int { return 6 + n.random.IntN(3) })
	n.run(from + 20*time.Second)
	if worst := worstWindow(n.admissions["a"], testBounds.Window); float64(worst) > testBounds.Max(limit) {
		t.Errorf("worst window %d of %.0f", worst, testBounds.Max(limit))
	}
}
