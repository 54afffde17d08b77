package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/membership"
)

// ClientOptions configure a Client. Zero fields take the defaults.
type ClientOptions struct {
	// TLS is used towards peers; nil means plain HTTP.
	TLS *tls.Config
	// Timeout bounds a call whose context has no earlier deadline; 2 s.
	Timeout time.Duration
	// MaxIdleConnections bounds the connections kept for membership, which
	// goes to another peer each time; 16.
	MaxIdleConnections int
	// MaxReplyBytes bounds a reply; DefaultMaxBodyBytes.
	MaxReplyBytes int64
	Registerer    prometheus.Registerer
}

const (
	defaultTimeout            = 2 * time.Second
	defaultMaxIdleConnections = 16
	dialTimeout               = time.Second
	membershipIdleTimeout     = 3 * time.Second
	requestIdleTimeout        = 30 * time.Second
)

// Client sends requests to peers. It is a membership.Transport.
type Client struct {
	options ClientOptions
	scheme  string
	// membership speaks HTTP/1.1, as a connection that serves one exchange is
	// cheaper so; requests speaks HTTP/2, as forwarding multiplexes.
	membership *http.Client
	requests   *http.Client
	metrics    *clientMetrics
}

// NewClient makes a client; it connects on use.
func NewClient(options ClientOptions) *Client {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.MaxIdleConnections == 0 {
		options.MaxIdleConnections = defaultMaxIdleConnections
	}
	if options.MaxReplyBytes == 0 {
		options.MaxReplyBytes = DefaultMaxBodyBytes
	}
	c := &Client{options: options, scheme: "http://", metrics: newClientMetrics(options.Registerer)}
	if options.TLS != nil {
		c.scheme = "https://"
	}
	c.membership = c.httpClient(membershipProtocols(), membershipIdleTimeout)
	c.requests = c.httpClient(requestProtocols(options.TLS != nil), requestIdleTimeout)
	return c
}

func membershipProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &protocols
}

func requestProtocols(encrypted bool) *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP2(encrypted)
	protocols.SetUnencryptedHTTP2(!encrypted)
	return &protocols
}

func (c *Client) httpClient(protocols *http.Protocols, idle time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		Protocols:             protocols,
		MaxIdleConns:          c.options.MaxIdleConnections,
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       idle,
		DisableCompression:    true,
		ResponseHeaderTimeout: maximumForwardTime,
	}
	if c.options.TLS != nil {
		transport.DialTLSContext = certificates.DialTLS(c.options.TLS, dialer.DialContext, applicationProtocol(protocols))
	}
	return &http.Client{Transport: transport}
}

// applicationProtocol is what TLS negotiates.
func applicationProtocol(protocols *http.Protocols) string {
	if protocols.HTTP2() {
		return "h2"
	}
	return "http/1.1"
}

// Close ends idle connections.
func (c *Client) Close() {
	c.membership.CloseIdleConnections()
	c.requests.CloseIdleConnections()
}

// Exchange implements membership.Transport.
func (c *Client) Exchange(ctx context.Context, address string, message membership.Message) (membership.Message, error) {
	return call[membership.Message](ctx, c, c.membership, address, ExchangePath, message)
}

// FetchDocument returns the document that the peer holds.
func (c *Client) FetchDocument(ctx context.Context, address string, name document.Name) (document.Document, error) {
	return c.FetchDocumentAtLeast(ctx, address, DocumentRequest{Name: name})
}

// FetchDocumentAtLeast returns the document that the peer holds, or not found
// where its revision is under the minimum.
func (c *Client) FetchDocumentAtLeast(ctx context.Context, address string, request DocumentRequest) (document.Document, error) {
	return call[document.Document](ctx, c, c.requests, address, DocumentPath, request)
}

// State returns what the peer says of itself.
func (c *Client) State(ctx context.Context, address string) (NodeState, error) {
	return call[NodeState](ctx, c, c.requests, address, StatePath, StateRequest{})
}

// Statistics returns the peer's encoded statistics of the last while.
func (c *Client) Statistics(ctx context.Context, address string, since time.Duration) ([]byte, error) {
	reply, err := call[StatisticsReply](ctx, c, c.requests, address, StatisticsPath, StatisticsRequest{Window: since})
	return reply.Encoded, err
}

// Forward asks the peer to ask a replica. It is bounded by ctx alone.
func (c *Client) Forward(ctx context.Context, address string, request ForwardRequest) (ForwardReply, error) {
	return send[ForwardReply](ctx, c, c.requests, address, ForwardPath, request)
}

// call is send within the client's timeout.
func call[Reply any](ctx context.Context, c *Client, through *http.Client, address, path string, request any) (Reply, error) {
	bounded, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return send[Reply](bounded, c, through, address, path, request)
}

// send makes one request. Its errors are *failure.Error; NotRun is true only
// where the peer said so or no connection was made.
func send[Reply any](ctx context.Context, c *Client, through *http.Client, address, path string, request any) (Reply, error) {
	var reply Reply
	body, err := encode(request)
	if err != nil {
		return reply, failure.Wrap(err, failure.Internal, "encode request to peer").WithNotRun(true)
	}
	status, answer, err := c.post(ctx, through, address, path, body)
	if err != nil {
		return reply, transportFailure(ctx, err, address)
	}
	c.metrics.transferred(path, len(body), len(answer))
	if status != http.StatusOK {
		return reply, answeredProblem(status, answer, address)
	}
	if err := decode(answer, &reply); err != nil {
		return reply, failure.Wrap(err, failure.Internal, "reply of peer "+address)
	}
	return reply, nil
}

func (c *Client) post(ctx context.Context, through *http.Client, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, eris.Wrap(err, "make request to peer")
	}
	request.GetBody = nil // the transport must not repeat a request by itself
	request.Header["User-Agent"] = []string{""}
	request.Header.Set("Content-Type", ContentType)
	response, err := through.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := readBounded(response.Body, c.options.MaxReplyBytes)
	return response.StatusCode, answer, err
}

func answeredProblem(status int, answer []byte, address string) error {
	var problem Problem
	if err := decode(answer, &problem); err != nil {
		return failure.Wrap(err, failure.Internal, "status "+http.StatusText(status)+" of peer "+address)
	}
	return problem.failure()
}

func transportFailure(ctx context.Context, err error, address string) error {
	detail := "ask peer " + address
	var operation *net.OpError
	unsent := errors.As(err, &operation) && operation.Op == "dial"
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return failure.Wrap(err, failure.Canceled, detail).WithNotRun(unsent)
	case errors.Is(err, context.DeadlineExceeded):
		return failure.Wrap(err, failure.DeadlineExceeded, detail).WithNotRun(unsent)
	default:
		return failure.Wrap(err, failure.NoReplica, detail).WithNotRun(unsent)
	}
}
