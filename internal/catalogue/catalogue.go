// Package catalogue defines the published snapshots of each corpus. The
// indexing pipeline publishes the catalogue as one document in the store;
// daemons only read it and never modify it.
package catalogue

// Catalogue lists all corpora at one revision.
type Catalogue struct {
	// Revision increases with each publication.
	Revision uint64   `json:"revision"`
	Corpora  []Corpus `json:"corpora"`
}

// Corpus is a set of indexes that are searched together and versioned by
// snapshot.
type Corpus struct {
	Name string `json:"name"`
	// Snapshots are sorted by ascending ID; the last one is the newest.
	Snapshots []Snapshot `json:"snapshots"`
}

// Snapshot is one version of all indexes of a corpus.
type Snapshot struct {
	ID      uint64  `json:"id"`
	Indexes []Index `json:"indexes"`
}

// Index is one index in one snapshot. Its number of shards may differ between
// snapshots.
type Index struct {
	Name string `json:"name"`
	// Groups holds, for each shard, the name of the replica group that serves
	// it: the value of the label "group" in the machine list.
	Groups []string `json:"groups"`
}

// Corpus returns the corpus with the given name, or nil if there is none.
func (c *Catalogue) Corpus(name string) *Corpus {
	for i := range c.Corpora {
		if c.Corpora[i].Name == name {
			return &c.Corpora[i]
		}
	}
	return nil
}

// Newest returns the newest snapshot, or nil if there is none.
func (c *Corpus) Newest() *Snapshot {
	if len(c.Snapshots) == 0 {
		return nil
	}
	return &c.Snapshots[len(c.Snapshots)-1]
}

// ShardCount returns the total number of shards across all indexes.
func (s *Snapshot) ShardCount() int {
	total := 0
	for i := range s.Indexes {
		total += len(s.Indexes[i].Groups)
	}
	return total
}
