package decision

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/policy"
)

// ShardSelection is the set of shards that a query asks. Each shard of the
// searched indexes is either in Asked or in NotAsked.
type ShardSelection struct {
	Asked    []ShardPlan
	NotAsked []client.ShardReport
}

// SelectShards applies a policy's shard selection. The result is deterministic
// for a query ID. The caller sets the hedge delays and budgets.
func SelectShards(snapshot *catalogue.Snapshot, row *policy.Row, query *client.Query, queryID string) ShardSelection {
	selection := ShardSelection{Asked: make([]ShardPlan, 0, snapshot.ShardCount())}
	for i := range snapshot.Indexes {
		index := &snapshot.Indexes[i]
		if len(query.Indexes) > 0 && !slices.Contains(query.Indexes, index.Name) {
			continue
		}
		selection.addIndex(index, row, query)
	}
	if row.Shards.Fraction < 1 {
		selection.sample(row, queryID)
	}
	return selection
}

func (s *ShardSelection) addIndex(index *catalogue.Index, row *policy.Row, query *client.Query) {
	shards := len(index.Groups)
	skipped := indexWeight(row, index.Name) == 0
	keyed := query.Card != "" && row.Shards.Selection != policy.SelectBroadcast && shards > 0
	owner := 0
	if keyed {
		owner = catalogue.ShardOf(query.Card, shards)
	}
	for shard, group := range index.Groups {
		switch {
		case skipped:
			s.exclude(index.Name, shard, client.NotAskedPolicy)
		case keyed && shard != owner:
			s.exclude(index.Name, shard, client.NotAskedKey)
		default:
			s.Asked = append(s.Asked, ShardPlan{Index: index.Name, Shard: shard, ShardCount: shards, Group: group})
		}
	}
}

func (s *ShardSelection) exclude(index string, shard int, reason client.MissingReason) {
	s.NotAsked = append(s.NotAsked, client.ShardReport{Index: index, Shard: shard, Reason: reason})
}

func indexWeight(row *policy.Row, index string) float64 {
	weight, found := row.Shards.IndexWeights[index]
	if !found {
		return 1
	}
	return weight
}

// sample keeps a weighted random sample of the asked shards: each draws an
// exponential variate with its weight as rate, and the smallest are kept
// (Efraimidis and Spirakis, 2006).
func (s *ShardSelection) sample(row *policy.Row, queryID string) {
	keep := int(math.Ceil(row.Shards.Fraction * float64(len(s.Asked))))
	if keep >= len(s.Asked) {
		return
	}
	variates := make([]float64, len(s.Asked))
	for i := range s.Asked {
		variates[i] = exponential(queryID, &s.Asked[i]) / indexWeight(row, s.Asked[i].Index)
	}
	sorted := slices.Clone(variates)
	slices.Sort(sorted)
	limit := sorted[keep-1]
	kept := make([]ShardPlan, 0, keep)
	for i, shard := range s.Asked {
		if variates[i] <= limit && len(kept) < keep {
			kept = append(kept, shard)
			continue
		}
		s.exclude(shard.Index, shard.Shard, client.NotAskedPolicy)
	}
	s.Asked = kept
}

// exponential returns an exponential variate of rate 1, derived from a hash of
// the query ID and the shard.
func exponential(queryID string, shard *ShardPlan) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(queryID) // never fails
	_, _ = digest.WriteString(shard.Index)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(shard.Shard))
	_, _ = digest.Write(number[:])
	const mantissa = 1 << 53
	uniform := (float64(digest.Sum64()>>11) + 0.5) / mantissa
	return -math.Log(uniform)
}
