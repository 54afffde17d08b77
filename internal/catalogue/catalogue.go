// Package catalogue describes the published snapshots of each corpus as
// immutable data. The indexing pipeline publishes the catalogue as one
// document in the store; daemons only read it.
package catalogue

// Catalogue is every corpus at one revision.
type Catalogue struct {
	// Revision grows with each publication.
	Revision uint64   `json:"revision"`
	Corpora  []Corpus `json:"corpora"`
}

// Corpus is a set of indexes that are searched together.
type Corpus struct {
	Name string `json:"name"`
	// Snapshots are in ascending order of ID; the last is the newest.
	Snapshots []Snapshot `json:"snapshots"`
}

// Snapshot is one version of all indexes of a corpus.
type Snapshot struct {
	ID      uint64  `json:"id"`
	Indexes []Index `json:"indexes"`
}

// Index is one index in one snapshot. Repartitioning gives an index another
// number of shards in a later snapshot.
type Index struct {
	Name string `json:"name"`
	// Groups has one entry a shard: the replica group that holds it, as named
	// by the machine list's label "group".
	Groups []string `json:"groups"`
}

// Corpus returns a corpus by name, or nil.
func (c *Catalogue) Corpus(name string) *Corpus {
	for i := range c.Corpora {
		if c.Corpora[i].Name == name {
			return &c.Corpora[i]
		}
	}
	return nil
}

// Newest returns the newest snapshot, or nil where there is none.
func (c *Corpus) Newest() *Snapshot {
	if len(c.Snapshots) == 0 {
		return nil
	}
	return &c.Snapshots[len(c.Snapshots)-1]
}

// ShardCount returns the number of shards of all indexes.
func (s *Snapshot) ShardCount() int {
	total := 0
	for i := range s.Indexes {
		total += len(s.Indexes[i].Groups)
	}
	return total
}
