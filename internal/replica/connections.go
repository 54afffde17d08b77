package replica

import (
	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// connectionReserve is the part of a replica's limit that is left free for
// daemons that are not known yet.
const connectionReserve = 0.1

// ConnectionBudget returns how many connections one daemon may hold to a
// replica, so that all daemons together stay under the replica's limit. With
// more daemons than connections, a subset of the daemons gets one each: the
// nearest to the replica, in order of a rendezvous hash. 0 means that this
// daemon must not connect. Every daemon with the same members gets the same
// shares.
func ConnectionBudget(members topology.Members, replica topology.Replica) int {
	usable := max(1, int(float64(replica.ConnectionLimit)*(1-connectionReserve)))
	daemons := 1
	for i := range members.Members {
		member := &members.Members[i]
		if holdsConnections(member) && member.ID != members.Self.ID {
			daemons++
		}
	}
	if daemons <= usable {
		return usable / daemons
	}
	if nearerDaemons(members, replica, usable) < usable {
		return 1
	}
	return 0
}

// holdsConnections is true for a member that may still have connections.
func holdsConnections(member *topology.Member) bool {
	return member.State < topology.MemberDead
}

// nearerDaemons counts the daemons that go before this one, up to enough.
func nearerDaemons(members topology.Members, replica topology.Replica, enough int) int {
	self := members.Self
	selfDistance := self.Place.DistanceTo(replica.Place)
	selfHash := rendezvousHash(self.ID, replica.Address)
	nearer := 0
	for i := range members.Members {
		member := &members.Members[i]
		if !holdsConnections(member) || member.ID == self.ID {
			continue
		}
		distance := member.Place.DistanceTo(replica.Place)
		if distance > selfDistance {
			continue
		}
		if distance < selfDistance || rendezvousHash(member.ID, replica.Address) < selfHash {
			nearer++
		}
		if nearer >= enough {
			return nearer
		}
	}
	return nearer
}

func rendezvousHash(member, address string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(member) // never fails
	_, _ = digest.WriteString(address)
	return digest.Sum64()
}
