package document

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// Elected tells whether this daemon is one of the few of its zone that follow
// the store: the perZone live ones with the highest rendezvous hash. Daemons
// may differ for a while on who is elected; two or none do no harm.
func Elected(members *topology.Members, perZone int) bool {
	if members == nil {
		return false
	}
	ahead := 0
	own := rendezvous(members.Self.ID)
	for i := range members.Members {
		other := &members.Members[i]
		if other.ID == members.Self.ID || other.Place != members.Self.Place || !mayFollow(other.State) {
			continue
		}
		if cmp.Compare(rendezvous(other.ID), own) > 0 {
			ahead++
		}
	}
	return ahead < perZone
}

// mayFollow leaves out members that are gone or going. A suspected one still
// counts, as most suspicions are refuted.
func mayFollow(state topology.MemberState) bool {
	return slices.Contains([]topology.MemberState{topology.MemberAlive, topology.MemberSuspect}, state)
}

func rendezvous(memberID string) uint64 { return xxhash.Sum64String("store follower " + memberID) }
