// Package admin serves a daemon's administration port: health, readiness, metrics,
// profiles, and the operators' API that the command line tool uses.
//
//	GET  /healthz /readyz /metrics /debug/pprof/
//	GET  /v1/table                 Active policy.Table of this daemon
//	GET  /v1/policies/{name}       policy.Row
//	POST /v1/edits                 policytable.Edit -> EditResult; ?dry_run=true, ?wait=5s
//	GET  /v1/history?limit=20      History
//	POST /v1/restore               RestoreRequest -> EditResult
//	GET  /v1/status                Status of all daemons
//	GET  /v1/members               topology.Members
//	GET  /v1/replicas              Replicas known to this daemon
//	GET  /v1/compare?a=&b=         Comparison of two policies; ?group=, ?last=10m
//
// Errors are RFC 9457 problems.
package admin

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/topology"
)

// Editor edits the policy table. It is implemented by policytable.Editor.
type Editor interface {
	Apply(ctx context.Context, edit policytable.Edit) (policy.Change, error)
	Diff(ctx context.Context, edit policytable.Edit) ([]string, error)
	History(ctx context.Context, limit int) ([]policy.Change, error)
	Restore(ctx context.Context, author string) (policy.Change, error)
}

// Peers queries other daemons. It is implemented by peer.Client.
type Peers interface {
	State(ctx context.Context, address string) (peer.NodeState, error)
	Statistics(ctx context.Context, address string, since time.Duration) ([]byte, error)
}

// Options configures the handler. Board, Editor, Peers and State are required.
type Options struct {
	Board  *blackboard.Board
	Editor Editor
	Peers  Peers
	// State returns this daemon's state.
	State func() peer.NodeState
	// Failed returns the members that were declared dead within the given time before
	// now; nil means none.
	Failed func(within time.Duration) []topology.Member
	// Statistics returns this daemon's statistics in the encoding used between
	// peers; nil means that none are collected.
	Statistics peer.StatisticsSource
	// Replicas returns the replicas that this daemon may send requests to. It is
	// optional.
	Replicas func() []replica.Status
	// Token is the bearer token required for changes and profiles; empty disables
	// the check.
	Token string
	// Gatherer serves /metrics; nil means the default registry.
	Gatherer   prometheus.Gatherer
	Registerer prometheus.Registerer
	// MaxBodyBytes bounds the size of a request body; 0 means 2 MiB.
	MaxBodyBytes int64
	// WithTimeout bounds the request to one peer; nil means context.WithTimeout.
	WithTimeout elapsed.TimeoutFunc
	// ExtraRoutes are served in addition to those of this package.
	ExtraRoutes []Route
}

// Route is an additional route of the operators' API.
type Route struct {
	Pattern string
	Handler http.Handler
}

const (
	defaultMaxBodyBytes = 2 << 20
	// maxPropagationWait is the maximum of ?wait.
	maxPropagationWait = 60 * time.Second
)

type handler struct {
	options Options
	metrics *metrics
}

// New returns the handler of the administration port.
func New(options Options) http.Handler {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	if options.Gatherer == nil {
		options.Gatherer = prometheus.DefaultGatherer
	}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
	}
	h := &handler{options: options, metrics: newMetrics(options.Registerer)}
	mux := http.NewServeMux()
	h.registerMonitoring(mux)
	mux.HandleFunc("GET /v1/table", h.table)
	mux.HandleFunc("GET /v1/policies/{name}", h.policy)
	mux.HandleFunc("GET /v1/history", h.history)
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("GET /v1/members", h.members)
	mux.HandleFunc("GET /v1/replicas", h.replicas)
	mux.HandleFunc("GET /v1/compare", h.compare)
	mux.Handle("POST /v1/edits", h.requireToken(h.edit))
	mux.Handle("POST /v1/restore", h.requireToken(h.restore))
	for _, route := range options.ExtraRoutes {
		mux.Handle(route.Pattern, route.Handler)
	}
	// Web pages open in an operator's browser must not be able to make changes
	// through a port on loopback.
	return http.NewCrossOriginProtection().Handler(mux)
}

func (h *handler) registerMonitoring(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", h.healthy)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.options.Gatherer, promhttp.HandlerOpts{}))
	mux.Handle("GET /debug/pprof/", h.requireToken(pprof.Index))
	mux.Handle("GET /debug/pprof/cmdline", h.requireToken(pprof.Cmdline))
	mux.Handle("GET /debug/pprof/profile", h.requireToken(pprof.Profile))
	mux.Handle("GET /debug/pprof/symbol", h.requireToken(pprof.Symbol))
	mux.Handle("GET /debug/pprof/trace", h.requireToken(pprof.Trace))
}

func (h *handler) healthy(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

// ready returns 200 while the daemon accepts queries.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := h.notReadyReason(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (h *handler) notReadyReason() string {
	phase := h.options.Board.Phase.Load()
	switch {
	case phase == nil || *phase == blackboard.PhaseStarting:
		return "starting"
	case *phase != blackboard.PhaseServing:
		return "stopping"
	case h.options.Board.PolicyTable.Load() == nil:
		return "no policy table is known yet"
	case h.options.Board.Catalogue.Load() == nil:
		return "no catalogue is known yet"
	case h.options.Board.Replicas.Load() == nil:
		return "the machine list was not read yet"
	default:
		return ""
	}
}
