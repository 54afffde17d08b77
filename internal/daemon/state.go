package daemon

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/topology"
)

// state returns the state that is reported to operators and peers.
func (d *Daemon) state() peer.NodeState {
	state := peer.NodeState{Member: d.node.Self(), Version: Version, Phase: *d.board.Phase.Load()}
	if table := d.board.PolicyTable.Load(); table != nil {
		state.TableRevision = table.Table.Revision
	}
	if catalogue := d.board.Catalogue.Load(); catalogue != nil {
		state.CatalogueRevision = catalogue.Revision
	}
	state.Store = d.storeStatus()
	if members := d.board.Members.Load(); members != nil {
		state.MembersKnown = len(members.Members)
	}
	d.countReplicas(&state)
	return state
}

// countReplicas counts and lists the replicas that do not receive their full share of
// requests.
func (d *Daemon) countReplicas(state *peer.NodeState) {
	if replicas := d.board.Replicas.Load(); replicas != nil {
		for _, name := range slices.Sorted(maps.Keys(replicas.Groups)) {
			for _, replica := range replicas.Groups[name] {
				countReplica(state, replica)
			}
		}
	}
	for _, status := range d.pool.Statuses() {
		if status.Ejected {
			state.ReplicasEjected++
			appendTroubled(state, peer.DegradedReplica{
				Address: status.Address, Incarnation: status.Incarnation, Group: status.Group, Place: status.Place,
				Reason: peer.ReasonEjected,
			})
		}
	}
}

func countReplica(state *peer.NodeState, replica topology.Replica) {
	troubled := peer.DegradedReplica{
		Address: replica.Address, Incarnation: replica.Incarnation, Group: replica.Group, Place: replica.Place,
	}
	switch replica.State {
	case topology.ReplicaLeaving:
		state.ReplicasLeaving++
		troubled.Reason = peer.ReasonLeaving
	case topology.ReplicaCold:
		state.ReplicasCold++
		troubled.Reason = peer.ReasonCold
	case topology.ReplicaServing:
		return
	}
	appendTroubled(state, troubled)
}

func appendTroubled(state *peer.NodeState, replica peer.DegradedReplica) {
	if len(state.DegradedReplicas) < peer.MaxDegradedReplicas {
		state.DegradedReplicas = append(state.DegradedReplicas, replica)
	}
}

// encodedStatistics returns the encoded statistics, which peers merge to compare policies.
func (d *Daemon) encodedStatistics(since time.Duration) ([]byte, error) {
	encoded, err := msgpack.Marshal(d.statistics.Snapshot(since))
	return encoded, eris.Wrap(err, "encode statistics")
}
