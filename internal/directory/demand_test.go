package directory

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/doorpond/doorpond/internal/topology"
)

// The load of the second target deployment in docs/design/tenants-and-load.md.
const (
	demandNodes, demandZones, demandCallers = 117, 6, 132
	demandRate                              = 132.0 // requests per second
	// requestCPU is the CPU time of a request, in seconds: 0.83 of them have 36 sub-requests
	// of 35 µs each (docs/MEASUREMENTS.md), and the caller's own exchange is counted as one more.
	requestCPU    = 0.83*36*35e-6 + 2*35e-6
	waveAmplitude = 0.55
	wavePeriod    = 13.0
)

// demandUtilization returns the highest utilization of any entry node over a wave period, and the
// lowest possible one, with the demand of a region spread over all its nodes by capacity.
func demandUtilization(seed uint64, factor float64) (highest, best float64) {
	random := rand.New(rand.NewPCG(seed, 6))
	var nodes []topology.Node
	capacity := map[string]float64{}
	for i := range demandNodes {
		zone := i % demandZones
		n := sizedNode(fmt.Sprintf("n%03d", i), demandPlace(zone), 0.13+0.67*random.Float64())
		nodes = append(nodes, n)
		capacity[n.Place.Region] += n.Processors
	}
	callers := make([][]string, demandZones) // addresses picked by the callers of each zone
	for i := range demandCallers {
		zone := i % demandZones
		answer, _ := Resolve(&topology.Nodes{Nodes: nodes}, demandPlace(zone), Options{EntryNodes: 3})
		callers[zone] = append(callers[zone], answer.Addresses[random.IntN(len(answer.Addresses))])
	}
	for at := 0.0; at < wavePeriod; at += 0.5 {
		used, regions := map[string]float64{}, map[string]float64{}
		for zone, picked := range callers {
			wave := 1 + waveAmplitude*math.Sin(2*math.Pi*(at/wavePeriod+float64(zone)/demandZones))
			demand := factor * demandRate / demandZones * requestCPU * wave
			regions[demandPlace(zone).Region] += demand
			for _, address := range picked {
				used[address] += demand / float64(len(picked))
			}
		}
		for _, n := range nodes {
			highest = max(highest, used[n.Address]/n.Processors)
		}
		for region, demand := range regions {
			best = max(best, demand/capacity[region])
		}
	}
	return highest, best
}

func demandPlace(zone int) topology.Place {
	return topology.Place{Region: fmt.Sprint("r", zone/2), Zone: fmt.Sprint("z", zone)}
}

// TestEntryNodesUnderMovingDemand guards against entry nodes that are overloaded at the peak of a
// zone's wave although nodes differ in CPU time by a factor of six: a node is overloaded at 0.5.
func TestEntryNodesUnderMovingDemand(t *testing.T) {
	for _, test := range []struct{ factor, limit float64 }{{1, 0.1}, {5, 0.5}} {
		for seed := range uint64(20) {
			highest, best := demandUtilization(seed, test.factor)
			t.Logf("factor %v, seed %d: highest utilization %.3f, lowest possible %.3f", test.factor, seed, highest, best)
			if highest > test.limit {
				t.Errorf("factor %v, seed %d: utilization %.3f, want at most %.2f", test.factor, seed, highest, test.limit)
			}
		}
	}
}
