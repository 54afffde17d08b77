package decision

import (
	"time"

	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/topology"
)

// Candidate is the state of a replica as seen by ChooseReplica.
type Candidate struct {
	Distance topology.Distance
	// InFlight is the number of this daemon's requests in flight, Limit its
	// maximum.
	InFlight int
	Limit    int
	// ReportedLoad is the number of requests running and queued at the replica
	// according to its latest reply.
	ReportedLoad int
	Slots        int
	// LatencyEWMA is 0 if unknown.
	LatencyEWMA time.Duration
	// Warmth rises from 0 for a replica that has just started to 1.
	Warmth  float64
	Ejected bool
	// BackingOff is true until the time to retry that the replica gave when it
	// last shed load.
	BackingOff bool
	// Unresponsive is true if the replica has requests in flight and has not
	// replied to any for longer than expected.
	Unresponsive bool
	// RunsCanary is true if the replica runs a request of this node that may
	// crash it.
	RunsCanary bool
	Tried      bool
	// Excluded is true if the request must not be sent to the replica, such as one
	// restricted to other regions.
	Excluded bool
	// ConnectionAvailable is false if the connection budget is exhausted.
	ConnectionAvailable bool
}

func (c *Candidate) usable() bool { return !c.Tried && !c.Excluded && c.ConnectionAvailable }

// NoCandidate is returned by ChooseReplica if no candidate can be used.
const NoCandidate = -1

// ChooseReplica returns the index of the candidate to use. It picks one at each
// distance by the power of two choices, and among these the one with the lowest
// expected latency divided by the weight of its distance. Saturated replicas are
// used only if there is no other, then ones that run a canary, then unresponsive
// ones, then ones that are backing off, and then ejected ones, so that ejection
// never empties a group.
// Unknown latencies of the candidates are filled in.
func ChooseReplica(candidates []Candidate, weights policy.Replicas, random uint64) int {
	return chooseUpTo(passEjected, candidates, weights, random)
}

// ChooseAlternate is ChooseReplica for hedges and retries. It does not use
// replicas that are backing off or ejected, where a retry would most likely fail
// and amplify an overload.
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

// chooseInPass returns the best of the candidates picked at each distance.
func chooseInPass(candidates []Candidate, weights policy.Replicas, p pass, random uint64) int {
	best, lowest := NoCandidate, 0.0
	for distance := topology.SameZone; distance <= topology.OtherRegion; distance++ {
		weight := distanceWeight(weights, distance)
		if weight == 0 {
			continue
		}
		chosen := chooseAtDistance(candidates, distance, p, random)
		if chosen == NoCandidate {
			continue
		}
		if weighted := candidates[chosen].expectedLatency() / weight; best == NoCandidate || weighted < lowest {
			best, lowest = chosen, weighted
		}
	}
	return best
}

// pass is a pass over the candidates. Each pass also admits candidates that the
// earlier ones do not.
type pass int

const (
	passAvailable pass = iota
	passSaturated
	passCanary
	passUnresponsive
	passBackingOff
	passEjected
)

func distanceWeight(weights policy.Replicas, distance topology.Distance) float64 {
	switch distance {
	case topology.SameZone:
		return weights.ZoneWeight
	case topology.SameRegion:
		return weights.RegionWeight
	default:
		return weights.FarWeight
	}
}

func (c *Candidate) eligible(distance topology.Distance, p pass) bool {
	if c.Distance != distance || !c.usable() {
		return false
	}
	switch p {
	case passAvailable:
		return !c.Ejected && !c.BackingOff && !c.Unresponsive && !c.RunsCanary && c.InFlight < c.Limit
	case passSaturated:
		return !c.Ejected && !c.BackingOff && !c.Unresponsive && !c.RunsCanary
	case passCanary:
		return !c.Ejected && !c.BackingOff && !c.Unresponsive
	case passUnresponsive:
		return !c.Ejected && !c.BackingOff
	case passBackingOff:
		return !c.Ejected
	default:
		return true
	}
}

func chooseAtDistance(candidates []Candidate, distance topology.Distance, p pass, random uint64) int {
	count := 0
	for i := range candidates {
		if candidates[i].eligible(distance, p) {
			count++
		}
	}
	if count == 0 {
		return NoCandidate
	}
	first := nthEligible(candidates, distance, p, int(uint32(random))%count)
	if count == 1 {
		return first
	}
	offset := 1 + int(random>>32)%(count-1)
	second := nthEligible(candidates, distance, p, (int(uint32(random))%count+offset)%count)
	if candidates[second].cost() < candidates[first].cost() {
		return second
	}
	return first
}

func nthEligible(candidates []Candidate, distance topology.Distance, p pass, n int) int {
	for i := range candidates {
		if !candidates[i].eligible(distance, p) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return NoCandidate
}

// minWarmth keeps the cost of a cold replica finite, so that it gets the few
// requests that warm it up.
const minWarmth = 0.1

// fillUnknownLatencies sets the unknown latency of a cold replica to the average
// of the known ones, so that it is not preferred beyond its warmth. A warm replica
// keeps its unknown latency and is assumed to be fast, so that it is tried soon.
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

// minLatency is a lower bound for latencies and the default for unknown ones.
const minLatency = time.Millisecond

// cost is the load per slot times the latency. It compares the replicas at one
// distance.
func (c *Candidate) cost() float64 {
	load := float64(1+c.load()) / float64(max(1, c.Slots))
	return load * c.latency()
}

// expectedLatency is the expected time of a request in nanoseconds. It compares
// replicas at different distances, so load counts only beyond the slots.
func (c *Candidate) expectedLatency() float64 {
	load := float64(1+c.load()) / float64(max(1, c.Slots))
	return max(1, load) * c.latency()
}

func (c *Candidate) load() int { return c.InFlight + c.ReportedLoad }

func (c *Candidate) latency() float64 {
	return float64(max(c.LatencyEWMA, minLatency)) / max(c.Warmth, minWarmth)
}
