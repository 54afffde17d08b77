package quota

import (
	"fmt"
	"slices"
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

// partition runs a fleet whose first third is partitioned from the others from 10 s to 22 s, and
// then until the end. Half of the requests go to either side.
func partition(seed uint64, nodes int, limit routing.RateLimit, start, end time.Duration, rate func(at time.Duration) float64) *network {
	n := newNetwork(seed, nodes, single(limit))
	n.load("a", start, end, rate, func(at time.Duration) int {
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
	n.run(end)
	return n
}

// Guards against both sides of a partition spending the whole account, also if the demand surges
// at the moment of the partition, when neither side knows of it yet. Nothing is owed above the limit.
// But a share that one side reserves for the other is lost if the other does not admit it too: the
// sides' shares must add up to most of the limit.
func TestPartition(t *testing.T) {
	for _, before := range []float64{0.2, 0.8, 10} {
		t.Run(fmt.Sprintf("demand before %g", before), func(t *testing.T) {
			forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
				for seed := range uint64(2) {
					n := partition(seed+10, nodes, limit, 6*time.Second, 26*time.Second, func(at time.Duration) float64 {
						if at > 10*time.Second && at < 22*time.Second {
							return 20 * limit.PerSecond
						}
						return before * limit.PerSecond
					})
					n.check(t, "a", 0.85)
				}
			})
		})
	}
}

// Guards against refusals on one side of a partition while both sides together are below the limit:
// callers stay with their nodes, so that a side needs what it needed before. The sides know that
// demand only from some seconds of random arrivals; 0.06 is what this costs.
func TestPartitionBelowLimit(t *testing.T) {
	forSizes(t, func(t *testing.T, nodes int, limit routing.RateLimit) {
		for seed := range uint64(2) {
			n := partition(seed+10, nodes, limit, 2*time.Second, 26*time.Second, constant(0.8*limit.PerSecond))
			n.check(t, "a", 0.94)
		}
	})
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

// Guards against decisions that depend on the order of a map: a failure would not be found again
// with its seed.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	run := func() (admissions []time.Duration, bytes, datagrams int) {
		n := newNetwork(8, 18, map[string]routing.RateLimit{"a": testLimits[0], "b": testLimits[1], "c": testLimits[2]})
		for _, tenant := range []string{"a", "b", "c"} {
			n.load(tenant, 6*time.Second, 12*time.Second, constant(60), n.anyNode)
		}
		n.at(n.now+8*time.Second, func() {
			for i := range 6 {
				n.side[i] = 1
			}
		})
		n.at(n.now+10*time.Second, func() { n.start(n.nodes[9]) })
		n.run(12 * time.Second)
		return slices.Concat(n.admissions["a"], n.admissions["b"], n.admissions["c"]), n.bytes, n.datagrams
	}
	admissions, bytes, datagrams := run()
	for range 3 {
		again, bytesAgain, datagramsAgain := run()
		if !slices.Equal(admissions, again) || bytes != bytesAgain || datagrams != datagramsAgain {
			t.Fatalf("%d admissions, %d bytes, %d datagrams; then %d, %d, %d", len(admissions), bytes, datagrams, len(again), bytesAgain, datagramsAgain)
		}
	}
}
