package query

import (
	"slices"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/replica"
)

// pinSnapshot returns the newest snapshot that has the requested indexes and whose
// replicas are all known, or else the newest one.
func pinSnapshot(corpus *catalogue.Corpus, indexes []string, pool *replica.Pool) *catalogue.Snapshot {
	for i := len(corpus.Snapshots) - 1; i >= 0; i-- {
		if isUsable(&corpus.Snapshots[i], indexes, pool) {
			return &corpus.Snapshots[i]
		}
	}
	return corpus.Newest()
}

func isUsable(snapshot *catalogue.Snapshot, indexes []string, pool *replica.Pool) bool {
	for _, name := range indexes {
		if !hasIndex(snapshot, name) {
			return false
		}
	}
	return allReplicasKnown(snapshot, pool)
}

func allReplicasKnown(snapshot *catalogue.Snapshot, pool *replica.Pool) bool {
	for i := range snapshot.Indexes {
		if !pool.HasReplicas(snapshot.Indexes[i].Groups) {
			return false
		}
	}
	return true
}

// alternateSnapshot returns the newest usable snapshot other than lostID, or nil.
// It may be older than the lost one, which replicas may not have loaded yet.
func (s *Service) alternateSnapshot(query *client.Query, lostID uint64) *catalogue.Snapshot {
	published := s.options.Board.Catalogue.Load()
	if published == nil {
		return nil
	}
	corpus := published.Corpus(query.Corpus)
	if corpus == nil {
		return nil
	}
	candidates := slices.DeleteFunc(slices.Clone(corpus.Snapshots), func(snapshot catalogue.Snapshot) bool {
		return snapshot.ID == lostID || !isUsable(&snapshot, query.Indexes, s.options.Pool)
	})
	if len(candidates) == 0 {
		return nil
	}
	return &candidates[len(candidates)-1]
}
