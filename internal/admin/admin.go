// Package admin is the administration port of a daemon: health, readiness,
// metrics, profiles, and the operators' API that the command line uses.
//
//	GET  /healthz /readyz /metrics /debug/pprof/
//	GET  /v1/table                 policy.Table in force on this daemon
//	GET  /v1/policies/{name}       policy.Row
//	POST /v1/edits                 policytable.Edit -> EditResult; ?dry_run=true, ?wait=5s
//	GET  /v1/history?limit=20      History
//	POST /v1/restore               RestoreRequest -> EditResult
//	GET  /v1/status                Status of all daemons
//	GET  /v1/members               topology.Members
//	GET  /v1/replicas              Replicas as this daemon sees them
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
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/replica"
)

// Editor changes the table; policytable.Editor is one.
type Editor interface {
	Apply(ctx context.Context, edit policytable.Edit) (policy.Change, error)
	Diff(ctx context.Context, edit policytable.Edit) ([]string, error)
	History(ctx context.Context, limit int) ([]policy.Change, error)
	Restore(ctx context.Context, author string) (policy.Change, error)
}

// Peers asks other daemons for their state; peer.Client is one.
type Peers interface {
	State(ctx context.Context, address string) (peer.NodeState, error)
	Statistics(ctx context.Context, address string, since time.Duration) ([]byte, error)
}

// Options configure the handler. Board, Editor, Peers and State are needed.
type Options struct {
	Board  *blackboard.Board
	Editor Editor
	Peers  Peers
	// State is this daemon's own.
	State func() peer.NodeState
	// Statistics are this daemon's own, as a peer would send them; nil means
	// none are kept.
	Statistics peer.StatisticsSource
	// Replicas are the replicas that this daemon may send requests to; nil
	// means not known.
	Replicas func() []replica.Status
	// Token is needed in "Authorization: Bearer" for changes and profiles;
	// empty means that none is.
	Token string
	// Gatherer serves /metrics; nil means the default registry.
	Gatherer   prometheus.Gatherer
	Registerer prometheus.Registerer
	// MaxBodyBytes bounds a request's body; 0 means 2 MiB.
	MaxBodyBytes int64
	// Extra has further routes by pattern, such as "GET /v1/compare".
	Extra []Route
}

// Route is a further route of the operators' API.
type Route struct {
	Pattern string
	Handler http.Handler
}

const (
	defaultMaxBodyBytes = 2 << 20
	// maximumWait bounds ?wait.
	maximumWait = 60 * time.Second
)

type handler struct {
	options Options
	metrics *metrics
}

// New makes the handler of the administration port.
func New(options Options) http.Handler {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	if options.Gatherer == nil {
		options.Gatherer = prometheus.DefaultGatherer
	}
	h := &handler{options: options, metrics: newMetrics(options.Registerer)}
	routes := http.NewServeMux()
	h.addObservation(routes)
	routes.HandleFunc("GET /v1/table", h.table)
	routes.HandleFunc("GET /v1/policies/{name}", h.policy)
	routes.HandleFunc("GET /v1/history", h.history)
	routes.HandleFunc("GET /v1/status", h.status)
	routes.HandleFunc("GET /v1/members", h.members)
	routes.HandleFunc("GET /v1/replicas", h.replicas)
	routes.HandleFunc("GET /v1/compare", h.compare)
	routes.Handle("POST /v1/edits", h.guarded(h.edit))
	routes.Handle("POST /v1/restore", h.guarded(h.restore))
	for _, extra := range options.Extra {
		routes.Handle(extra.Pattern, extra.Handler)
	}
	// a page in an operator's browser must not reach a port on loopback
	return http.NewCrossOriginProtection().Handler(routes)
}

func (h *handler) addObservation(routes *http.ServeMux) {
	routes.HandleFunc("GET /healthz", h.healthy)
	routes.HandleFunc("GET /readyz", h.ready)
	routes.Handle("GET /metrics", promhttp.HandlerFor(h.options.Gatherer, promhttp.HandlerOpts{}))
	routes.Handle("GET /debug/pprof/", h.guarded(pprof.Index))
	routes.Handle("GET /debug/pprof/cmdline", h.guarded(pprof.Cmdline))
	routes.Handle("GET /debug/pprof/profile", h.guarded(pprof.Profile))
	routes.Handle("GET /debug/pprof/symbol", h.guarded(pprof.Symbol))
	routes.Handle("GET /debug/pprof/trace", h.guarded(pprof.Trace))
}

// healthy answers as long as the process can answer.
func (h *handler) healthy(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

// ready answers 200 while the daemon should be sent queries.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := h.notReady(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (h *handler) notReady() string {
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
