package decision

import "github.com/cespare/xxhash/v2"

// ColdRateLimit limits the requests per second that a cold replica receives from
// all nodes together: its capacity while cold, times Overage, plus Slack.
type ColdRateLimit struct{ Overage, Slack float64 }

// coldUtilization is the fraction of the limit that is used. While nodes join or
// leave, two sets of nodes may divide the limit independently of each other; half
// of it for each set keeps their sum within the limit.
const coldUtilization = 0.5

// Rate returns the number of requests per second that all nodes together may send
// to a cold replica of a given capacity, 0 if the capacity is not configured.
func (l ColdRateLimit) Rate(capacity float64) int {
	if capacity <= 0 {
		return 0
	}
	return max(1, int(coldUtilization*(capacity*max(1, l.Overage)+l.Slack)))
}

// ColdRateShare returns the share of a cold replica's rate that belongs to the
// node self. Without any coordination, each node ranks all nodes by a hash of
// their IDs and the replica's zone. If there are more nodes than requests per
// second, only the first ones have a share. The ranks are the same for all
// replicas of a zone, as a query needs replicas of all its shards.
func ColdRateShare(rate int, self string, nodes []string, zone string) int {
	if len(nodes) == 0 {
		return 0
	}
	own := coldHash(self, zone)
	rank, member := 0, false
	for _, id := range nodes {
		member = member || id == self
		if other := coldHash(id, zone); other < own || (other == own && id < self) {
			rank++
		}
	}
	switch {
	case !member:
		return 0
	case rank < rate%len(nodes):
		return rate/len(nodes) + 1
	default:
		return rate / len(nodes)
	}
}

func coldHash(id, zone string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(id) // never fails
	_, _ = digest.WriteString(zone)
	return digest.Sum64()
}
