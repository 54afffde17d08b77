package edge

import (
	"context"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// shortTTLShare is the share of the longest permitted TTL that is used for answers with few
	// addresses: some callers keep these for three times their TTL.
	shortTTLShare = 0.3
	// ttlShare is the share of the grace period that is used as TTL of other answers, within
	// the permitted TTL: the time for which a stopping node accepts new connections, less the
	// time until other nodes learn of the stop. A shorter TTL makes callers resolve more
	// often, and each query to a directory that lost power costs a caller a second.
	ttlShare = 0.8 * acceptShare
	// resolveTimeout bounds the reachability checks of a directory answer, including those of
	// the nodes that replace unreachable ones. Callers try another directory after a second.
	resolveTimeout = 300 * time.Millisecond
)

// resolve returns the reachable nodes that a caller of a host should use.
func (n *Node) resolve(host string, caller topology.Place) (directory.Answer, bool) {
	bounds := n.current.Load().Bounds
	shortTTL := scaleDuration(shortTTLShare, bounds.DirectoryTTL)
	options := directory.Options{
		TTL:      max(shortTTL, min(bounds.DirectoryTTL, scaleDuration(ttlShare, bounds.Grace))),
		ShortTTL: shortTTL, EntryNodes: n.settings.Bounds.EntryNodes(),
	}
	if table := n.board.Routes.Load(); table != nil {
		options.Regions, options.RestrictRegions = table.HostRegions(host)
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	return resolveReachable(ctx, n.nodes(), caller, options, n.unreachableAt)
}

// resolveReachable resolves to nodes other than those whose IDs unreachable returns. Once ctx is
// done, nodes that were not checked yet are included.
func resolveReachable(
	ctx context.Context, nodes *topology.Nodes, caller topology.Place, options directory.Options,
	unreachable func(ctx context.Context, nodes *topology.Nodes, addresses []string) []string,
) (directory.Answer, bool) {
	for {
		answer, known := directory.Resolve(nodes, caller, options)
		if !known || ctx.Err() != nil {
			return answer, known
		}
		unreachableIDs := unreachable(ctx, nodes, answer.Addresses)
		if len(unreachableIDs) == 0 {
			return answer, known
		}
		nodes = nodes.WithUnready(unreachableIDs)
	}
}

// unreachableAt returns the IDs of the ready nodes at the addresses that cannot be reached. It
// does not check this node.
func (n *Node) unreachableAt(ctx context.Context, nodes *topology.Nodes, addresses []string) []string {
	var candidates []topology.Node
	for _, node := range nodes.Nodes {
		if node.Ready && node.ID != n.self.ID && slices.Contains(addresses, node.Address) {
			candidates = append(candidates, node)
		}
	}
	return n.unreachable(ctx, candidates)
}
