// Package query carries out queries: it pins a policy and a snapshot, scatters
// sub-requests as the decision core says, gathers replies, merges hits and
// states the coverage.
package query

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/statistics"
)

// Options are what a Service needs. Zero values of the last ones take
// defaults.
type Options struct {
	Board      *blackboard.Board
	Pool       *replica.Pool
	Statistics *statistics.Recorder
	Admission  *admission.Controller
	Registerer prometheus.Registerer
	// Quarantine knows the forwarded requests that end the replicas that run them; nil
	// means that ends of replicas are failures like others.
	Quarantine *quarantine.List
	// Logger takes what changes the node's belief in the load that replicas bear;
	// nil means that nothing is told.
	Logger *slog.Logger
	Now    func() time.Time
	// NewID names a query; it must be unique over all daemons.
	NewID func() string
	// PausedTime is for how much of the time this process has not run (elapsed.Meter); nil means
	// that it always has.
	PausedTime func() time.Duration
	// Driver defaults to goroutines and the real clock; a simulation brings
	// its own.
	Driver Driver
}

// Service answers queries. It is safe for concurrent use.
type Service struct {
	options  Options
	metrics  serviceMetrics
	usuals   replica.LatencyBaselines
	targets  *admission.Controllers
	splitter routing.Splitter
}

// NewService makes a Service.
func NewService(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = func() string { return ulid.Make().String() }
	}
	if options.Driver == nil {
		options.Driver = goroutines{}
	}
	if options.Statistics == nil {
		options.Statistics = statistics.New(options.Now)
	}
	if options.Admission == nil {
		options.Admission = admission.New(admission.Options{Registerer: options.Registerer})
	}
	return &Service{
		options: options, metrics: newServiceMetrics(options.Registerer),
		targets: admission.NewControllers(admission.Options{Logger: options.Logger}),
	}
}

// request is one query with everything it has pinned.
type request struct {
	id       string
	query    client.Query
	row      *policy.Row
	revision uint64
	started  time.Time
	// lost is how much time the process had lost by then.
	lost     time.Duration
	deadline time.Duration
	// restarts is the number of times that it may still start anew on
	// another snapshot.
	restarts int
	// earlier is the cost of runs that were given up.
	earlier runCounts
}

// Search answers one query. Errors are *failure.Error; NotRun is true only
// when no back end ran any part of it.
func (s *Service) Search(ctx context.Context, query client.Query) (client.Answer, error) {
	lost := s.lost() // before the time from which the deadline counts
	started := s.options.Now()
	if err := Validate(&query); err != nil {
		return client.Answer{}, err
	}
	request, err := s.pinPolicy(query, started)
	if err != nil {
		return client.Answer{}, err
	}
	request.lost = lost
	corpus, err := s.findCorpus(&request.query)
	if err != nil {
		return client.Answer{}, err
	}
	priority := admission.LowerPriority(request.row.Priority, query.Priority)
	ticket, err := s.options.Admission.Admit(request.row, priority, started, request.deadline)
	if err != nil {
		return client.Answer{}, err
	}
	defer ticket.Release()
	return s.answer(ctx, request, corpus, ticket)
}

// lost is for how much of the time this process has not run.
func (s *Service) lost() time.Duration {
	if s.options.PausedTime == nil {
		return 0
	}
	return s.options.PausedTime()
}

// pinPolicy resolves the policy and fills in the query's defaults.
func (s *Service) pinPolicy(query client.Query, started time.Time) (*request, error) {
	index := s.options.Board.PolicyTable.Load()
	if index == nil {
		return nil, failure.New(failure.NoTable, "no policy table has been accepted yet")
	}
	caller := query.Caller
	if caller == "" {
		caller = query.Group
	}
	row := index.Resolve(query.Group, caller)
	if row == nil {
		return nil, failure.New(failure.NotFound, fmt.Sprintf("group: %q has no policy and there is no default", query.Group))
	}
	if err := fillDefaults(&query, row); err != nil {
		return nil, err
	}
	return &request{
		id: s.options.NewID(), query: query, row: row, revision: index.Table.Revision,
		started: started, deadline: deadlineOf(&query, row), restarts: 1,
	}, nil
}

func fillDefaults(query *client.Query, row *policy.Row) error {
	if query.Limit > row.Limits.Hits {
		return failure.New(failure.TooLarge, fmt.Sprintf("limit: %d is over the policy's %d", query.Limit, row.Limits.Hits))
	}
	if query.Limit == 0 {
		query.Limit = min(defaultLimit, row.Limits.Hits)
	}
	if query.Order == "" && query.Card != "" {
		query.Order = client.OrderTime
	}
	if query.Order == "" {
		query.Order = client.OrderRank
	}
	return nil
}

func deadlineOf(query *client.Query, row *policy.Row) time.Duration {
	timeout := time.Duration(row.Wait.Timeout)
	if query.DeadlineMilliseconds == 0 {
		return timeout
	}
	return min(timeout, time.Duration(query.DeadlineMilliseconds)*time.Millisecond)
}

func (s *Service) findCorpus(query *client.Query) (*catalogue.Corpus, error) {
	published := s.options.Board.Catalogue.Load()
	if published == nil {
		return nil, failure.New(failure.NoCatalogue, "no catalogue has been accepted yet")
	}
	corpus := published.Corpus(query.Corpus)
	if corpus == nil {
		return nil, failure.New(failure.NotFound, fmt.Sprintf("corpus: there is no %q", query.Corpus))
	}
	if corpus.Newest() == nil {
		return nil, failure.New(failure.NoCatalogue, fmt.Sprintf("corpus %q has no snapshot yet", query.Corpus))
	}
	for _, name := range query.Indexes {
		if !holdsIndex(corpus.Newest(), name) {
			return nil, failure.New(failure.NotFound, fmt.Sprintf("indexes: there is no %q in corpus %q", name, query.Corpus))
		}
	}
	return corpus, nil
}

func holdsIndex(snapshot *catalogue.Snapshot, name string) bool {
	for i := range snapshot.Indexes {
		if snapshot.Indexes[i].Name == name {
			return true
		}
	}
	return false
}

func (s *Service) answer(ctx context.Context, request *request, corpus *catalogue.Corpus, ticket admission.Ticket) (client.Answer, error) {
	finished := s.runToEnd(ctx, request, pinSnapshot(corpus, request.query.Indexes, s.options.Pool))
	answer, err := s.conclude(request, finished)
	took := s.options.Now().Sub(request.started)
	answer.TookMicroseconds = took.Microseconds()
	s.record(request, finished, took, err)
	ticket.Observe(s.options.Now(), finished.ended(took))
	if err != nil {
		return client.Answer{}, err
	}
	return answer, nil
}

// runToEnd starts anew, whole, when the pinned snapshot was retired under the
// query and there is another.
func (s *Service) runToEnd(ctx context.Context, request *request, snapshot *catalogue.Snapshot) *searchRun {
	for {
		left := request.deadline - s.options.Now().Sub(request.started)
		current := s.newSearchRun(request, snapshot, left)
		current.execute(ctx, left)
		if current.reason != decision.SnapshotLost {
			return current
		}
		other := s.otherSnapshot(&request.query, snapshot.ID)
		if other == nil {
			return current
		}
		s.metrics.restarts.Inc()
		request.restarts--
		request.earlier.add(current.counts)
		snapshot = other
	}
}

func (c *runCounts) add(other runCounts) {
	c.dispatched += other.dispatched
	c.hedges += other.hedges
	c.cancelled += other.cancelled
	c.proven += other.proven
	c.retryAfter = max(c.retryAfter, other.retryAfter)
}

func (r *request) total(last *searchRun) runCounts {
	total := r.earlier
	total.add(last.counts)
	return total
}

// conclude turns the last run into an answer or an error.
func (s *Service) conclude(request *request, last *searchRun) (client.Answer, error) {
	total := request.total(last)
	coverage := buildCoverage(last.snapshot, &request.query, last.selected, last.core.Status)
	if err := refuseAnswer(request, last, total, coverage); err != nil {
		return client.Answer{}, err
	}
	hits, truncated := last.hits()
	return client.Answer{
		QueryID: request.id, Hits: hits, Truncated: truncated,
		Snapshot: last.snapshot.ID, Coverage: coverage,
		Policy: request.row.Name, TableRevision: request.revision,
		Attempts: total.dispatched,
	}, nil
}

// refuseAnswer returns the error that stands in place of an answer, or nil.
func refuseAnswer(request *request, last *searchRun, total runCounts, coverage client.Coverage) error {
	notRun := total.proven == total.dispatched
	nothing := coverage.Asked > 0 && coverage.Answered == 0
	least := max(request.row.Completeness.Min, request.query.LeastCoverage)
	switch {
	case last.reason == decision.CallerCanceled:
		return failure.New(failure.Canceled, "the caller gave up").WithNotRun(notRun)
	case last.reason == decision.SnapshotLost:
		return failure.New(failure.SnapshotLost, fmt.Sprintf("snapshot %d was retired", last.snapshot.ID)).WithNotRun(notRun)
	case nothing && total.dispatched == 0:
		return failure.New(failure.NoReplica, "no usable replica of any shard is known")
	case nothing && notRun:
		return refusedByAll(total)
	case nothing && last.reason == decision.DeadlineReached:
		return failure.New(failure.DeadlineExceeded, "no shard answered before the deadline").WithNotRun(notRun)
	case coverage.Share < least || nothing:
		return failure.New(failure.InsufficientCoverage, fmt.Sprintf(
			"%d of %d shards answered, and %.3f of them were wanted; %s",
			coverage.Answered, coverage.Asked, least, firstMissing(coverage))).WithNotRun(notRun)
	default:
		return nil
	}
}

func refusedByAll(total runCounts) error {
	err := failure.New(failure.BackendRefused, fmt.Sprintf("all %d sub-requests were refused", total.dispatched))
	if total.retryAfter > 0 {
		return err.WithRetryAfter(total.retryAfter)
	}
	return err
}

func firstMissing(coverage client.Coverage) string {
	for _, index := range coverage.Indexes {
		if len(index.Missing) > 0 {
			first := index.Missing[0]
			return fmt.Sprintf("first missing: %s shard %d (%s)", first.Index, first.Shard, first.Reason)
		}
	}
	return "none missing"
}

func (s *Service) record(request *request, last *searchRun, took time.Duration, err error) {
	total := request.total(last)
	s.options.Statistics.Record(request.row.Name, statistics.Sample{
		Group: request.query.Group, Latency: took, Failed: err != nil,
		Asked: len(last.selected.Asked), Answered: last.core.Answered(),
		Attempts: total.dispatched, Hedges: total.hedges, Cancelled: total.cancelled,
	})
	s.metrics.observe(took, err)
}
