package inspect

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/ingress"
)

// NodeRefusal counts the requests that one node refused for one reason.
type NodeRefusal struct {
	Node string `json:"node"`
	ingress.Refusal
}

// listRefusals lists the refusals of all nodes, the most frequent first.
func listRefusals(nodes []Node) []NodeRefusal {
	listed := []NodeRefusal{}
	for i := range nodes {
		for _, refusal := range nodes[i].Refusals {
			listed = append(listed, NodeRefusal{nodes[i].Node.ID, refusal})
		}
	}
	slices.SortFunc(listed, func(a, b NodeRefusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node, b.Node))
	})
	return listed
}
