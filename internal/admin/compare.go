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

// Comparison sets two policies side by side, over all daemons that answer.
type Comparison struct {
	comparison.Report
	// Group is empty for all groups.
	Group string `json:"group"`
	// LastSeconds is how far back the statistics go, in whole minutes; the
	// minute under way is in them.
	LastSeconds int64 `json:"last_seconds"`
	// Daemons answered; Unreachable did not, so their queries are missing.
	Daemons     int           `json:"daemons"`
	Unreachable []Unreachable `json:"unreachable"`
}

const (
	defaultLast = 10 * time.Minute
	longestLast = statistics.Minutes * time.Minute
	// maxSeries bounds what is taken over from one peer.
	maxSeries = 1024
)

// compareQuery is the query string of GET /v1/compare.
type compareQuery struct {
	a, b, group string
	last        time.Duration
}

func compareQueryOf(r *http.Request) (compareQuery, error) {
	values := r.URL.Query()
	query := compareQuery{a: values.Get("a"), b: values.Get("b"), group: values.Get("group"), last: defaultLast}
	if query.a == "" || query.b == "" {
		return query, failure.New(failure.InvalidRequest, "a and b must each name a policy")
	}
	if text := values.Get("last"); text != "" {
		last, err := time.ParseDuration(text)
		if err != nil || last < time.Minute || last > longestLast {
			return query, failure.New(failure.InvalidRequest,
				"last must be a duration from 1m to "+longestLast.String()+", not "+strconv.Quote(text))
		}
		query.last = last
	}
	return query, nil
}

func (h *handler) compare(w http.ResponseWriter, r *http.Request) {
	query, err := compareQueryOf(r)
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	measured, unreachable := h.gatherStatistics(r.Context(), query.last)
	if err := h.checkKnown(measured, query.a, query.b); err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, Comparison{
		Report:      comparison.Compare(statistics.Merge(measured...), query.a, query.b, query.group),
		Group:       query.group,
		LastSeconds: int64(query.last / time.Second),
		Daemons:     len(measured),
		Unreachable: unreachable,
	})
}

// checkKnown refuses a policy that is neither in the table nor measured; one
// that was deleted lately can still be compared.
func (h *handler) checkKnown(measured [][]statistics.PolicyStatistics, names ...string) error {
	known := make(map[string]bool)
	if index := h.options.Board.Table.Load(); index != nil {
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
