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
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/elapsed/operation"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/membership"
)

// ClientOptions configures a Client. Zero fields use the defaults.
type ClientOptions struct {
	// TLS configures connections to peers; nil means plain HTTP.
	TLS *tls.Config
	// Timeout bounds a call whose context has no earlier deadline; the default
	// is 2 s. It does not apply to Forward.
	Timeout time.Duration
	// WithTimeout applies Timeout; nil means context.WithTimeout.
	WithTimeout elapsed.TimeoutFunc
	// MaxIdleConnections bounds the idle connections kept for each protocol;
	// the default is 16.
	MaxIdleConnections int
	// MaxReplyBytes bounds the body of a reply; the default is
	// DefaultMaxBodyBytes.
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
	// membership uses HTTP/1.1, which is cheaper for a connection that carries
	// a single exchange. requests uses HTTP/2 to multiplex forwarded requests.
	membership *http.Client
	requests   *http.Client
	metrics    *clientMetrics
}

// NewClient returns a Client. Connections are opened on first use.
func NewClient(options ClientOptions) *Client {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
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
	c.membership = c.newHTTPClient(membershipProtocols(), membershipIdleTimeout)
	c.requests = c.newHTTPClient(requestProtocols(options.TLS != nil), requestIdleTimeout)
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

func (c *Client) newHTTPClient(protocols *http.Protocols, idle time.Duration) *http.Client {
	dial := operation.Dial(net.Dialer{}, dialTimeout)
	transport := &http.Transport{
		DialContext:           dial,
		Protocols:             protocols,
		MaxIdleConns:          c.options.MaxIdleConnections,
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       idle,
		DisableCompression:    true,
		ResponseHeaderTimeout: maxForwardTimeout,
	}
	if c.options.TLS != nil {
		transport.DialTLSContext = certificates.DialTLS(c.options.TLS, certificates.DialFunc(dial), applicationProtocol(protocols))
	}
	return &http.Client{Transport: transport}
}

// applicationProtocol returns the ALPN protocol to negotiate.
func applicationProtocol(protocols *http.Protocols) string {
	if protocols.HTTP2() {
		return "h2"
	}
	return "http/1.1"
}

// Close closes idle connections.
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

// FetchConfirmedDocument returns the document that the peer holds. It fails with
// failure.StaleTable if the peer does not know whether that is current.
func (c *Client) FetchConfirmedDocument(ctx context.Context, address string, name document.Name) (document.Document, error) {
	return c.FetchDocumentAtLeast(ctx, address, DocumentRequest{Name: name, Confirmed: true})
}

// FetchDocumentAtLeast returns the document that the peer holds. It fails with
// failure.NotFound if the revision is below request.MinimumRevision.
func (c *Client) FetchDocumentAtLeast(ctx context.Context, address string, request DocumentRequest) (document.Document, error) {
	return call[document.Document](ctx, c, c.requests, address, DocumentPath, request)
}

// State returns the state that the peer reports.
func (c *Client) State(ctx context.Context, address string) (NodeState, error) {
	return call[NodeState](ctx, c, c.requests, address, StatePath, StateRequest{})
}

// Statistics returns the peer's encoded statistics of the most recent window.
func (c *Client) Statistics(ctx context.Context, address string, window time.Duration) ([]byte, error) {
	reply, err := call[StatisticsReply](ctx, c, c.requests, address, StatisticsPath, StatisticsRequest{Window: window})
	return reply.Encoded, err
}

// Forward asks the peer to send a sub-request to a replica. Only ctx limits its
// duration.
func (c *Client) Forward(ctx context.Context, address string, request ForwardRequest) (ForwardReply, error) {
	return send[ForwardReply](ctx, c, c.requests, address, ForwardPath, request)
}

// call is like send, but applies the client's timeout.
func call[Reply any](ctx context.Context, c *Client, httpClient *http.Client, address, path string, request any) (Reply, error) {
	callCtx, cancel := c.options.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return send[Reply](callCtx, c, httpClient, address, path, request)
}

// send makes one request without retries. Its errors are *failure.Error; NotRun
// is set only if the peer reported it or no connection was established.
func send[Reply any](ctx context.Context, c *Client, httpClient *http.Client, address, path string, request any) (Reply, error) {
	var reply Reply
	body, err := encode(request)
	if err != nil {
		return reply, failure.Wrap(err, failure.Internal, "encode peer request").WithNotRun(true)
	}
	status, responseBody, err := c.post(ctx, httpClient, address, path, body)
	if err != nil {
		return reply, transportError(ctx, err, address)
	}
	c.metrics.addBytes(path, len(body), len(responseBody))
	if status != http.StatusOK {
		return reply, responseError(status, responseBody, address)
	}
	if err := decode(responseBody, &reply); err != nil {
		return reply, failure.Wrap(err, failure.Internal, "decode reply from peer "+address)
	}
	return reply, nil
}

func (c *Client) post(ctx context.Context, httpClient *http.Client, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, eris.Wrap(err, "create peer request")
	}
	request.GetBody = nil // prevents the transport from retrying the request
	request.Header["User-Agent"] = []string{""}
	request.Header.Set("Content-Type", ContentType)
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	responseBody, err := readLimited(response.Body, c.options.MaxReplyBytes)
	return response.StatusCode, responseBody, err
}

func responseError(status int, responseBody []byte, address string) error {
	var problem Problem
	if err := decode(responseBody, &problem); err != nil {
		return failure.Wrap(err, failure.Internal, "peer "+address+" returned status "+http.StatusText(status))
	}
	return problem.toError()
}

func transportError(ctx context.Context, err error, address string) error {
	detail := "request to peer " + address
	var opErr *net.OpError
	notSent := errors.As(err, &opErr) && opErr.Op == "dial"
	// The cause, as an elapsed.Meter cancels a context whose timeout has passed.
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		return failure.Wrap(err, failure.Canceled, detail).WithNotRun(notSent)
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return failure.Wrap(err, failure.DeadlineExceeded, detail).WithNotRun(notSent)
	default:
		return failure.Wrap(err, failure.NoReplica, detail).WithNotRun(notSent)
	}
}
