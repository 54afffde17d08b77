package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

var sizes = []int{3, 18}

// testLimits are limits like those of the target deployment.
var testLimits = []routing.RateLimit{{PerSecond: 26, Burst: 26}, {PerSecond: 1, Burst: 1}, {PerSecond: 100, Burst: 100}}

// forSizes runs a test with each size of the fleet and each limit.
func forSizes(t *testing.T, run func(t *testing.T, nodes int, limit routing.RateLimit)) {
	for _, nodes := range sizes {
		for _, limit := range testLimits {
			t.Run(fmt.Sprintf("%d nodes, rate %g", nodes, limit.PerSecond), func(t *testing.T) {
				t.Parallel()
				run(t, nodes, limit)
			})
		}
	}
}

func single(limit routing.RateLimit) map[string]routing.RateLimit {
	return map[string]routing.RateLimit{"a": limit}
}

// Guards against refusals below the limit, and against admitting more than it when a tenant sends
// ten times as much, with requests spread over all nodes.
func TestEvenSpread(t *testing.T) {
	for _, factor := range []float64{0.8, 1.1, 10} {
		t.Run(fmt.Sprintf("demand %g", factor), func(t *testing.T) {
			forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
				n := newNetwork(1, nodes, single(limit))
				end := 20 * time.Second
				n.load("a", 6*time.Second, end, constant(factor*limit.PerSecond), n.anyNode)
				n.run(end)
				n.check(t, "a", 0.99)
			})
		})
	}
}

// Guards against a tenant getting only one node's share of its limit.
func TestOneNode(t *testing.T) {
	for _, factor := range []float64{0.8, 10} {
		t.Run(fmt.Sprintf("demand %g", factor), func(t *testing.T) {
			forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
				n := newNetwork(2, nodes, single(limit))
				end := 20 * time.Second
				n.load("a", 6*time.Second, end, constant(factor*limit.PerSecond), func(time.Duration) int { return 1 })
				n.run(end)
				n.check(t, "a", 0.97)
			})
		})
	}
}

// Guards against refusals or excess while a tenant moves from node to node.
func TestChangingNodes(t *testing.T) {
	for _, factor := range []float64{0.8, 10} {
		t.Run(fmt.Sprintf("demand %g", factor), func(t *testing.T) {
			forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
				n := newNetwork(3, nodes, single(limit))
				end := 20 * time.Second
				n.load("a", 6*time.Second, end, constant(factor*limit.PerSecond), func(at time.Duration) int { return int(at/time.Second) * 7 % nodes })
				n.run(end)
				n.check(t, "a", 0.97)
			})
		})
	}
}

// Guards against both sides of a partition spending the whole account.
func TestPartition(t *testing.T) {
	for _, before := range []float64{0.2, 0.8, 10} {
		t.Run(fmt.Sprintf("demand before %g", before), func(t *testing.T) {
			forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
				n := newNetwork(4, nodes, single(limit))
				n.load("a", 6*time.Second, 26*time.Second, func(at time.Duration) float64 {
					if at > 10*time.Second && at < 22*time.Second {
						return 20 * limit.PerSecond
					}
					return before * limit.PerSecond
				}, func(at time.Duration) int {
					if n.random.IntN(2) == 0 {
						return n.random.IntN(max(1, nodes/3))
					}
					return nodes/3 + n.random.IntN(nodes-nodes/3)
				})
				n.at(n.now+10*time.Second, func() {
					for i := range nodes / 3 {
						n.side[i] = 1
					}
				})
				n.at(n.now+22*time.Second, func() { clear(n.side) })
				n.run(26 * time.Second)
				// Shares of demand are estimated from few requests here, so that a part of the limit
				// stays unused until the partition ends.
				n.check(t, "a", 0.4)
			})
		})
	}
}

// Guards against the burst being admitted anew after each of two restarts of all nodes.
func TestRestartOfAll(t *testing.T) {
	for _, factor := range []float64{0.8, 10} {
		t.Run(fmt.Sprintf("demand %g", factor), func(t *testing.T) {
			forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
				n := newNetwork(5, nodes, single(limit))
				n.load("a", 6*time.Second, 18*time.Second, constant(factor*limit.PerSecond), n.anyNode)
				for _, at := range []time.Duration{10 * time.Second, 13 * time.Second} {
					n.at(n.now+at, func() {
						for _, node := range n.nodes {
							n.start(node)
						}
					})
				}
				n.run(18 * time.Second)
				n.check(t, "a", 0.9)
			})
		})
	}
}

// Guards against delays that grow with the number of nodes until windows exceed the bound.
func TestLargeFleet(t *testing.T) {
	limit := testLimits[0]
	n := newNetwork(6, 77, single(limit))
	n.load("a", 6*time.Second, 13*time.Second, constant(10*limit.PerSecond), n.anyNode)
	n.run(13 * time.Second)
	n.check(t, "a", 0.99)
}

// Guards against a node that resumes after a freeze and spends what others have spent meanwhile.
func TestFrozenNode(t *testing.T) {
	forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
		n := newNetwork(7, nodes, single(limit))
		n.load("a", 6*time.Second, 24*time.Second, constant(10*limit.PerSecond), n.anyNode)
		n.at(n.now+10*time.Second, func() { n.nodes[0].frozen = true })
		n.at(n.now+18*time.Second, func() { n.thaw(n.nodes[0]) })
		n.run(24 * time.Second)
		r := n.judge("a")
		t.Logf("worst window %.0f of %.1f", r.worst, r.bound)
		if r.worst > r.bound {
			t.Errorf("%.0f requests in a window, bound %.1f", r.worst, r.bound)
		}
	})
}
