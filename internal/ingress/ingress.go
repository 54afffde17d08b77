// Package ingress takes callers' requests that are passed on as they are: it
// finds the route, reads the request whole, hands it to the query service, and
// writes the answer.
package ingress

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/upstream"
)

// Codec gives the headers of the callers' protocol their meaning.
type Codec interface {
	// ReadRequest returns the identifier of a request and how long its caller
	// waits, and removes from the header what belongs to the protocol.
	ReadRequest(header http.Header) (id string, wait time.Duration)
	// WriteParts states which parts a scattered answer consists of.
	WriteParts(header http.Header, signatures []string, missing int)
	// WriteRetryAfter tells a caller when to come back.
	WriteRetryAfter(header http.Header, wait time.Duration)
}

// Forwarder passes requests on.
type Forwarder interface {
	Forward(ctx context.Context, forwarding *query.ForwardRequest) (query.ForwardResult, error)
}

// Options are what a Handler needs.
type Options struct {
	Board     *blackboard.Board
	Codec     Codec
	Forwarder Forwarder
	// Await waits until the routes may be trusted, and tells whether they may; nil means
	// always. It ends with ctx.
	Await  func(ctx context.Context) bool
	Logger *slog.Logger
}

// Handler serves callers' requests.
type Handler struct {
	options Options
	lines   *requestLog
}

// New makes a Handler.
func New(options Options) *Handler {
	if options.Await == nil {
		options.Await = func(context.Context) bool { return true }
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Handler{options: options, lines: newRequestLog(options.Logger, options.Board)}
}

// defaultBodyBytes bounds a body while no limit is known.
const defaultBodyBytes = 1 << 20

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if phase := h.options.Board.Phase.Load(); phase != nil && *phase >= blackboard.PhaseDraining {
		w.Header().Set("Connection", "close")
	}
	defer h.answerAfterPanic(w, r)
	started := time.Now()
	id, wait := h.options.Codec.ReadRequest(r.Header)
	route, answer, err := h.forward(r, id, wait)
	if err != nil {
		h.refuse(w, err)
	} else {
		h.write(w, answer)
	}
	h.lines.tell(outcome{request: r, id: id, route: route, answer: &answer, err: err, took: time.Since(started)})
}

// answerAfterPanic gives a request that met a fault of this program its final
// answer: net/http would end the connection without one.
func (h *Handler) answerAfterPanic(w http.ResponseWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	h.options.Logger.Error("a handler panicked", "host", r.Host, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	h.refuse(w, failure.New(failure.Internal, "a fault of this program"))
}

func (h *Handler) forward(r *http.Request, id string, wait time.Duration) (*routing.Route, query.ForwardResult, error) {
	if h.options.Board.Routes.Load() == nil {
		return nil, query.ForwardResult{}, failure.New(failure.NoTable, "no routes are known yet")
	}
	began := time.Now()
	trusted := h.options.Await(r.Context())
	waited := time.Since(began) // of the request's time: nothing is sent for longer than is left
	if !trusted {
		return nil, query.ForwardResult{}, failure.New(failure.StaleTable, "the routes could not be confirmed after a pause")
	}
	table := h.options.Board.Routes.Load() // after the wait, which may bring another one
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		return nil, query.ForwardResult{}, failure.New(failure.NotFound, "no route for this host and path")
	}
	body, err := readBody(r, table.Limits.BodyBytes)
	if err != nil {
		return route, query.ForwardResult{}, err
	}
	message := &upstream.Request{
		ID: id, Caller: callerOf(r), Method: r.Method, Target: target, Host: r.Host, Header: endToEnd(r.Header), Body: body,
	}
	answer, err := h.options.Forwarder.Forward(r.Context(), &query.ForwardRequest{Message: message, Route: route, CallerTimeout: wait, Elapsed: waited})
	return route, answer, err
}

// callerOf returns the address that a request came from, the zero value when the server
// has not said.
func callerOf(r *http.Request) netip.Addr {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return from.Addr().Unmap()
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, failure.New(failure.TooLarge, "the body is over the limit")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, failure.Wrap(err, failure.InvalidRequest, "read the body")
	case int64(len(body)) > limit:
		return nil, failure.New(failure.TooLarge, "the body is over the limit")
	}
	return body, nil
}

// write answers with what the replicas answered.
func (h *Handler) write(w http.ResponseWriter, answer query.ForwardResult) {
	header := w.Header()
	status, body := http.StatusOK, answer.Records
	if answer.Reply != nil {
		status, body = answer.Reply.Status, answer.Reply.Body
		copyHeader(header, endToEnd(answer.Reply.Header))
	} else {
		h.options.Codec.WriteParts(header, answer.Signatures, answer.MissingShards)
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // net/http would guess one
	}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller is gone if this fails
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name != "Content-Length" {
			to[name] = values
		}
	}
}

// refuse answers with a failure. Statuses that promise that nothing ran are
// given only when that was proved.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	known := failure.From(err)
	status := failure.Lookup(known.Kind).Status
	if promisesNotRun(status) && !known.NotRun {
		status = http.StatusBadGateway
	}
	if known.NotRun && known.RetryAfter > 0 {
		h.options.Codec.WriteRetryAfter(w.Header(), known.RetryAfter)
	}
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
