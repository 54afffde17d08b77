package replica

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// probersPerReplica is the number of daemons that probe each replica. It
// provides redundancy if one of them is suspended or partitioned.
const probersPerReplica = 2

// probeCandidate is a daemon that may probe a replica.
type probeCandidate struct {
	// weight is the rendezvous hash of daemon and replica; the highest wins.
	weight     uint64
	zone, rank int // indexes in the plan
}

// proberSelection keeps the best candidates offered so far. Candidates must be
// offered in order of distance.
type proberSelection struct {
	chosen []probeCandidate
	fixed  int // number of chosen that are nearer than the current distance
}

func (s *proberSelection) full() bool { return len(s.chosen) == probersPerReplica }

func (s *proberSelection) offer(candidate probeCandidate) {
	at := len(s.chosen)
	for at > s.fixed && candidate.weight > s.chosen[at-1].weight {
		at--
	}
	if at == probersPerReplica || slices.Contains(s.chosen, candidate) {
		return
	}
	kept := s.chosen[:min(len(s.chosen), probersPerReplica-1)]
	s.chosen = slices.Insert(kept, at, candidate)
}

// Probers returns the daemons that probe a replica: the nearest of those that
// may connect to it and are not leaving, selected by rendezvous hashing. The
// result depends only on the members and replicas, so daemons with the same
// lists agree.
func (g *GroupConnections) Probers(replica int) []topology.Member {
	var probers []topology.Member
	for _, candidate := range g.chooseProbers(replica) {
		probers = append(probers, g.plan.zones[candidate.zone].daemons[candidate.rank])
	}
	return probers
}

func (g *GroupConnections) chooseProbers(replica int) []probeCandidate {
	selection := proberSelection{chosen: make([]probeCandidate, 0, probersPerReplica)}
	key := xxhash.Sum64String(g.replicas[replica].Address)
	distances := g.plan.zoneDistances(g.replicas[replica].Place)
	holders := g.holderRanges(replica)
	for distance := topology.SameZone; distance <= topology.OtherRegion && !selection.full(); distance++ {
		selection.fixed = len(selection.chosen)
		for _, holder := range holders {
			if distances[holder.zone] == distance {
				g.plan.offerRange(&selection, holder, key)
			}
		}
	}
	return selection.chosen
}

// offerRange offers the daemons of a range that are not leaving.
func (p *ConnectionPlan) offerRange(selection *proberSelection, daemons daemonRange, key uint64) {
	zone := &p.zones[daemons.zone]
	for offset := range daemons.count {
		rank := (daemons.start + offset) % len(zone.daemons)
		if zone.daemons[rank].State < topology.MemberLeaving {
			selection.offer(probeCandidate{weight: rendezvousWeight(zone.hashes[rank], key), zone: daemons.zone, rank: rank})
		}
	}
}

// Probes reports whether this daemon probes a replica.
func (g *GroupConnections) Probes(replica int) bool {
	return slices.ContainsFunc(g.chooseProbers(replica), func(candidate probeCandidate) bool {
		return candidate.zone == g.plan.selfZone && candidate.rank == g.plan.selfRank
	})
}

// holderRanges returns the daemons that may connect to a replica.
func (g *GroupConnections) holderRanges(replica int) []daemonRange {
	if g.allocations[replica].perDaemon == 0 {
		return g.allocations[replica].ranges
	}
	all := make([]daemonRange, len(g.plan.zones))
	for zone := range g.plan.zones {
		all[zone] = daemonRange{zone: zone, count: len(g.plan.zones[zone].daemons)}
	}
	return all
}

// rendezvousWeight combines the hashes of a daemon and a replica.
func rendezvousWeight(daemon, replica uint64) uint64 {
	var combined [16]byte
	binary.LittleEndian.PutUint64(combined[:8], daemon)
	binary.LittleEndian.PutUint64(combined[8:], replica)
	return xxhash.Sum64(combined[:])
}
