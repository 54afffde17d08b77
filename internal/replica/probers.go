package replica

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// probersPerReplica is how many daemons probe each replica, so that one of
// them may be frozen, gone or cut off.
const probersPerReplica = 2

// probeCandidate is a daemon that may probe a replica.
type probeCandidate struct {
	// weight is its rendezvous hash with the replica; the highest is first.
	weight     uint64
	zone, rank int // in the plan
}

// proberSelection keeps the best candidates that it was offered. Those of one
// distance are offered before farther ones.
type proberSelection struct {
	chosen []probeCandidate
	fixed  int // of the chosen, which candidates of this distance do not replace
}

func (c *proberSelection) full() bool { return len(c.chosen) == probersPerReplica }

func (c *proberSelection) offer(candidate probeCandidate) {
	at := len(c.chosen)
	for at > c.fixed && candidate.weight > c.chosen[at-1].weight {
		at--
	}
	if at == probersPerReplica || slices.Contains(c.chosen, candidate) {
		return
	}
	kept := c.chosen[:min(len(c.chosen), probersPerReplica-1)]
	c.chosen = slices.Insert(kept, at, candidate)
}

// Probers returns the daemons that probe a replica: of those that may connect
// to it and are not leaving, the nearest, by rendezvous hash. It is a pure
// function of the members and replicas, so daemons that know the same agree.
func (g *GroupConnections) Probers(replica int) []topology.Member {
	var probers []topology.Member
	for _, candidate := range g.chooseProbers(replica) {
		probers = append(probers, g.plan.zones[candidate.zone].daemons[candidate.rank])
	}
	return probers
}

func (g *GroupConnections) chooseProbers(replica int) []probeCandidate {
	choice := proberSelection{chosen: make([]probeCandidate, 0, probersPerReplica)}
	key := xxhash.Sum64String(g.replicas[replica].Address)
	distances := g.plan.zoneDistances(g.replicas[replica].Place)
	holders := g.holderRanges(replica)
	for distance := topology.SameZone; distance <= topology.OtherRegion && !choice.full(); distance++ {
		choice.fixed = len(choice.chosen)
		for _, holder := range holders {
			if distances[holder.zone] == distance {
				g.plan.offerRange(&choice, holder, key)
			}
		}
	}
	return choice.chosen
}

// offerRange offers the daemons of a window that are not leaving.
func (p *ConnectionPlan) offerRange(choice *proberSelection, holder daemonRange, key uint64) {
	zone := &p.zones[holder.zone]
	for offset := range holder.count {
		rank := (holder.start + offset) % len(zone.daemons)
		if zone.daemons[rank].State < topology.MemberLeaving {
			choice.offer(probeCandidate{weight: rendezvousWeight(zone.hashes[rank], key), zone: holder.zone, rank: rank})
		}
	}
}

// Probes is true when this daemon probes a replica.
func (g *GroupConnections) Probes(replica int) bool {
	return slices.ContainsFunc(g.chooseProbers(replica), func(candidate probeCandidate) bool {
		return candidate.zone == g.plan.selfZone && candidate.rank == g.plan.selfRank
	})
}

// holderRanges returns the runs of daemons that may connect to a replica.
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

// rendezvousWeight hashes the hash of a daemon with that of a replica.
func rendezvousWeight(daemon, replica uint64) uint64 {
	var joined [16]byte
	binary.LittleEndian.PutUint64(joined[:8], daemon)
	binary.LittleEndian.PutUint64(joined[8:], replica)
	return xxhash.Sum64(joined[:])
}
