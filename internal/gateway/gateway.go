// Package gateway is the callers' port: JSON over HTTP.
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

// The paths of the callers' port.
const (
	QueryPath = "/v1/query"
	CallPath  = "/v1/call"
)

const (
	// defaultMaxBodyBytes bounds a request's body.
	defaultMaxBodyBytes = 1 << 20
	defaultWriteTimeout = 30 * time.Second
)

// Searcher answers queries.
type Searcher interface {
	Search(ctx context.Context, query client.Query) (client.Answer, error)
}

// Caller runs calls that may not be repeated.
type Caller interface {
	Call(ctx context.Context, call client.Call) (client.CallResult, error)
}

// Options are what the handler needs.
type Options struct {
	Searcher Searcher
	Caller   Caller
	Board    *blackboard.Board
	// MaxBodyBytes bounds a request's body; 0 means 1 MiB.
	MaxBodyBytes int64
	// WriteTimeout bounds the time in which a caller takes its answer; 0 means
	// 30 s.
	WriteTimeout time.Duration
	Registerer   prometheus.Registerer
}

type gateway struct {
	options  Options
	requests *prometheus.CounterVec
}

// New makes the handler of the callers' port.
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
	mux.HandleFunc("/", g.unknown)
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

func (g *gateway) unknown(w http.ResponseWriter, r *http.Request) {
	g.limitWriting(w)
	failure.WriteProblem(w, failure.New(failure.NotFound, "there is no path "+r.URL.Path))
}

// limitWriting keeps a caller that does not read from holding a connection. It
// is called when the answer is there, as working it out may take longer.
func (g *gateway) limitWriting(w http.ResponseWriter) {
	// it fails only for a writer that is not a connection
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.options.WriteTimeout))
}

const okLabel = "ok"

// serve reads one request, has it handled and writes the answer whole.
func serve[Request, Answer any](g *gateway, w http.ResponseWriter, r *http.Request, path string, handle func(context.Context, Request) (Answer, error)) {
	closing, err := g.admit()
	if closing {
		w.Header().Set("Connection", "close")
	}
	answer, err := exchange(g, w, r, err, handle)
	g.limitWriting(w)
	if err != nil {
		g.requests.WithLabelValues(path, string(failure.KindOf(err))).Inc()
		failure.WriteProblem(w, err)
		return
	}
	g.requests.WithLabelValues(path, okLabel).Inc()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer) // the caller is gone if this fails
}

func exchange[Request, Answer any](g *gateway, w http.ResponseWriter, r *http.Request, refused error, handle func(context.Context, Request) (Answer, error)) ([]byte, error) {
	if refused != nil {
		return nil, refused
	}
	var request Request
	if err := g.decode(w, r, &request); err != nil {
		return nil, err
	}
	answer, err := handle(r.Context(), request)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "encode the answer")
	}
	return encoded, nil
}

// admit looks at the daemon's phase. While it drains, requests are still
// served; once its port is closed, on connections that end after them. Ending
// them earlier would make callers open new ones to a port about to close.
func (g *gateway) admit() (closing bool, err error) {
	phase := g.options.Board.Phase.Load()
	switch {
	case phase == nil || *phase == blackboard.PhaseStarting:
		return false, failure.New(failure.NoTable, "the daemon is starting")
	case *phase == blackboard.PhaseServing, *phase == blackboard.PhaseDraining:
		return false, nil
	case *phase == blackboard.PhaseClosing:
		return true, nil
	default:
		return true, failure.New(failure.Draining, "the daemon has stopped taking requests")
	}
}

// decode reads one JSON document strictly: known fields only, nothing after.
func (g *gateway) decode(w http.ResponseWriter, r *http.Request, target any) error {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return failure.New(failure.InvalidRequest, "method "+r.Method+" is not POST")
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, g.options.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return failure.New(failure.InvalidRequest, "there is more after the JSON document")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.Wrap(err, failure.TooLarge, "read the body")
	}
	return failure.Wrap(err, failure.InvalidRequest, "decode the body")
}
