// Package peer implements the protocol between daemons: msgpack over HTTP. It
// carries membership messages, documents, node states, statistics and forwarded
// sub-requests. Messages are bounded in size. A message that does not decode is
// rejected with a Problem and changes no state.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/membership"
)

// StatisticsSource returns the encoded statistics of the most recent window.
type StatisticsSource func(window time.Duration) ([]byte, error)

// Forwarder sends a sub-request to a replica on behalf of a peer. Its errors are
// *failure.Error.
type Forwarder interface {
	Forward(ctx context.Context, request ForwardRequest) (ForwardReply, error)
}

// ServerOptions configures the handler. Exchange, Document and State are
// required. If Statistics or Forwarder is nil, its route replies not found.
type ServerOptions struct {
	// Exchange handles a membership message, as membership.Node.Receive does.
	Exchange func(membership.Message) membership.Message
	// Document returns a document, as document.Register.Current does.
	Document func(document.Name) (document.Document, bool)
	// Fresh reports whether the documents are known to be current, as freshness.Monitor.Fresh
	// does; nil means always.
	Fresh      func() bool
	State      func() NodeState
	Statistics StatisticsSource
	Forwarder  Forwarder
	// WithTimeout bounds a forwarded sub-request; nil means context.WithTimeout.
	WithTimeout elapsed.TimeoutFunc
	// MaxBodyBytes bounds the body of a request; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	Registerer   prometheus.Registerer
}

// DefaultMaxBodyBytes is the default limit on the body of a message.
const DefaultMaxBodyBytes = 4 << 20

const (
	// maxExchangeBytes bounds a membership message.
	maxExchangeBytes = 256 << 10
	// maxLookupBytes bounds requests for documents, states and statistics.
	maxLookupBytes = 4 << 10
)

// maxForwardTimeout bounds a forwarded sub-request, also one without a timeout.
const maxForwardTimeout = 30 * time.Second

type server struct {
	options ServerOptions
	metrics *serverMetrics
}

// NewServer returns the handler of the peer protocol.
func NewServer(options ServerOptions) http.Handler {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
	}
	if options.Fresh == nil {
		options.Fresh = func() bool { return true }
	}
	s := &server{options: options, metrics: newServerMetrics(options.Registerer)}
	routes := http.NewServeMux()
	routes.Handle("POST "+ExchangePath, route(s, ExchangePath, maxExchangeBytes, s.exchange))
	routes.Handle("POST "+DocumentPath, route(s, DocumentPath, maxLookupBytes, s.document))
	routes.Handle("POST "+StatePath, route(s, StatePath, maxLookupBytes, s.state))
	routes.Handle("POST "+StatisticsPath, route(s, StatisticsPath, maxLookupBytes, s.statistics))
	routes.Handle("POST "+ForwardPath, route(s, ForwardPath, DefaultMaxBodyBytes, s.forward))
	return routes
}

// ServerProtocols returns the protocols that an http.Server with the handler must
// support: HTTP/1.1 for membership, HTTP/2 (h2c without TLS) for all else.
func ServerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// route returns a handler that decodes a request, calls operation and encodes its
// reply.
func route[Request, Reply any](s *server, path string, limit int64, operation func(context.Context, Request) (Reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readLimited(r.Body, min(limit, s.options.MaxBodyBytes))
		if err != nil {
			s.writeProblem(w, path, err)
			return
		}
		var request Request
		if err := decode(body, &request); err != nil {
			s.writeProblem(w, path, failure.Wrap(err, failure.InvalidRequest, "invalid peer message"))
			return
		}
		reply, err := operation(r.Context(), request)
		if err != nil {
			s.writeProblem(w, path, err)
			return
		}
		encoded, err := encode(reply)
		if err != nil {
			s.writeProblem(w, path, err)
			return
		}
		s.metrics.record(path, outcomeAnswered, len(body), len(encoded))
		writeResponse(w, http.StatusOK, encoded)
	})
}

func (s *server) writeProblem(w http.ResponseWriter, path string, err error) {
	problem := newProblem(err)
	encoded, err := encode(problem)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.metrics.record(path, string(problem.Kind), 0, len(encoded))
	writeResponse(w, failure.Lookup(problem.Kind).Status, encoded)
}

func writeResponse(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header["Date"] = nil // omits the header
	header.Set("Content-Type", ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // a failed write means that the peer has disconnected
}

func (s *server) exchange(_ context.Context, request membership.Message) (membership.Message, error) {
	if request.Kind < membership.MessagePing || request.Kind >= membership.MessageReply || request.From.ID == "" {
		return membership.Message{}, failure.New(failure.InvalidRequest, "unknown membership message")
	}
	return s.options.Exchange(request), nil
}

func (s *server) document(_ context.Context, request DocumentRequest) (document.Document, error) {
	if request.Confirmed && !s.options.Fresh() {
		return document.Document{}, failure.New(failure.StaleTable, "documents not confirmed since the process was paused")
	}
	current, found := s.options.Document(request.Name)
	if !found || current.Revision < request.MinimumRevision {
		return document.Document{}, failure.New(failure.NotFound, "requested revision not found of document "+string(request.Name))
	}
	return current, nil
}

func (s *server) state(context.Context, StateRequest) (NodeState, error) {
	return s.options.State(), nil
}

func (s *server) statistics(_ context.Context, request StatisticsRequest) (StatisticsReply, error) {
	if s.options.Statistics == nil {
		return StatisticsReply{}, failure.New(failure.NotFound, "statistics are not available")
	}
	encoded, err := s.options.Statistics(request.Window)
	return StatisticsReply{Encoded: encoded}, err
}

func (s *server) forward(ctx context.Context, request ForwardRequest) (ForwardReply, error) {
	if s.options.Forwarder == nil {
		return ForwardReply{}, failure.New(failure.NotFound, "forwarding is not available")
	}
	timeout := time.Duration(request.TimeoutMilliseconds) * time.Millisecond
	if timeout <= 0 || timeout > maxForwardTimeout {
		timeout = maxForwardTimeout
	}
	forwardCtx, cancel := s.options.WithTimeout(ctx, timeout)
	defer cancel()
	return s.options.Forwarder.Forward(forwardCtx, request)
}
