package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/topology"
)

// maxPeerSeries bounds the number of series accepted from one peer.
const maxPeerSeries = 1024

func (h *handler) compare(w http.ResponseWriter, r *http.Request) {
	query, err := comparison.ParseQuery(r.URL.Query())
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	collected, unreachable := h.gatherStatistics(r.Context(), query.Last)
	if err := h.checkPoliciesKnown(collected, query.A, query.B); err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, comparison.NewClusterReport(query, collected, unreachable))
}

// checkPoliciesKnown returns an error if a policy is neither in the table nor in the
// statistics. Recently deleted policies can still be compared.
func (h *handler) checkPoliciesKnown(collected [][]statistics.PolicyStatistics, names ...string) error {
	known := make(map[string]bool)
	if index := h.options.Board.PolicyTable.Load(); index != nil {
		for _, row := range index.Table.Policies {
			known[row.Name] = true
		}
	}
	for _, entries := range collected {
		for i := range entries {
			known[entries[i].Policy] = true
		}
	}
	for _, name := range names {
		if !known[name] {
			return failure.New(failure.NotFound, "no such policy: "+strconv.Quote(name))
		}
	}
	return nil
}

// gatherStatistics queries all members. The first result has one item for each
// daemon that answered.
func (h *handler) gatherStatistics(ctx context.Context, since time.Duration) ([][]statistics.PolicyStatistics, []Unreachable) {
	members := h.liveMembers()
	answers := make([][]statistics.PolicyStatistics, len(members))
	errs := make([]error, len(members))
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for i, member := range members {
		group.Go(func() error {
			answers[i], errs[i] = h.queryStatistics(ctx, member, since)
			return nil
		})
	}
	_ = group.Wait() // errors are collected in errs
	results := [][]statistics.PolicyStatistics{}
	unreachable := []Unreachable{}
	for i, member := range members {
		if errs[i] != nil {
			unreachable = append(unreachable, Unreachable{Member: member, Reason: errs[i].Error()})
			continue
		}
		results = append(results, answers[i])
	}
	return results, unreachable
}

func (h *handler) queryStatistics(ctx context.Context, member topology.Member, since time.Duration) ([]statistics.PolicyStatistics, error) {
	queryCtx, cancel := h.options.WithTimeout(ctx, peerTimeout)
	defer cancel()
	source := peer.StatisticsSource(func(since time.Duration) ([]byte, error) {
		return h.options.Peers.Statistics(queryCtx, member.PeerAddress, since)
	})
	if member.ID == h.options.State().Member.ID {
		source = h.options.Statistics
	}
	if source == nil {
		return nil, nil
	}
	encoded, err := source(since)
	if err != nil {
		return nil, err
	}
	return decodeStatistics(encoded)
}

func decodeStatistics(encoded []byte) ([]statistics.PolicyStatistics, error) {
	var collected []statistics.PolicyStatistics
	if err := msgpack.Unmarshal(encoded, &collected); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "decode statistics")
	}
	if len(collected) > maxPeerSeries {
		return nil, failure.New(failure.Internal, "decode statistics: too many series")
	}
	return collected, nil
}
