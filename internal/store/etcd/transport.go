package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// The gRPC codes that are told apart; both are given before a request is
// executed.
const (
	// codeNotFound: the lease named by a write is not known.
	codeNotFound = 5
	// codeResourceExhausted: the rate limit is reached.
	codeResourceExhausted = 8
)

const (
	// maxReplyBytes bounds every reply and every watch message.
	maxReplyBytes = 64 << 20
	// maxErrorBytes bounds the body of a reply with an error status.
	maxErrorBytes = 64 << 10
)

// progress follows one request through the HTTP transport.
type progress struct {
	// asked is set when the transport looks for a connection, got when it has
	// one, from when on bytes of the request may be on their way.
	asked, got atomic.Bool
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.got.Store(true) },
	}
}

// neverSent is true when the transport tells of its connections and got none.
func (p *progress) neverSent() bool { return p.asked.Load() && !p.got.Load() }

// post sends one request. The body has no GetBody and the request no
// idempotency header, so that net/http never replays it on another
// connection. The error wraps one of the store's errors of a write.
func (s *Store) post(ctx context.Context, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, refused(err, "encode the request "+path)
	}
	sending := &progress{}
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	ctx = httptrace.WithClientTrace(ctx, sending.trace())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.endpoint+path, reader)
	if err != nil {
		return nil, refused(err, "make the request "+path)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		if sending.neverSent() {
			return nil, refused(err, "connect for "+path)
		}
		return nil, unclear(err, "send "+path)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response, path)
	}
	return response, nil
}

// statusError reads an error reply.
func statusError(response *http.Response, path string) error {
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var detail gatewayError
	_ = json.Unmarshal(text, &detail) // other servers' error bodies are not JSON
	cause := eris.Errorf("status %d, code %d: %s", response.StatusCode, detail.Code, detail.Message)
	if detail.Code == codeNotFound {
		return fmt.Errorf("%w: %w", store.ErrLeaseNotFound, refused(cause, "send "+path))
	}
	if detail.Code == codeResourceExhausted || refusedStatus(response.StatusCode) {
		return refused(cause, "send "+path)
	}
	return unclear(cause, "send "+path)
}

// refusedStatus is true for the statuses that are given before a request is
// executed. 503 (gRPC's code 14) is not one: a leader can be lost after it
// took a write.
func refusedStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// unary sends a request and decodes its one reply.
func (s *Store) unary(ctx context.Context, path string, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	response, err := s.post(ctx, path, message)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return unclear(err, "read the reply of "+path)
	}
	if len(body) > maxReplyBytes {
		return unclear(eris.Errorf("over %d bytes", maxReplyBytes), "read the reply of "+path)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return unclear(err, "decode the reply of "+path)
	}
	return nil
}

// read is unary for requests that change nothing: every error is
// store.ErrUnavailable.
func (s *Store) read(ctx context.Context, path string, message, reply any) error {
	if err := s.unary(ctx, path, message, reply); err != nil {
		return unavailable(err)
	}
	return nil
}

// unavailable hides the write errors that a cause may wrap, and their words,
// as nothing was written.
func unavailable(cause error) error {
	text := cause.Error()
	for _, hidden := range []error{store.ErrOutcomeUnknown, store.ErrNotApplied} {
		text = strings.TrimPrefix(text, hidden.Error()+": ")
	}
	return fmt.Errorf("%w: %s", store.ErrUnavailable, text)
}

func refused(cause error, attempted string) error {
	return fmt.Errorf("%w: %w", store.ErrNotApplied, eris.Wrap(cause, attempted))
}

func unclear(cause error, attempted string) error {
	return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, eris.Wrap(cause, attempted))
}
