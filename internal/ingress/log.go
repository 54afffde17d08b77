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

// The lines a second about requests, by whether there is something to explain.
// What is over them is counted, and said in the next line.
const (
	plainLines       = 1
	noteworthyLines  = 40
	plainBurst       = 5
	noteworthyBurst  = 200
	messageAnswered  = "request answered"
	messagePartial   = "request answered in part"
	messageLate      = "request answered late"
	messageNotServed = "request not answered"
)

// outcome is what came of one request.
type outcome struct {
	request *http.Request
	id      string
	// route is nil when there was none.
	route  *routing.Route
	answer *query.ForwardResult
	err    error
	took   time.Duration
}

// mostTargetBytes of a target are logged: enough to tell requests apart, and a line stays
// one packet.
const mostTargetBytes = 200

func shortened(target string) string { return target[:min(len(target), mostTargetBytes)] }

// noteworthy is true when a caller may ask what happened.
func (o *outcome) noteworthy() bool {
	return o.err != nil || o.answer.MissingShards > 0 || o.answer.Late
}

func (o *outcome) message() string {
	switch {
	case o.err != nil:
		return messageNotServed
	case o.answer.MissingShards > 0:
		return messagePartial
	case o.answer.Late:
		return messageLate
	default:
		return messageAnswered
	}
}

// requestLog writes one line about a request, as far as its rates allow.
type requestLog struct {
	logger            *slog.Logger
	board             *blackboard.Board
	plain, noteworthy *rate.Limiter
	omitted           atomic.Int64
}

func newRequestLog(logger *slog.Logger, board *blackboard.Board) *requestLog {
	return &requestLog{
		logger: logger, board: board,
		plain:      rate.NewLimiter(plainLines, plainBurst),
		noteworthy: rate.NewLimiter(noteworthyLines, noteworthyBurst),
	}
}

func (l *requestLog) tell(about outcome) {
	limiter := l.plain
	if about.noteworthy() {
		limiter = l.noteworthy
	}
	if !limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	l.logger.Info(about.message(), l.attributes(&about)...)
}

// attributes are what the request was decided by, and what came of it.
func (l *requestLog) attributes(about *outcome) []any {
	attributes := []any{"request", about.id, "took_ms", about.took.Milliseconds()}
	if omitted := l.omitted.Swap(0); omitted > 0 {
		attributes = append(attributes, "omitted_lines", omitted)
	}
	if table := l.board.Routes.Load(); table != nil {
		attributes = append(attributes, "configuration", table.Version)
	}
	if status := l.board.Store.Load(); status != nil && !status.Reachable {
		attributes = append(attributes, "store_lost_ms", elapsed.Time().Sub(status.Since).Milliseconds())
	}
	if about.route != nil {
		attributes = append(attributes, "route", about.route.Name, "attempts", about.answer.Attempts, "hedges", about.answer.Hedges)
	} else {
		attributes = append(attributes, "host", about.request.Host)
	}
	if about.answer.MissingShards > 0 {
		attributes = append(attributes, "missing", about.answer.MissingShards)
	}
	if len(about.answer.Trace) > 0 {
		attributes = append(attributes, "shards", about.answer.Trace)
	}
	var known *failure.Error
	if errors.As(about.err, &known) {
		attributes = append(attributes, "kind", string(known.Kind), "not_run", known.NotRun)
	}
	if about.err != nil {
		// the same request may come again, by other identifiers and at other nodes
		attributes = append(attributes, "reason", about.err.Error(),
			"caller", callerOf(about.request).String(), "target", shortened(about.request.RequestURI))
	}
	return attributes
}
