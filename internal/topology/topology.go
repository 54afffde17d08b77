// Package topology describes the known processes as immutable data: the daemons of the
// system (members) and the replicas of the back ends.
package topology

import "time"

// Place is the location of a process.
type Place struct {
	Region string `json:"region" msgpack:"r" yaml:"region"`
	Zone   string `json:"zone" msgpack:"z" yaml:"zone"`
}

// Distance is the distance between two places.
type Distance int

// Distances in ascending order.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// distanceNames are label values in metrics.
var distanceNames = [...]string{SameZone: "zone", SameRegion: "region", OtherRegion: "far"}

func (d Distance) String() string { return distanceNames[d] }

// DistanceTo returns the distance between two places.
func (p Place) DistanceTo(other Place) Distance {
	switch {
	case p == other:
		return SameZone
	case p.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// MemberState is the state of a daemon in the membership protocol.
type MemberState uint8

// Member states. At equal incarnation, a higher state takes precedence.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
	MemberLeft
)

// Member is a daemon as known to the membership protocol.
type Member struct {
	// ID is unique per start of the process.
	ID string `json:"id" msgpack:"i"`
	// PeerAddress is the IP:port of the internal protocol.
	PeerAddress string `json:"peer_address" msgpack:"a"`
	Place       Place  `json:"place" msgpack:"p"`
	// Incarnation is incremented by the member itself to refute a suspicion.
	Incarnation uint64      `json:"incarnation" msgpack:"n"`
	State       MemberState `json:"state" msgpack:"s"`
}

// Members holds all known daemons, sorted by ID.
type Members struct {
	Self    Member   `json:"self"`
	Members []Member `json:"members"`
	// Standby is true while this daemon is not an entry node. It then holds
	// connections only for the few requests that it still receives.
	Standby bool `json:"standby,omitempty"`
	// ColdRateSharers are the IDs of the daemons that share the request rate of cold
	// replicas: the current and recent entry nodes.
	ColdRateSharers []string `json:"sharing,omitempty"`
}

// ReplicaState is the state of a back-end replica.
type ReplicaState uint8

// Replica states.
const (
	// ReplicaServing accepts requests.
	ReplicaServing ReplicaState = iota
	// ReplicaCold has recently started and is sent few requests.
	ReplicaCold
	// ReplicaLeaving accepts no new requests. The state is final for the incarnation.
	ReplicaLeaving
	// ReplicaVanished is no longer listed but has not announced that it is leaving. It is
	// sent requests only if no other replica is left.
	ReplicaVanished
	// ReplicaEvacuated is in a zone that operators have evacuated. It is sent no
	// requests, and is cold if it serves again.
	ReplicaEvacuated
)

// AcceptsRequests reports whether a replica in this state may be sent requests.
func (s ReplicaState) AcceptsRequests() bool {
	return s != ReplicaLeaving && s != ReplicaEvacuated
}

// Replica is a back-end process.
type Replica struct {
	// Address is the IP:port. Address and Incarnation together identify a process.
	Address     string `json:"address" msgpack:"a"`
	Incarnation string `json:"incarnation" msgpack:"n"`
	// Group names the replicas that hold the same shards, or the service for
	// calls that may not be repeated.
	Group string       `json:"group" msgpack:"g"`
	Place Place        `json:"place" msgpack:"p"`
	State ReplicaState `json:"state" msgpack:"s"`
	// Slots is the number of requests that the replica runs concurrently.
	Slots int `json:"slots" msgpack:"l"`
	// ConnectionLimit is the number of connections that the replica accepts from all
	// daemons together.
	ConnectionLimit int `json:"connection_limit" msgpack:"c"`
	// StartedAt is when the replica started; zero if unknown. It distinguishes a
	// restarted replica from its predecessor with the same identifier.
	StartedAt time.Time `json:"born,omitzero" msgpack:"b,omitempty"`
	// ColdRemaining is how much longer the replica is cold, as of its entry; 0 if
	// unknown.
	ColdRemaining time.Duration `json:"cold_for,omitempty" msgpack:"f,omitempty"`
	// ColdRate is the maximum number of requests per second that all nodes together
	// send to the replica while it is cold; 0 means unlimited.
	ColdRate int `json:"cold_rate,omitempty" msgpack:"r,omitempty"`
}

// Replicas holds all known replicas by group, each group sorted by address.
type Replicas struct {
	Groups map[string][]Replica `json:"groups"`
}
