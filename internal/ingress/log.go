package ingress

import (
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
)

// Rate limits of log lines, for complete answers, for requests that were refused because of their key
// or their tenant's limit, and for all others. Lines over the limit are counted, and the next line
// contains the count. Refusals have a limit of their own, since a tenant far above its limit would
// otherwise use up that of the others.
const (
	completePerSecond   = 1
	refusedPerSecond    = 5
	incompletePerSecond = 40
	completeBurst       = 5
	refusedBurst        = 20
	incompleteBurst     = 200
)

// The messages of log lines.
const (
	messageAnswered  = "request answered"
	messagePartial   = "request answered in part"
	messageLate      = "request answered late"
	messageNotServed = "request not answered"
)

// logEntry describes a request and its result.
type logEntry struct {
	request *http.Request
	id      string
	// route is nil if none matched. identity is nil if the request was not authenticated.
	route    *routing.Route
	identity *identity
	answer   *query.ForwardResult
	err      error
	duration time.Duration
}

// tenant returns the name of the request's tenant, or "" if it has none.
func (e *logEntry) tenant() string {
	if e.identity == nil {
		return ""
	}
	return e.identity.name()
}

// maxTargetBytes limits the logged part of a request target, so that a line fits in one
// packet.
const maxTargetBytes = 200

func truncateTarget(target string) string { return target[:min(len(target), maxTargetBytes)] }

// refused reports whether the request was refused because of its key or its tenant's limit.
func (e *logEntry) refused() bool {
	if e.err == nil {
		return false
	}
	kind := failure.KindOf(e.err)
	return kind == failure.Unauthenticated || kind == failure.QuotaExceeded
}

// incomplete reports whether the request failed, or its answer was partial or late.
func (e *logEntry) incomplete() bool {
	return e.err != nil || e.answer.MissingShards > 0 || e.answer.Late
}

func (e *logEntry) message() string {
	switch {
	case e.err != nil:
		return messageNotServed
	case e.answer.MissingShards > 0:
		return messagePartial
	case e.answer.Late:
		return messageLate
	default:
		return messageAnswered
	}
}

// requestLog logs one line per request, subject to rate limits.
type requestLog struct {
	logger                        *slog.Logger
	board                         *blackboard.Board
	quotaAge                      func() QuotaAge // nil if unknown
	complete, refused, incomplete *rate.Limiter
	omitted                       atomic.Int64
}

func newRequestLog(options *Options) *requestLog {
	return &requestLog{
		logger: options.Logger, board: options.Board, quotaAge: options.QuotaAge,
		complete:   rate.NewLimiter(completePerSecond, completeBurst),
		refused:    rate.NewLimiter(refusedPerSecond, refusedBurst),
		incomplete: rate.NewLimiter(incompletePerSecond, incompleteBurst),
	}
}

func (l *requestLog) write(entry logEntry) {
	limiter := l.complete
	switch {
	case entry.refused():
		limiter = l.refused
	case entry.incomplete():
		limiter = l.incomplete
	}
	if !limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	l.logger.Info(entry.message(), l.attributes(&entry)...)
}

// attributes returns the state that the request was served by, and its result.
func (l *requestLog) attributes(entry *logEntry) []any {
	attributes := []any{"request", entry.id, "took_ms", entry.duration.Milliseconds()}
	if omitted := l.omitted.Swap(0); omitted > 0 {
		attributes = append(attributes, "omitted_lines", omitted)
	}
	if table := l.board.Routes.Load(); table != nil {
		attributes = append(attributes, "configuration", table.Version)
	}
	if status := l.board.Store.Load(); status != nil && !status.Reachable {
		attributes = append(attributes, "store_lost_ms", elapsed.Time().Sub(status.Since).Milliseconds())
	}
	if entry.route != nil {
		attributes = append(attributes, "route", entry.route.Name, "attempts", entry.answer.Attempts, "hedges", entry.answer.Hedges)
	} else {
		attributes = append(attributes, "host", entry.request.Host)
	}
	attributes = append(attributes, entry.identity.attributes()...)
	if entry.answer.MissingShards > 0 {
		attributes = append(attributes, "missing", entry.answer.MissingShards)
	}
	if len(entry.answer.Trace) > 0 {
		attributes = append(attributes, "shards", entry.answer.Trace)
	}
	var known *failure.Error
	if errors.As(entry.err, &known) {
		attributes = append(attributes, "kind", string(known.Kind), "not_run", known.NotRun)
		if known.Kind == failure.QuotaExceeded {
			attributes = append(attributes, "retry_after_ms", known.RetryAfter.Milliseconds())
			if l.quotaAge != nil {
				attributes = append(attributes, l.quotaAge().attributes()...)
			}
		}
	}
	if entry.err != nil {
		// these identify a retry, which may have another ID and reach another node
		attributes = append(attributes, "reason", entry.err.Error(),
			"caller", callerAddress(entry.request).String(), "target", truncateTarget(entry.request.RequestURI))
	}
	return attributes
}

// QuotaAge describes how old the other nodes' reports are by which a node decides on a tenant's
// requests.
type QuotaAge struct {
	// Node is the node with the oldest report; empty if there is no other node.
	Node string
	// Age is the age of its report; negative if it has sent none.
	Age time.Duration
	// Silent is the number of nodes whose share of the limits is reserved, as they do not report.
	Silent int
}

func (a QuotaAge) attributes() []any {
	if a.Node == "" {
		return []any{"quota_silent", a.Silent}
	}
	age := int64(-1)
	if a.Age >= 0 {
		age = a.Age.Milliseconds()
	}
	return []any{"quota_age_ms", age, "quota_oldest", a.Node, "quota_silent", a.Silent}
}

// attributes returns the tenant, or the label of a key that no tenant holds.
func (i *identity) attributes() []any {
	switch {
	case i == nil:
		return nil
	case i.tenant != nil:
		return []any{"tenant", i.tenant.Name}
	case i.key != "":
		return []any{"unknown_key", routing.KeyLabel(i.key)}
	default:
		return nil
	}
}
