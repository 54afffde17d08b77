// Package query executes queries and forwards requests to replicas. It pins a
// policy and a snapshot, sends the sub-requests that package decision asks for,
// merges the replies and reports the coverage.
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

// Options configures a Service. Board and Pool are required.
type Options struct {
	Board      *blackboard.Board
	Pool       *replica.Pool
	Statistics *statistics.Recorder
	Admission  *admission.Controller
	Registerer prometheus.Registerer
	// Quarantine tracks forwarded requests that crash the replicas executing
	// them; nil treats crashes of replicas like other failures.
	Quarantine *quarantine.List
	// Logger receives changes of the adaptive admission limits, and searches
	// that no shard answered in time; nil disables logging.
	Logger *slog.Logger
	Now    func() time.Time
	// NewID returns a query ID, unique across all daemons.
	NewID func() string
	// PausedTime returns for how long in total this process has been suspended
	// (see elapsed.Meter); nil means never.
	PausedTime func() time.Duration
	// WaitFresh waits, for up to limit, until the policy table is known to be current, and
	// reports whether it is (see freshness.Monitor); nil means always.
	WaitFresh func(ctx context.Context, limit time.Duration) bool
	// Driver defaults to goroutines and the system clock; simulations supply
	// their own.
	Driver Driver
}

// Service executes queries. It is safe for concurrent use.
type Service struct {
	options     Options
	metrics     serviceMetrics
	baselines   replica.LatencyBaselines
	controllers *admission.Controllers
	splitter    routing.Splitter
	gates       gates
	unanswered  unansweredLog
}

// NewService returns a Service with the given options.
func NewService(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = func() string { return ulid.Make().String() }
	}
	if options.Driver == nil {
		options.Driver = goroutineDriver{}
	}
	if options.Statistics == nil {
		options.Statistics = statistics.New(options.Now)
	}
	if options.Admission == nil {
		options.Admission = admission.New(admission.Options{Registerer: options.Registerer})
	}
	service := &Service{
		options: options, metrics: newServiceMetrics(options.Registerer),
		controllers: admission.NewControllers(admission.Options{Logger: options.Logger, Registerer: options.Registerer}),
		unanswered:  newUnansweredLog(options.Logger),
	}
	if options.Registerer != nil {
		options.Registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "doorpondd_queries_waiting_count", Help: "Queries over many shards that wait for a full shard.",
		}, func() float64 { return float64(service.gates.waiting()) }))
	}
	return service
}

// request is a query with everything that is pinned for it.
type request struct {
	id            string
	query         client.Query
	row           *policy.Row
	tableRevision uint64
	started       time.Time
	// pausedAtStart is the process's total paused time when the query started.
	pausedAtStart time.Duration
	deadline      time.Duration
	// restartsLeft is how many more times the query may restart on another
	// snapshot.
	restartsLeft int
	// previousRuns adds up the counts of abandoned runs.
	previousRuns runCounts
}

// Search executes one query. Errors are *failure.Error; NotRun is true only if
// no back end executed any part of the query.
func (s *Service) Search(ctx context.Context, query client.Query) (client.Answer, error) {
	paused := s.pausedTime() // read before started, from which the deadline counts
	started := s.options.Now()
	if err := Validate(&query); err != nil {
		return client.Answer{}, err
	}
	if s.options.WaitFresh != nil && !s.options.WaitFresh(ctx, s.freshWaitLimit(&query)) {
		return client.Answer{}, failure.New(failure.StaleTable, "policy table not confirmed since the process was paused")
	}
	request, err := s.pinPolicy(query, started)
	if err != nil {
		return client.Answer{}, err
	}
	request.pausedAtStart = paused
	corpus, err := s.findCorpus(&request.query)
	if err != nil {
		return client.Answer{}, err
	}
	priority := admission.LowerPriority(request.row.Priority, query.Priority)
	ticket, err := s.options.Admission.Admit(request.row, priority, started, request.deadline)
	if err != nil {
		return client.Answer{}, err
	}
	defer func() { ticket.Release(s.options.Now()) }()
	return s.runSearch(ctx, request, corpus, ticket)
}

// pausedTime returns for how long in total this process has been suspended.
func (s *Service) pausedTime() time.Duration {
	if s.options.PausedTime == nil {
		return 0
	}
	return s.options.PausedTime()
}

const (
	// freshWaitFraction is the share of its deadline for which a query waits for the policy
	// table to be confirmed. The rest is for the replicas.
	freshWaitFraction = 0.25
	// unknownDeadline stands in for the deadline of a query whose policy is not known.
	unknownDeadline = time.Second
)

// freshWaitLimit returns for how long a query may wait for a current policy table. The deadline
// is that of the present table, which may be out of date.
func (s *Service) freshWaitLimit(query *client.Query) time.Duration {
	deadline := unknownDeadline
	if index := s.options.Board.PolicyTable.Load(); index != nil {
		if row := index.Resolve(query.Group, callerOf(query)); row != nil {
			deadline = effectiveDeadline(query, row)
		}
	}
	return time.Duration(freshWaitFraction * float64(deadline))
}

// callerOf returns the caller that split assignments hash.
func callerOf(query *client.Query) string {
	if query.Caller == "" {
		return query.Group
	}
	return query.Caller
}

// pinPolicy resolves the policy and fills in the query's defaults.
func (s *Service) pinPolicy(query client.Query, started time.Time) (*request, error) {
	index := s.options.Board.PolicyTable.Load()
	if index == nil {
		return nil, failure.New(failure.NoTable, "no policy table has been accepted yet")
	}
	row := index.Resolve(query.Group, callerOf(&query))
	if row == nil {
		return nil, failure.New(failure.NotFound, fmt.Sprintf("group: no policy for %q and no default policy", query.Group))
	}
	if err := fillDefaults(&query, row); err != nil {
		return nil, err
	}
	return &request{
		id: s.options.NewID(), query: query, row: row, tableRevision: index.Table.Revision,
		started: started, deadline: effectiveDeadline(&query, row), restartsLeft: 1,
	}, nil
}

func fillDefaults(query *client.Query, row *policy.Row) error {
	if query.Limit > row.Limits.Hits {
		return failure.New(failure.TooLarge, fmt.Sprintf("limit: %d exceeds the policy's maximum of %d", query.Limit, row.Limits.Hits))
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

func effectiveDeadline(query *client.Query, row *policy.Row) time.Duration {
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
		return nil, failure.New(failure.NotFound, fmt.Sprintf("corpus: %q does not exist", query.Corpus))
	}
	if corpus.Newest() == nil {
		return nil, failure.New(failure.NoCatalogue, fmt.Sprintf("corpus %q has no snapshot yet", query.Corpus))
	}
	for _, name := range query.Indexes {
		if !hasIndex(corpus.Newest(), name) {
			return nil, failure.New(failure.NotFound, fmt.Sprintf("indexes: %q does not exist in corpus %q", name, query.Corpus))
		}
	}
	return corpus, nil
}

func hasIndex(snapshot *catalogue.Snapshot, name string) bool {
	for i := range snapshot.Indexes {
		if snapshot.Indexes[i].Name == name {
			return true
		}
	}
	return false
}

func (s *Service) runSearch(ctx context.Context, request *request, corpus *catalogue.Corpus, ticket admission.Ticket) (client.Answer, error) {
	last := s.runWithRestarts(ctx, request, pinSnapshot(corpus, request.query.Indexes, s.options.Pool))
	answer, err := s.buildAnswer(request, last)
	took := s.options.Now().Sub(request.started)
	answer.TookMicroseconds = took.Microseconds()
	s.recordSearch(request, last, took, err)
	outcome := last.admissionOutcome(took)
	outcome.Paused = s.pausedTime() - request.pausedAtStart
	ticket.Observe(s.options.Now(), outcome)
	if err != nil {
		return client.Answer{}, err
	}
	return answer, nil
}

// runWithRestarts runs the search, and starts over on another snapshot if the
// pinned one was retired meanwhile.
func (s *Service) runWithRestarts(ctx context.Context, request *request, snapshot *catalogue.Snapshot) *searchRun {
	for {
		remaining := request.deadline - s.options.Now().Sub(request.started)
		current := s.newSearchRun(request, snapshot, remaining)
		current.execute(ctx, remaining)
		if current.reason != decision.SnapshotLost {
			return current
		}
		alternate := s.alternateSnapshot(&request.query, snapshot.ID)
		if alternate == nil {
			return current
		}
		s.metrics.restarts.Inc()
		request.restartsLeft--
		request.previousRuns.add(current.counts)
		snapshot = alternate
	}
}

func (c *runCounts) add(other runCounts) {
	c.dispatched += other.dispatched
	c.hedges += other.hedges
	c.canceled += other.canceled
	c.provenNotRun += other.provenNotRun
	c.retryAfter = max(c.retryAfter, other.retryAfter)
}

func (r *request) totalCounts(last *searchRun) runCounts {
	total := r.previousRuns
	total.add(last.counts)
	return total
}

// buildAnswer turns the last run into an answer or an error.
func (s *Service) buildAnswer(request *request, last *searchRun) (client.Answer, error) {
	total := request.totalCounts(last)
	coverage := buildCoverage(last.snapshot, &request.query, last.selected, last.core.Status)
	if err := answerError(request, last, total, coverage); err != nil {
		return client.Answer{}, err
	}
	hits, truncated := last.hits()
	return client.Answer{
		QueryID: request.id, Hits: hits, Truncated: truncated,
		Snapshot: last.snapshot.ID, Coverage: coverage,
		Policy: request.row.Name, TableRevision: request.tableRevision,
		Attempts: total.dispatched,
	}, nil
}

// answerError returns the error of a run without a sufficient answer, or nil.
func answerError(request *request, last *searchRun, total runCounts, coverage client.Coverage) error {
	notRun := total.provenNotRun == total.dispatched
	noneAnswered := coverage.Asked > 0 && coverage.Answered == 0
	minCoverage := max(request.row.Completeness.Min, request.query.LeastCoverage)
	switch {
	case last.reason == decision.CallerCanceled:
		return failure.New(failure.Canceled, "request canceled by the caller").WithNotRun(notRun)
	case last.reason == decision.SnapshotLost:
		return failure.New(failure.SnapshotLost, fmt.Sprintf("snapshot %d was retired", last.snapshot.ID)).WithNotRun(notRun)
	case noneAnswered && total.dispatched == 0:
		return failure.New(failure.NoReplica, "no usable replica is known for any shard")
	case noneAnswered && notRun:
		return allRejectedError(total)
	case noneAnswered && last.reason == decision.DeadlineReached:
		return failure.New(failure.DeadlineExceeded, "no shard answered before the deadline").WithNotRun(notRun)
	case coverage.Share < minCoverage || noneAnswered:
		return failure.New(failure.InsufficientCoverage, fmt.Sprintf(
			"%d of %d shards answered, minimum coverage is %.3f; %s",
			coverage.Answered, coverage.Asked, minCoverage, describeFirstMissing(coverage))).WithNotRun(notRun)
	default:
		return nil
	}
}

func allRejectedError(total runCounts) error {
	err := failure.New(failure.BackendRefused, fmt.Sprintf("all %d sub-requests were rejected", total.dispatched))
	if total.retryAfter > 0 {
		return err.WithRetryAfter(total.retryAfter)
	}
	return err
}

func describeFirstMissing(coverage client.Coverage) string {
	for _, index := range coverage.Indexes {
		if len(index.Missing) > 0 {
			first := index.Missing[0]
			return fmt.Sprintf("first missing: %s shard %d (%s)", first.Index, first.Shard, first.Reason)
		}
	}
	return "none missing"
}

func (s *Service) recordSearch(request *request, last *searchRun, took time.Duration, err error) {
	total := request.totalCounts(last)
	s.options.Statistics.Record(request.row.Name, statistics.Sample{
		Group: request.query.Group, Latency: took, Failed: err != nil,
		Asked: len(last.selected.Asked), Answered: last.core.Answered(),
		Attempts: total.dispatched, Hedges: total.hedges, Cancelled: total.canceled,
	})
	s.metrics.observe(took, err)
	if err != nil && failure.KindOf(err) == failure.DeadlineExceeded {
		s.unanswered.write(request, last, took)
	}
}
