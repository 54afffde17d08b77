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

// maxSeries bounds what is taken over from one peer.
const maxSeries = 1024

func (h *handler) compare(w http.ResponseWriter, r *http.Request) {
	query, err := comparison.ParseQuery(r.URL.Query())
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	measured, unreachable := h.gatherStatistics(r.Context(), query.Last)
	if err := h.checkKnown(measured, query.A, query.B); err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, comparison.NewClusterReport(query, measured, unreachable))
}

// checkKnown refuses a policy that is neither in the table nor measured; one
// that was deleted lately can still be compared.
func (h *handler) checkKnown(measured [][]statistics.PolicyStatistics, names ...string) error {
	known := make(map[string]bool)
	if index := h.options.Board.PolicyTable.Load(); index != nil {
		for _, row := range index.Table.Policies {
			known[row.Name] = true
		}
	}
	for _, part := range measured {
		for i := range part {
			known[part[i].Policy] = true
		}
	}
	for _, name := range names {
		if !known[name] {
			return failure.New(failure.NotFound, "there is no policy "+strconv.Quote(name))
		}
	}
	return nil
}

// gatherStatistics asks all members; the first result has one item a daemon
// that answered.
func (h *handler) gatherStatistics(ctx context.Context, since time.Duration) ([][]statistics.PolicyStatistics, []Unreachable) {
	members := h.liveMembers()
	parts := make([][]statistics.PolicyStatistics, len(members))
	problems := make([]error, len(members))
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for i, member := range members {
		group.Go(func() error {
			parts[i], problems[i] = h.statisticsOf(ctx, member, since)
			return nil
		})
	}
	_ = group.Wait() // each error is kept in problems
	answered := [][]statistics.PolicyStatistics{}
	unreachable := []Unreachable{}
	for i, member := range members {
		if problems[i] != nil {
			unreachable = append(unreachable, Unreachable{Member: member, Reason: problems[i].Error()})
			continue
		}
		answered = append(answered, parts[i])
	}
	return answered, unreachable
}

func (h *handler) statisticsOf(ctx context.Context, member topology.Member, since time.Duration) ([]statistics.PolicyStatistics, error) {
	bounded, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	source := peer.StatisticsSource(func(since time.Duration) ([]byte, error) {
		return h.options.Peers.Statistics(bounded, member.PeerAddress, since)
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
	var measured []statistics.PolicyStatistics
	if err := msgpack.Unmarshal(encoded, &measured); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "decode statistics")
	}
	if len(measured) > maxSeries {
		return nil, failure.New(failure.Internal, "statistics of too many policies and groups")
	}
	return measured, nil
}
