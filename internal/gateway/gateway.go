// Package gateway implements the public HTTP API for callers, with JSON bodies.
//
//	POST /v1/query  client.Query -> client.Answer
//	POST /v1/call   client.Call  -> client.CallResult
//
// Errors are RFC 9457 problem documents (client.Problem).
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
)

// The paths of the API.
const (
	QueryPath = "/v1/query"
	CallPath  = "/v1/call"
)

const (
	defaultMaxBodyBytes = 1 << 20
	defaultWriteTimeout = 30 * time.Second
)

// Searcher executes queries.
type Searcher interface {
	Search(ctx context.Context, query client.Query) (client.Answer, error)
}

// Caller executes at-most-once calls.
type Caller interface {
	Call(ctx context.Context, call client.Call) (client.CallResult, error)
}

// Options configure the handler.
type Options struct {
	Searcher Searcher
	Caller   Caller
	Board    *blackboard.Board
	// MaxBodyBytes limits the size of a request body; 0 means 1 MiB.
	MaxBodyBytes int64
	// WriteTimeout limits the time for writing a response; 0 means 30 s.
	WriteTimeout time.Duration
	Registerer   prometheus.Registerer
}

type gateway struct {
	options  Options
	requests *prometheus.CounterVec
}

// New returns the handler of the API.
func New(options Options) http.Handler {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	if options.WriteTimeout <= 0 {
		options.WriteTimeout = defaultWriteTimeout
	}
	g := &gateway{options: options, requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_gateway_requests_total", Help: "Callers' requests, by path and error kind or ok.",
	}, []string{"path", "kind"})}
	if options.Registerer != nil {
		options.Registerer.MustRegister(g.requests)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", g.notFound)
	mux.HandleFunc(QueryPath, func(w http.ResponseWriter, r *http.Request) { serve(g, w, r, QueryPath, g.search) })
	mux.HandleFunc(CallPath, func(w http.ResponseWriter, r *http.Request) { serve(g, w, r, CallPath, g.call) })
	return mux
}

func (g *gateway) search(ctx context.Context, query client.Query) (client.Answer, error) {
	return g.options.Searcher.Search(ctx, query)
}

func (g *gateway) call(ctx context.Context, call client.Call) (client.CallResult, error) {
	return g.options.Caller.Call(ctx, call)
}

func (g *gateway) notFound(w http.ResponseWriter, r *http.Request) {
	g.setWriteDeadline(w)
	failure.WriteProblem(w, failure.New(failure.NotFound, "unknown path "+r.URL.Path))
}

// setWriteDeadline closes the connection of a caller that does not read its response. It is
// called once the response is ready, as executing the request may take longer.
func (g *gateway) setWriteDeadline(w http.ResponseWriter) {
	// this fails only for a ResponseWriter that does not support deadlines
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.options.WriteTimeout))
}

const okLabel = "ok"

// serve decodes a request, passes it to handle and writes the response.
func serve[Request, Response any](g *gateway, w http.ResponseWriter, r *http.Request, path string, handle func(context.Context, Request) (Response, error)) {
	closing, err := g.checkPhase()
	if closing {
		w.Header().Set("Connection", "close")
	}
	body, err := respond(g, w, r, err, handle)
	g.setWriteDeadline(w)
	if err != nil {
		g.requests.WithLabelValues(path, string(failure.KindOf(err))).Inc()
		failure.WriteProblem(w, err)
		return
	}
	g.requests.WithLabelValues(path, okLabel).Inc()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // an error means that the caller has disconnected
}

// respond returns the encoded response. It returns phaseErr if that is not nil.
func respond[Request, Response any](g *gateway, w http.ResponseWriter, r *http.Request, phaseErr error, handle func(context.Context, Request) (Response, error)) ([]byte, error) {
	if phaseErr != nil {
		return nil, phaseErr
	}
	var request Request
	if err := g.decode(w, r, &request); err != nil {
		return nil, err
	}
	response, err := handle(r.Context(), request)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "encode response")
	}
	return encoded, nil
}

// checkPhase reports whether the connection must be closed after the response, and returns
// an error if the daemon does not serve requests in its current phase. Connections are kept
// open until the listener is closed, as callers would otherwise reconnect to this daemon.
func (g *gateway) checkPhase() (closing bool, err error) {
	phase := g.options.Board.Phase.Load()
	switch {
	case phase == nil || *phase == blackboard.PhaseStarting:
		return false, failure.New(failure.NoTable, "daemon is starting")
	case *phase == blackboard.PhaseServing, *phase == blackboard.PhaseDraining:
		return false, nil
	case *phase == blackboard.PhaseClosing:
		return true, nil
	default:
		return true, failure.New(failure.Draining, "daemon is shutting down")
	}
}

// decode reads a JSON document. Unknown fields and trailing data are errors.
func (g *gateway) decode(w http.ResponseWriter, r *http.Request, target any) error {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return failure.New(failure.InvalidRequest, "method "+r.Method+" not allowed, want POST")
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, g.options.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return failure.New(failure.InvalidRequest, "unexpected data after JSON document")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.Wrap(err, failure.TooLarge, "read request body")
	}
	return failure.Wrap(err, failure.InvalidRequest, "decode request body")
}
