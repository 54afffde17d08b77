package inspect

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/quota"
)

// NodeTenant is the account that one node keeps of a tenant with a limit.
type NodeTenant struct {
	Node string `json:"node"`
	quota.TenantState
}

// listTenantsAtLimit lists the accounts of which a node refused requests: first those at their
// limit, then those with most refusals.
func listTenantsAtLimit(nodes []Node) []NodeTenant {
	listed := []NodeTenant{}
	for i := range nodes {
		if nodes[i].Quota == nil {
			continue
		}
		for _, tenant := range nodes[i].Quota.Tenants {
			if tenant.AtLimit || tenant.Refused > 0 {
				listed = append(listed, NodeTenant{nodes[i].Node.ID, tenant})
			}
		}
	}
	slices.SortFunc(listed, func(a, b NodeTenant) int {
		if a.AtLimit != b.AtLimit {
			if a.AtLimit {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Node, b.Node))
	})
	return listed
}

// OldestReport returns the peer with the oldest report, or nil if there is none. A peer that has sent
// none counts as the oldest.
func OldestReport(peers []quota.PeerState) *quota.PeerState {
	var oldest *quota.PeerState
	for i := range peers {
		peer := &peers[i]
		if oldest == nil || peer.AgeMilliseconds < 0 || oldest.AgeMilliseconds >= 0 && peer.AgeMilliseconds > oldest.AgeMilliseconds {
			oldest = peer
		}
	}
	return oldest
}
