package decision

import "github.com/cespare/xxhash/v2"

// ColdRateLimit is how many requests a cold replica may receive in a second from all
// nodes: the rate that it bears, times the overage, and the slack besides.
type ColdRateLimit struct{ Overage, Slack float64 }

// coldUtilization is the part of the bound that is used. Nodes that see each other come or go at
// different times divide it differently for a while: two divisions that have nothing in
// common together still keep the bound.
const coldUtilization = 0.5

// Rate returns the number of requests that all nodes together send to a cold replica in
// any one second, 0 when the rate that it bears is not stated.
func (b ColdRateLimit) Rate(borne float64) int {
	if borne <= 0 {
		return 0
	}
	return max(1, int(coldUtilization*(borne*max(1, b.Overage)+b.Slack)))
}

// ColdRateShare returns how many of a cold replica's requests a second are this node's. The
// nodes that share divide them by the hash of their IDs and the replica's zone, without a
// message: where there are more nodes than requests, some have none, and those that have
// one have it for all replicas of a zone, so that they can serve whole queries.
func ColdRateShare(rate int, self string, sharing []string, zone string) int {
	if len(sharing) == 0 {
		return 0
	}
	own := coldHash(self, zone)
	rank, member := 0, false
	for _, id := range sharing {
		member = member || id == self
		if other := coldHash(id, zone); other < own || (other == own && id < self) {
			rank++
		}
	}
	switch {
	case !member:
		return 0
	case rank < rate%len(sharing):
		return rate/len(sharing) + 1
	default:
		return rate / len(sharing)
	}
}

func coldHash(id, zone string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(id) // never fails
	_, _ = digest.WriteString(zone)
	return digest.Sum64()
}
