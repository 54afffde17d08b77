package catalogue

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard that a key (a card number or the name of a subtitle
// file) is assigned to. Indexers and daemons must use the same function.
func ShardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}
