package edge

import (
	"context"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// fewShare is the part of the longest time to keep addresses for which a caller
	// keeps them that was told few: some keep them for three times as long.
	fewShare = 0.3
	// stopShare of the grace time is for how long the others keep addresses, if they
	// may: for as long as a stopping node takes new connections, less the time that
	// the others need to hear of the stop. Shorter is worse: a caller that asks a
	// directory whose power is gone waits for a second.
	stopShare = 0.8 * acceptShare
	// resolveTimeout is for how long an answer of the directory may look whether the
	// nodes that it would name can be reached, and then those that it would name in
	// place of the ones that cannot. Callers ask another directory after a second.
	resolveTimeout = 300 * time.Millisecond
)

// resolve names the nodes that a caller of a host should use, without those that
// cannot be reached.
func (n *Node) resolve(host string, caller topology.Place) (directory.Answer, bool) {
	bounds := n.current.Load().Bounds
	few := shareOf(fewShare, bounds.DirectoryTTL)
	options := directory.Options{
		TTL:      max(few, min(bounds.DirectoryTTL, shareOf(stopShare, bounds.Grace))),
		ShortTTL: few, EntryNodes: n.settings.Bounds.EntryNodes(),
	}
	if table := n.board.Routes.Load(); table != nil {
		options.Regions, options.RestrictRegions = table.AllowedRegions(host)
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	return resolveReachable(ctx, n.nodes(), caller, options, n.unreachable)
}

// resolveReachable names nodes without those that cannot be reached, whose IDs
// unreachable returns. When ctx ends, those that were not looked at by then are named:
// nothing is known against them.
func resolveReachable(
	ctx context.Context, nodes *topology.Nodes, caller topology.Place, options directory.Options,
	unreachable func(ctx context.Context, nodes *topology.Nodes, addresses []string) []string,
) (directory.Answer, bool) {
	for {
		answer, known := directory.Resolve(nodes, caller, options)
		if !known || ctx.Err() != nil {
			return answer, known
		}
		gone := unreachable(ctx, nodes, answer.Addresses)
		if len(gone) == 0 {
			return answer, known
		}
		nodes = nodes.WithUnready(gone)
	}
}

// unreachable returns the IDs of the ready nodes at some addresses that cannot be
// reached. This node itself can.
func (n *Node) unreachable(ctx context.Context, nodes *topology.Nodes, addresses []string) []string {
	var named []topology.Node
	for _, node := range nodes.Nodes {
		if node.Ready && node.ID != n.self.ID && slices.Contains(addresses, node.Address) {
			named = append(named, node)
		}
	}
	return n.silent(ctx, named)
}
