package catalogue

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard of a key (a card number or a subtitle file's
// name) among a number of shards. Indexers and daemons must agree on it.
func ShardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}
