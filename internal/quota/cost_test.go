package quota

import (
	"testing"
	"time"
)

// Guards against messages that grow with a tenant's requests while it is far below its limit: only
// heartbeats, and the first reports after a start, may be sent.
func TestIdleCost(t *testing.T) {
	t.Parallel()
	const nodes = 18
	n := newNetwork(40, nodes, single(testLimits[2]))
	n.run(6 * time.Second)
	datagrams, bytes := n.datagrams, n.bytes
	n.load("a", 6*time.Second, 16*time.Second, constant(5), n.anyNode)
	n.run(16 * time.Second)
	perNode := float64(n.datagrams-datagrams) / 10 / nodes
	t.Logf("a node sends %.1f datagrams and %.0f bytes per second", perNode, float64(n.bytes-bytes)/10/nodes)
	if most := 1.05 * (nodes - 1) / heartbeat(nodes-1).Seconds(); perNode > most {
		t.Errorf("%.1f datagrams per second, want %.1f", perNode, most)
	}
}

// BenchmarkReceive is the processor time of a report of 20 tenants.
func BenchmarkReceive(b *testing.B) {
	limits := make(map[uint64]TenantLimit)
	r := report{Node: 2, Incarnation: 3, UptimeMilliseconds: 60_000}
	for i := range 20 {
		id := uint64(i + 1)
		limits[id] = TenantLimit{Limit: testLimits[0]}
		r.Entries = append(r.Entries, entry{Tenant: id, Count: 5, Balance: 100, Demand: 30, LongDemand: 30})
	}
	c := NewCore(CoreConfig{Self: 1, Incarnation: 1, Bounds: testBounds})
	c.SetNodes(0, []Peer{{ID: 2, Address: address(2)}}, nil, true, nil)
	c.SetLimits(0, limits)
	contents := make([][]byte, 1000)
	for i := range contents {
		r.Sequence = uint64(i + 1)
		contents[i] = r.encode()
	}
	now := time.Second
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		if err := c.Receive(now, address(2), contents[i%len(contents)]); err != nil {
			b.Fatal(err)
		}
	}
}
