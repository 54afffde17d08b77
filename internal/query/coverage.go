package query

import (
	"slices"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/decision"
)

// buildCoverage reports which shards were searched. A shard counts as answered only
// if the core has accepted its reply.
func buildCoverage(snapshot *catalogue.Snapshot, query *client.Query, selected decision.ShardSelection, status func(int) decision.ShardStatus) client.Coverage {
	coverage := client.Coverage{Indexes: []client.IndexCoverage{}}
	positions := make(map[string]int, len(snapshot.Indexes))
	for i := range snapshot.Indexes {
		index := &snapshot.Indexes[i]
		if len(query.Indexes) > 0 && !slices.Contains(query.Indexes, index.Name) {
			continue
		}
		positions[index.Name] = len(coverage.Indexes)
		coverage.Indexes = append(coverage.Indexes, client.IndexCoverage{
			Index: index.Name, Shards: len(index.Groups),
			Missing: []client.ShardReport{}, NotAsked: []client.ShardReport{},
		})
	}
	for i := range selected.Asked {
		shard := &selected.Asked[i]
		addAskedShard(&coverage.Indexes[positions[shard.Index]], shard, status(i))
	}
	for _, report := range selected.NotAsked {
		index := &coverage.Indexes[positions[report.Index]]
		index.NotAsked = append(index.NotAsked, report)
	}
	return sumCoverage(coverage)
}

func addAskedShard(index *client.IndexCoverage, shard *decision.ShardPlan, status decision.ShardStatus) {
	index.Asked++
	if status.Answered {
		index.Answered++
		return
	}
	index.Missing = append(index.Missing, client.ShardReport{
		Index: shard.Index, Shard: shard.Shard, Reason: status.Reason,
	})
}

func sumCoverage(coverage client.Coverage) client.Coverage {
	for i := range coverage.Indexes {
		coverage.Asked += coverage.Indexes[i].Asked
		coverage.Answered += coverage.Indexes[i].Answered
	}
	coverage.Share = 1
	if coverage.Asked > 0 {
		coverage.Share = float64(coverage.Answered) / float64(coverage.Asked)
	}
	return coverage
}
