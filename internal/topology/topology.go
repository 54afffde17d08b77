// Package topology describes the machines that a daemon knows as immutable
// data: the daemons of the system (members) and the replicas of the back ends.
package topology

import "time"

// Place is where a process runs.
type Place struct {
	Region string `json:"region" msgpack:"r" yaml:"region"`
	Zone   string `json:"zone" msgpack:"z" yaml:"zone"`
}

// Distance is how far two places are from each other.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// distanceNames are the names of the distances in metrics.
var distanceNames = [...]string{SameZone: "zone", SameRegion: "region", OtherRegion: "far"}

// String returns the name of a distance.
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

// MemberState is what is believed of a daemon.
type MemberState uint8

// The states of a member. A higher state wins at equal incarnation.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
	MemberLeft
)

// Member is one daemon.
type Member struct {
	// ID is the daemon's name, unique for each start of the process.
	ID string `json:"id" msgpack:"i"`
	// PeerAddress is IP:port of the internal protocol.
	PeerAddress string `json:"peer_address" msgpack:"a"`
	Place       Place  `json:"place" msgpack:"p"`
	// Incarnation is raised by the member itself to refute suspicion.
	Incarnation uint64      `json:"incarnation" msgpack:"n"`
	State       MemberState `json:"state" msgpack:"s"`
}

// Members is every daemon known, sorted by ID.
type Members struct {
	Self    Member   `json:"self"`
	Members []Member `json:"members"`
	// Standby is true while this daemon holds connections only for the few
	// requests that come to it all the same.
	Standby bool `json:"standby,omitempty"`
	// ColdRateSharers are the IDs of the daemons that divide among themselves what a cold
	// replica takes: those that callers are led to, present or of late.
	ColdRateSharers []string `json:"sharing,omitempty"`
}

// ReplicaState is what is believed of a back-end replica.
type ReplicaState uint8

// The states of a replica.
const (
	// ReplicaServing takes requests.
	ReplicaServing ReplicaState = iota
	// ReplicaCold has started lately and takes few requests.
	ReplicaCold
	// ReplicaLeaving takes no new requests, for good, at this incarnation.
	ReplicaLeaving
	// ReplicaMissing is no longer listed, without having said that it leaves;
	// it takes requests only when no other replica is left.
	ReplicaMissing
	// ReplicaEvacuated stands in a zone to which operators want nothing sent. It may
	// serve again, and is cold then.
	ReplicaEvacuated
)

// AcceptsRequests is true for the states in which a replica may be sent requests.
func (s ReplicaState) AcceptsRequests() bool { return s != ReplicaLeaving && s != ReplicaEvacuated }

// Replica is one back-end process.
type Replica struct {
	// Address is IP:port. Address and Incarnation together name one process.
	Address     string `json:"address" msgpack:"a"`
	Incarnation string `json:"incarnation" msgpack:"n"`
	// Group names the replicas that hold the same shards, or the service for
	// calls that may not be repeated.
	Group string       `json:"group" msgpack:"g"`
	Place Place        `json:"place" msgpack:"p"`
	State ReplicaState `json:"state" msgpack:"s"`
	// Slots is the number of requests that run at once.
	Slots int `json:"slots" msgpack:"l"`
	// ConnectionLimit is the number of connections it accepts from all
	// daemons together.
	ConnectionLimit int `json:"connection_limit" msgpack:"c"`
	// StartedAt is when the replica has started; zero when it does not say. A replica that
	// starts again under its identifier is told from the one before by it.
	StartedAt time.Time `json:"born,omitzero" msgpack:"b,omitempty"`
	// ColdRemaining is how much longer the replica is cold, as of its entry; 0 when it does
	// not say.
	ColdRemaining time.Duration `json:"cold_for,omitempty" msgpack:"f,omitempty"`
	// ColdRate is the number of requests that all nodes together send it in any one
	// second while it is cold; 0 means that they are not bounded.
	ColdRate int `json:"cold_rate,omitempty" msgpack:"r,omitempty"`
}

// Replicas is every replica known, by group; each group is sorted by address.
type Replicas struct {
	Groups map[string][]Replica `json:"groups"`
}
