package backend

import (
	"slices"
	"sync"

	"github.com/doorpond/doorpond/internal/corpus"
)

// shardKey names one shard of one index in one snapshot.
type shardKey struct {
	snapshot uint64
	index    string
	shard    int
	shards   int
}

// indexes are the shards that a replica holds.
type indexes struct {
	mutex sync.RWMutex
	held  map[shardKey]*corpus.Shard
}

func newIndexes() *indexes { return &indexes{held: make(map[shardKey]*corpus.Shard)} }

func (x *indexes) add(key shardKey, shard *corpus.Shard) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.held[key] = shard
}

func (x *indexes) retire(index string, snapshot uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for key := range x.held {
		if key.snapshot == snapshot && key.index == index {
			delete(x.held, key)
		}
	}
}

// find returns nil for a shard that is not held.
func (x *indexes) find(key shardKey) *corpus.Shard {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return x.held[key]
}

// snapshots returns the snapshots of which any shard is held, ascending.
func (x *indexes) snapshots() []uint64 {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	var found []uint64
	for key := range x.held {
		if !slices.Contains(found, key.snapshot) {
			found = append(found, key.snapshot)
		}
	}
	slices.Sort(found)
	return found
}
