// Package ingress implements the HTTP handler for forwarded requests: it matches the route,
// reads the request body, passes the request to the query service and writes the response.
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

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/upstream"
)

// Codec reads and writes the protocol-specific headers of callers.
type Codec interface {
	// ReadRequest returns a request's ID and its caller's timeout, and removes the protocol's
	// fields from header.
	ReadRequest(header http.Header) (id string, timeout time.Duration)
	// ReadCredential returns a request's API key, or "" if it has none, and removes the fields
	// that identify a caller or a tenant from header.
	ReadCredential(header http.Header) string
	// WriteChallenge sets the field that tells a caller how to authenticate.
	WriteChallenge(header http.Header)
	// WriteParts sets the fields that describe a merged answer: the signatures of its parts
	// and the number of missing shards.
	WriteParts(header http.Header, signatures []string, missing int)
	// WriteRetryAfter sets the field that tells the caller when to retry.
	WriteRetryAfter(header http.Header, delay time.Duration)
}

// Forwarder forwards requests to replicas.
type Forwarder interface {
	Forward(ctx context.Context, request *query.ForwardRequest) (query.ForwardResult, error)
}

// Quota limits the requests of tenants.
type Quota interface {
	// Admit counts a request against its tenant's limit, or returns an error of kind
	// failure.QuotaExceeded. refund takes the request off the count again.
	Admit(ctx context.Context, tenant *routing.Tenant) (refund func(), err error)
}

// Options configure a Handler.
type Options struct {
	Board     *blackboard.Board
	Codec     Codec
	Forwarder Forwarder
	// Quota is nil if tenants are not limited.
	Quota Quota
	// QuotaAge returns how old the information is by which Quota decides. It is optional, and
	// called for each log line of a request that was refused with failure.QuotaExceeded.
	QuotaAge func() QuotaAge
	// WaitFresh waits until the routing table is up to date or ctx ends, and reports whether
	// it is. If nil, the table is always considered up to date.
	WaitFresh func(ctx context.Context) bool
	// Registerer is nil if there are no metrics.
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

// Handler forwards callers' requests to replicas.
type Handler struct {
	options Options
	log     *requestLog
	// refused counts the requests that got 401, by reason.
	refused  *prometheus.CounterVec
	refusals *refusals
}

// New returns a Handler.
func New(options Options) *Handler {
	if options.WaitFresh == nil {
		options.WaitFresh = func(context.Context) bool { return true }
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Handler{
		options: options, log: newRequestLog(&options), refused: newMetrics(options.Registerer, options.Board),
		refusals: newRefusals(options.Registerer),
	}
}

// defaultMaxBodyBytes applies if the routing table sets no limit.
const defaultMaxBodyBytes = 1 << 20

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if phase := h.options.Board.Phase.Load(); phase != nil && *phase >= blackboard.PhaseDraining {
		w.Header().Set("Connection", "close")
	}
	defer h.recoverPanic(w, r)
	startedAt := time.Now()
	id, timeout := h.options.Codec.ReadRequest(r.Header)
	entry := logEntry{request: r, id: id}
	answer, err := h.forward(r, timeout, &entry)
	if err != nil {
		h.writeError(w, err)
		discardBody(w, r)
	} else {
		h.writeAnswer(w, answer)
	}
	h.refusals.add(entry.tenant(), err)
	entry.answer, entry.err, entry.duration = &answer, err, time.Since(startedAt)
	h.log.write(entry)
}

// recoverPanic answers a request whose handler panicked: net/http would close the connection
// without a response.
func (h *Handler) recoverPanic(w http.ResponseWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	h.options.Logger.Error("handler panicked", "host", r.Host, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	h.writeError(w, failure.New(failure.Internal, "internal error"))
}

// forward forwards a request, and sets the route and the identity of its log entry.
func (h *Handler) forward(r *http.Request, timeout time.Duration, entry *logEntry) (query.ForwardResult, error) {
	if h.options.Board.Routes.Load() == nil {
		return query.ForwardResult{}, failure.New(failure.NoTable, "no routing table loaded yet")
	}
	waitStart := time.Now()
	fresh := h.options.WaitFresh(r.Context())
	waited := time.Since(waitStart) // counts towards the caller's timeout
	if !fresh {
		return query.ForwardResult{}, failure.New(failure.StaleTable, "routing table not confirmed since the process was paused")
	}
	table := h.options.Board.Routes.Load() // loaded again, as it may have changed during the wait
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	entry.route = table.Match(r.Host, path)
	if entry.route == nil {
		return query.ForwardResult{}, failure.New(failure.NotFound, "no route matches host and path")
	}
	caller := &identity{handler: h, header: r.Header, route: entry.route}
	entry.identity = caller
	if err := caller.authenticate(table); err != nil {
		return query.ForwardResult{}, err
	}
	body, err := readBody(r, table.Limits.BodyBytes)
	if err != nil {
		return query.ForwardResult{}, err
	}
	// Reading the body may take as long as the caller likes, and a key may be revoked meanwhile.
	if err := caller.confirm(r.Context()); err != nil {
		return query.ForwardResult{}, err
	}
	message := &upstream.Request{
		ID: entry.id, Caller: callerAddress(r), Method: r.Method, Target: target, Host: r.Host, Header: removeHopByHop(r.Header), Body: body,
	}
	request := &query.ForwardRequest{Message: message, Route: entry.route, CallerTimeout: timeout, Elapsed: waited}
	caller.setTenant(request)
	request.Confirm = func(ctx context.Context) error {
		if err := caller.confirm(ctx); err != nil {
			return err
		}
		caller.setTenant(request)
		return nil
	}
	return h.forwardWithinQuota(r.Context(), request, caller)
}

// forwardWithinQuota forwards a request if that is within its tenant's limit. A request that no
// replica has run does not count.
func (h *Handler) forwardWithinQuota(ctx context.Context, request *query.ForwardRequest, caller *identity) (query.ForwardResult, error) {
	waitStart := time.Now()
	if err := caller.charge(ctx); err != nil {
		return query.ForwardResult{}, err
	}
	request.Elapsed += time.Since(waitStart)
	answer, err := h.options.Forwarder.Forward(ctx, request)
	if err != nil && failure.From(err).NotRun {
		caller.refund()
	}
	return answer, err
}

// callerAddress returns the remote address of a request, or the zero value if it is unknown.
func callerAddress(r *http.Request) netip.Addr {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr().Unmap()
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, failure.New(failure.TooLarge, "request body too large")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, failure.Wrap(err, failure.InvalidRequest, "read request body")
	case int64(len(body)) > limit:
		return nil, failure.New(failure.TooLarge, "request body too large")
	}
	return body, nil
}

// maxDiscardedBytes limits what is read of the body of a request that was refused. It is the limit
// of net/http for connections that are kept.
const maxDiscardedBytes = 256 << 10

// discardBody reads the rest of the body of a request that was answered without it. If the caller
// sends "Connection: close", net/http closes the connection without reading on, and the kernel
// resets it: the caller may lose the answer.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if !r.Close || r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(w).Flush() // reading fails as well if the caller has disconnected
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}

// writeAnswer writes the replicas' answer.
func (h *Handler) writeAnswer(w http.ResponseWriter, answer query.ForwardResult) {
	header := w.Header()
	status, body := http.StatusOK, answer.Records
	if answer.Reply != nil {
		status, body = answer.Reply.Status, answer.Reply.Body
		copyHeader(header, removeHopByHop(answer.Reply.Header))
	} else {
		h.options.Codec.WriteParts(header, answer.Signatures, answer.MissingShards)
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // keeps net/http from setting one by the content
	}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name != "Content-Length" {
			to[name] = values
		}
	}
}

// writeError writes the status of an error. A status that implies that the request was not
// run is replaced by 502 Bad Gateway unless the error guarantees that.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	known := failure.From(err)
	status := failure.Lookup(known.Kind).Status
	if impliesNotRun(status) && !known.NotRun {
		status = http.StatusBadGateway
	}
	if known.NotRun && known.RetryAfter > 0 {
		h.options.Codec.WriteRetryAfter(w.Header(), known.RetryAfter)
	}
	if known.Kind == failure.Unauthenticated {
		h.options.Codec.WriteChallenge(w.Header())
	}
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
}

func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
