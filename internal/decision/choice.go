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
	// LatencyEWMA is 0 while it is not known.
	LatencyEWMA time.Duration
	// Warmth grows from 0 for a replica just started to 1.
	Warmth  float64
	Ejected bool
	// BackingOff is true until the time to come back that the replica named
	// when it last refused for load.
	BackingOff bool
	// Unresponsive is true while it holds requests and has answered none for longer
	// than is usual.
	Unresponsive bool
	Tried        bool
	// Excluded is true when the request must not go there: it is bound to other regions.
	Excluded bool
	// ConnectionAvailable is false when the connection budget is used up.
	ConnectionAvailable bool
}

func (c *Candidate) usable() bool { return !c.Tried && !c.Excluded && c.ConnectionAvailable }

// NoCandidate is what ChooseReplica returns when none can be used.
const NoCandidate = -1

// ChooseReplica picks by power of two choices in each ring of distance, and
// prefers the nearer ring's pick until it is expected to take as many times
// longer as the rings' weights are apart. Replicas that are saturated, then
// silent ones, then ones that refused for load, and then ejected ones are taken
// only when no other is left, so that ejection never empties a group.
// The candidates' unknown latencies are filled in.
func ChooseReplica(candidates []Candidate, weights policy.Replicas, random uint64) int {
	return chooseUpTo(passEjected, candidates, weights, random)
}

// ChooseAlternate picks as ChooseReplica does for a hedge or a retry, which is
// not sent to replicas that refuse or are ejected: it would most likely be
// wasted, and multiply the load of an outage.
func ChooseAlternate(candidates []Candidate, weights policy.Replicas, random uint64) int {
	return chooseUpTo(passUnresponsive, candidates, weights, random)
}

func chooseUpTo(last pass, candidates []Candidate, weights policy.Replicas, random uint64) int {
	fillUnknownLatencies(candidates)
	for pass := passAvailable; pass <= last; pass++ {
		if chosen := chooseInPass(candidates, weights, pass, random); chosen != NoCandidate {
			return chosen
		}
	}
	return NoCandidate
}

// chooseInPass compares the picks of the rings.
func chooseInPass(candidates []Candidate, weights policy.Replicas, p pass, random uint64) int {
	best, least := NoCandidate, 0.0
	for ring := topology.SameZone; ring <= topology.OtherRegion; ring++ {
		weight := distanceWeight(weights, ring)
		if weight == 0 {
			continue
		}
		chosen := chooseAtDistance(candidates, ring, p, random)
		if chosen == NoCandidate {
			continue
		}
		if weighed := candidates[chosen].expectedLatency() / weight; best == NoCandidate || weighed < least {
			best, least = chosen, weighed
		}
	}
	return best
}

type pass int

const (
	passAvailable pass = iota
	passSaturated
	passUnresponsive
	passBackingOff
	passEjected
)

func distanceWeight(weights policy.Replicas, ring topology.Distance) float64 {
	switch ring {
	case topology.SameZone:
		return weights.ZoneWeight
	case topology.SameRegion:
		return weights.RegionWeight
	default:
		return weights.FarWeight
	}
}

func (c *Candidate) eligible(ring topology.Distance, p pass) bool {
	if c.Distance != ring || !c.usable() {
		return false
	}
	switch p {
	case passAvailable:
		return !c.Ejected && !c.BackingOff && !c.Unresponsive && c.InFlight < c.Limit
	case passSaturated:
		return !c.Ejected && !c.BackingOff && !c.Unresponsive
	case passUnresponsive:
		return !c.Ejected && !c.BackingOff
	case passBackingOff:
		return !c.Ejected
	default:
		return true
	}
}

func chooseAtDistance(candidates []Candidate, ring topology.Distance, p pass, random uint64) int {
	count := 0
	for i := range candidates {
		if candidates[i].eligible(ring, p) {
			count++
		}
	}
	if count == 0 {
		return NoCandidate
	}
	first := nthEligible(candidates, ring, p, int(uint32(random))%count)
	if count == 1 {
		return first
	}
	offset := 1 + int(random>>32)%(count-1)
	second := nthEligible(candidates, ring, p, (int(uint32(random))%count+offset)%count)
	if candidates[second].cost() < candidates[first].cost() {
		return second
	}
	return first
}

func nthEligible(candidates []Candidate, ring topology.Distance, p pass, n int) int {
	for i := range candidates {
		if !candidates[i].eligible(ring, p) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return NoCandidate
}

// minWarmth keeps the cost of a cold replica finite, so that it gets the
// few requests that warm it.
const minWarmth = 0.1

// fillUnknownLatencies takes a cold replica without a latency to be as fast as the
// others on average. Taken to be fast, it would be sent more than its warmth
// allows. A warm one is taken to be fast, so that it is tried soon.
func fillUnknownLatencies(candidates []Candidate) {
	known, sum := 0, time.Duration(0)
	for i := range candidates {
		if candidates[i].LatencyEWMA > 0 {
			known++
			sum += candidates[i].LatencyEWMA
		}
	}
	if known == 0 || known == len(candidates) {
		return
	}
	for i := range candidates {
		if candidates[i].LatencyEWMA == 0 && candidates[i].Warmth < 1 {
			candidates[i].LatencyEWMA = sum / time.Duration(known)
		}
	}
}

// minLatency bounds a latency from below, and stands for it where none of a
// group's is known.
const minLatency = time.Millisecond

// cost orders the replicas of one ring: the load a slot has, times the usual
// latency.
func (c *Candidate) cost() float64 {
	load := float64(1+c.load()) / float64(max(1, c.Slots))
	return load * c.latency()
}

// expectedLatency is the expectedLatency time of a request, in nanoseconds, by which rings
// are compared. Load counts only once it exceeds the slots.
func (c *Candidate) expectedLatency() float64 {
	load := float64(1+c.load()) / float64(max(1, c.Slots))
	return max(1, load) * c.latency()
}

func (c *Candidate) load() int { return c.InFlight + c.ReportedLoad }

func (c *Candidate) latency() float64 {
	return float64(max(c.LatencyEWMA, minLatency)) / max(c.Warmth, minWarmth)
}
