package edge

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// guardInterval is the time between two looks at the nodes of the own zone. With
	// two failures in a row (liveness) and the next answer to the nodes that watch this
	// one, a zone knows within about two seconds that a node is gone.
	guardInterval = 500 * time.Millisecond
	// guardedSpare is the number of nodes beyond the entry nodes that are looked at:
	// those that take over are known to be there beforehand.
	guardedSpare = 2
)

// guard looks, in the node that watches the store for its zone, whether the zone's
// entry nodes and those next in line answer, until ctx ends. A node whose power is
// gone stays recorded until its lease ends; the others of the zone hear of it by the
// answers to their watches (relay).
func (n *Node) guard(ctx context.Context) error {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if nodes := n.board.Nodes.Load(); nodes != nil && n.guards(nodes) {
			if silent := n.silent(ctx, n.guarded(nodes)); len(silent) > 0 {
				n.follower.SuspectUnresponsive(silent)
			}
		}
	}
}

// guards tells whether this node is the one that looks after its zone.
func (n *Node) guards(nodes *topology.Nodes) bool {
	first := directory.Watchers(nodes.Nodes, n.self.Place, 1)
	return len(first) == 1 && first[0].ID == n.self.ID
}

// guarded returns the nodes of the own zone to look at: the first ones by capacity,
// and those that were silent before.
func (n *Node) guarded(nodes *topology.Nodes) []topology.Node {
	wanted := n.settings.Bounds.EntryNodes() + guardedSpare
	guarded := directory.Watchers(nodes.Nodes, n.self.Place, wanted)
	for _, node := range nodes.Nodes {
		if node.Place == n.self.Place && slices.Contains(nodes.Suspected, node.ID) {
			guarded = append(guarded, node)
		}
	}
	return slices.DeleteFunc(guarded, func(node topology.Node) bool { return node.ID == n.self.ID })
}

// silent returns the IDs of those of some nodes that do not answer.
func (n *Node) silent(ctx context.Context, nodes []topology.Node) []string {
	ids := make(map[netip.AddrPort]string, len(nodes))
	addresses := make([]netip.AddrPort, 0, len(nodes))
	for _, node := range nodes {
		address, err := netip.ParseAddrPort(node.StateAddress)
		if err != nil {
			continue // it serves no other node, so nothing can be told of it
		}
		ids[address] = node.ID
		addresses = append(addresses, address)
	}
	var silent []string
	for _, address := range n.liveness.Unreachable(ctx, addresses) {
		silent = append(silent, ids[address])
	}
	return silent
}
