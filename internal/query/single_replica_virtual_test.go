package query_test

// Guards against a shard that fails while there is time left, because its only eligible
// replica rejected the first attempt and was not tried again.

import (
	"testing"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

// keepOneReplicaPerShard leaves one replica for each shard, and makes all shards required.
func keepOneReplicaPerShard(board *blackboard.Board, route *routing.Route) {
	single := make(map[string][]topology.Replica)
	for group, replicas := range board.Replicas.Load().Groups {
		single[group] = replicas[:1]
	}
	board.Replicas.Publish(&topology.Replicas{Groups: single})
	route.MinShards = len(route.Shards)
	route.Policy.Completeness.Min = 1
}

// TestSingleReplicaRetriedAfterRejection has the only replica of a shard reject some
// requests. The attempts and the retry budget allow enough retries.
func TestSingleReplicaRetriedAfterRejection(t *testing.T) {
	const rejectionRate = 0.05
	got := runDeployment(t, 1, defaultLimits, keepOneReplicaPerShard, injectFault(replyRejected, rejectionRate))
	t.Logf("%d of %d requests answered", got.answered, got.requests)
	if float64(got.answered) < minAnswered*float64(got.requests) {
		t.Errorf("%d of %d requests answered", got.answered, got.requests)
	}
	if got.excess > 0 {
		t.Errorf("%d repeats in %v, %.0f over the limit", got.repeats, budgetWindow, got.excess)
	}
}
