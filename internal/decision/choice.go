package decision

import (
	"time"

	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/topology"
)

// Candidate is a replica as seen by ChooseReplica.
type Candidate struct {
	Distance topology.Distance
	// InFlight is this daemon's own requests; Limit is the most it may have.
	InFlight int
	Limit    int
	// ReportedLoad is in flight and queued at the replica by its last reply.
	ReportedLoad int
	Slots        int
	LatencyEWMA  time.Duration
	// Warmth grows from 0 for a replica just started to 1.
	Warmth  float64
	Ejected bool
	Tried   bool
	// ConnectionAvailable is false when the connection budget is used up.
	ConnectionAvailable bool
}

func (c *Candidate) usable() bool { return !c.Tried && c.ConnectionAvailable }

// NoCandidate is what ChooseReplica returns when none can be used.
const NoCandidate = -1

// ChooseReplica picks by power of two choices in the nearest ring that has
// room; it spills to farther rings when the near replicas are saturated,
// then to saturated, and last to ejected replicas.
func ChooseReplica(candidates []Candidate, weights policy.Replicas, random uint64) int {
	for pass := passRoom; pass <= passAny; pass++ {
		for ring := topology.SameZone; ring <= topology.OtherRegion; ring++ {
			if ringWeight(weights, ring) == 0 {
				continue
			}
			if chosen := chooseInRing(candidates, ring, pass, random); chosen != NoCandidate {
				return chosen
			}
		}
	}
	return NoCandidate
}

type pass int

const (
	passRoom pass = iota
	passSaturated
	passAny
)

func ringWeight(weights policy.Replicas, ring topology.Distance) float64 {
	switch ring {
	case topology.SameZone:
		return weights.ZoneWeight
	case topology.SameRegion:
		return weights.RegionWeight
	default:
		return weights.FarWeight
	}
}

func (c *Candidate) admitted(ring topology.Distance, p pass) bool {
	if c.Distance != ring || !c.usable() {
		return false
	}
	switch p {
	case passRoom:
		return !c.Ejected && c.InFlight < c.Limit
	case passSaturated:
		return !c.Ejected
	default:
		return true
	}
}

func chooseInRing(candidates []Candidate, ring topology.Distance, p pass, random uint64) int {
	count := 0
	for i := range candidates {
		if candidates[i].admitted(ring, p) {
			count++
		}
	}
	if count == 0 {
		return NoCandidate
	}
	first := nthAdmitted(candidates, ring, p, int(uint32(random))%count)
	if count == 1 {
		return first
	}
	offset := 1 + int(random>>32)%(count-1)
	second := nthAdmitted(candidates, ring, p, (int(uint32(random))%count+offset)%count)
	if candidates[second].cost() < candidates[first].cost() {
		return second
	}
	return first
}

func nthAdmitted(candidates []Candidate, ring topology.Distance, p pass, n int) int {
	for i := range candidates {
		if !candidates[i].admitted(ring, p) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return NoCandidate
}

// leastWarmth keeps the cost of a cold replica finite, so that it gets the
// few requests that warm it.
const leastWarmth = 0.1

// cost is the expected wait: the load a slot has, times the usual latency.
func (c *Candidate) cost() float64 {
	load := float64(1+c.InFlight+c.ReportedLoad) / float64(max(1, c.Slots))
	latency := float64(max(c.LatencyEWMA, time.Millisecond))
	return load * latency / max(c.Warmth, leastWarmth)
}
