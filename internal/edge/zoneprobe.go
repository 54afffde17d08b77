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
	// probeInterval is the interval between probes of the nodes of this node's zone. With two
	// consecutive failures (liveness) and the next answer to the nodes that watch this one, a
	// zone learns within about two seconds that a node is gone.
	probeInterval = 500 * time.Millisecond
	// probedSpares is the number of nodes probed beyond the entry nodes: those that would
	// replace a lost entry node.
	probedSpares = 2
)

// probeZone probes the zone's entry nodes and their replacements until ctx is done, if this node
// is the zone's prober. The entry of a node that lost power stays in the store until its lease
// ends; the other nodes of the zone learn of the loss by the answers to their watches (relay).
func (n *Node) probeZone(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if nodes := n.board.Nodes.Load(); nodes != nil && n.isProber(nodes) {
			if unreachable := n.unreachable(ctx, n.probeTargets(nodes)); len(unreachable) > 0 {
				n.follower.SuspectUnresponsive(unreachable)
			}
		}
	}
}

// isProber reports whether this node probes its zone, which is the task of the zone's first
// watcher of the store.
func (n *Node) isProber(nodes *topology.Nodes) bool {
	first := directory.Watchers(nodes.Nodes, n.self.Place, 1)
	return len(first) == 1 && first[0].ID == n.self.ID
}

// probeTargets returns the nodes of the zone to probe: the first ones by capacity, and those
// that are already suspected.
func (n *Node) probeTargets(nodes *topology.Nodes) []topology.Node {
	wanted := n.settings.Bounds.EntryNodes() + probedSpares
	targets := directory.Watchers(nodes.Nodes, n.self.Place, wanted)
	for _, node := range nodes.Nodes {
		if node.Place == n.self.Place && slices.Contains(nodes.Suspected, node.ID) {
			targets = append(targets, node)
		}
	}
	return slices.DeleteFunc(targets, func(node topology.Node) bool { return node.ID == n.self.ID })
}

// unreachable returns the IDs of those of the nodes that cannot be reached.
func (n *Node) unreachable(ctx context.Context, nodes []topology.Node) []string {
	ids := make(map[netip.AddrPort]string, len(nodes))
	addresses := make([]netip.AddrPort, 0, len(nodes))
	for _, node := range nodes {
		address, err := netip.ParseAddrPort(node.StateAddress)
		if err != nil {
			continue // without a state address it cannot be probed
		}
		ids[address] = node.ID
		addresses = append(addresses, address)
	}
	var unreachable []string
	for _, address := range n.liveness.Unreachable(ctx, addresses) {
		unreachable = append(unreachable, ids[address])
	}
	return unreachable
}
