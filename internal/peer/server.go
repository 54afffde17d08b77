// Package peer is the protocol between daemons: msgpack over net/http. It
// carries membership, documents, node states, statistics and forwarded
// sub-requests. Every message is bounded in size, and one that does not
// decode is answered by a problem and changes nothing.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/membership"
)

// StatisticsSource returns the encoded statistics of the last while.
type StatisticsSource func(since time.Duration) ([]byte, error)

// Forwarder asks a replica for a peer. Its errors are *failure.Error.
type Forwarder interface {
	Forward(ctx context.Context, request ForwardRequest) (ForwardReply, error)
}

// ServerOptions configure the handler. Exchange, Document and State are
// needed; a nil Statistics or Forwarder answers not found.
type ServerOptions struct {
	// Exchange is membership.Node.Receive.
	Exchange func(membership.Message) membership.Message
	// Document is document.Register.Current.
	Document   func(document.Name) (document.Document, bool)
	State      func() NodeState
	Statistics StatisticsSource
	Forwarder  Forwarder
	// WithTimeout bounds a forwarded sub-request; nil means context.WithTimeout. That of an
	// elapsed.Meter does not count a pause of the process.
	WithTimeout func(parent context.Context, lasting time.Duration) (context.Context, context.CancelFunc)
	// MaxBodyBytes bounds a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	Registerer   prometheus.Registerer
}

// DefaultMaxBodyBytes bounds the body of a message.
const DefaultMaxBodyBytes = 4 << 20

const (
	// maximumExchangeBytes bounds a membership message.
	maximumExchangeBytes = 256 << 10
	// maximumQuestionBytes bounds requests that only name what is wanted.
	maximumQuestionBytes = 4 << 10
)

// maximumForwardTime bounds a forwarded sub-request that names no time.
const maximumForwardTime = 30 * time.Second

type server struct {
	options ServerOptions
	metrics *serverMetrics
}

// NewServer makes the handler of the peers' port.
func NewServer(options ServerOptions) http.Handler {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
	}
	s := &server{options: options, metrics: newServerMetrics(options.Registerer)}
	routes := http.NewServeMux()
	routes.Handle("POST "+ExchangePath, route(s, ExchangePath, maximumExchangeBytes, s.exchange))
	routes.Handle("POST "+DocumentPath, route(s, DocumentPath, maximumQuestionBytes, s.document))
	routes.Handle("POST "+StatePath, route(s, StatePath, maximumQuestionBytes, s.state))
	routes.Handle("POST "+StatisticsPath, route(s, StatisticsPath, maximumQuestionBytes, s.statistics))
	routes.Handle("POST "+ForwardPath, route(s, ForwardPath, DefaultMaxBodyBytes, s.forward))
	return routes
}

// ServerProtocols are the protocols of the http.Server that serves the
// handler: HTTP/1.1 for membership, HTTP/2 (without TLS as h2c) for the rest.
func ServerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// route decodes requests, calls the operation and encodes its reply.
func route[Request, Reply any](s *server, path string, limit int64, operation func(context.Context, Request) (Reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readBounded(r.Body, min(limit, s.options.MaxBodyBytes))
		if err != nil {
			s.refuse(w, path, err)
			return
		}
		var request Request
		if err := decode(body, &request); err != nil {
			s.refuse(w, path, failure.Wrap(err, failure.InvalidRequest, "peer message"))
			return
		}
		reply, err := operation(r.Context(), request)
		if err != nil {
			s.refuse(w, path, err)
			return
		}
		encoded, err := encode(reply)
		if err != nil {
			s.refuse(w, path, err)
			return
		}
		s.metrics.served(path, outcomeAnswered, len(body), len(encoded))
		write(w, http.StatusOK, encoded)
	})
}

func (s *server) refuse(w http.ResponseWriter, path string, err error) {
	problem := problemOf(err)
	encoded, err := encode(problem)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.metrics.served(path, string(problem.Kind), 0, len(encoded))
	write(w, failure.Lookup(problem.Kind).Status, encoded)
}

func write(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header["Date"] = nil // saves bytes on every reply
	header.Set("Content-Type", ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // the peer is gone if this fails
}

func (s *server) exchange(_ context.Context, request membership.Message) (membership.Message, error) {
	if request.Kind < membership.MessagePing || request.Kind >= membership.MessageReply || request.From.ID == "" {
		return membership.Message{}, failure.New(failure.InvalidRequest, "unknown membership message")
	}
	return s.options.Exchange(request), nil
}

func (s *server) document(_ context.Context, request DocumentRequest) (document.Document, error) {
	current, known := s.options.Document(request.Name)
	if !known || current.Revision < request.MinimumRevision {
		return document.Document{}, failure.New(failure.NotFound, "no such revision of document "+string(request.Name))
	}
	return current, nil
}

func (s *server) state(context.Context, StateRequest) (NodeState, error) {
	return s.options.State(), nil
}

func (s *server) statistics(_ context.Context, request StatisticsRequest) (StatisticsReply, error) {
	if s.options.Statistics == nil {
		return StatisticsReply{}, failure.New(failure.NotFound, "no statistics are kept")
	}
	encoded, err := s.options.Statistics(request.Window)
	return StatisticsReply{Encoded: encoded}, err
}

func (s *server) forward(ctx context.Context, request ForwardRequest) (ForwardReply, error) {
	if s.options.Forwarder == nil {
		return ForwardReply{}, failure.New(failure.NotFound, "nothing is forwarded here")
	}
	timeout := time.Duration(request.TimeoutMilliseconds) * time.Millisecond
	if timeout <= 0 || timeout > maximumForwardTime {
		timeout = maximumForwardTime
	}
	bounded, cancel := s.options.WithTimeout(ctx, timeout)
	defer cancel()
	return s.options.Forwarder.Forward(bounded, request)
}
