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

// The gRPC codes that have a meaning of their own. Both are returned before a
// request is executed.
const (
	// codeNotFound means that the lease of a write does not exist.
	codeNotFound = 5
	// codeResourceExhausted means that the rate limit was exceeded.
	codeResourceExhausted = 8
)

const (
	// maxReplyBytes limits the size of a response or watch message.
	maxReplyBytes = 64 << 20
	// maxErrorBytes limits how much of an error response is read.
	maxErrorBytes = 64 << 10
)

// connectionProgress records how far the HTTP transport got with a request.
type connectionProgress struct {
	// requested is set when the transport asks for a connection. obtained is
	// set when it has one; request bytes may have been sent from then on.
	requested, obtained atomic.Bool
}

func (p *connectionProgress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.obtained.Store(true) },
	}
}

// notConnected reports whether the transport asked for a connection and did
// not get one. It is false for transports that do not call the trace hooks.
func (p *connectionProgress) notConnected() bool { return p.requested.Load() && !p.obtained.Load() }

// post sends one request. It sets neither GetBody nor an idempotency header,
// so that net/http does not retry it on another connection. Errors wrap
// store.ErrNotApplied or store.ErrOutcomeUnknown.
func (s *Store) post(ctx context.Context, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, notApplied(err, "encode request "+path)
	}
	progress := &connectionProgress{}
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	ctx = httptrace.WithClientTrace(ctx, progress.trace())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.endpoint+path, reader)
	if err != nil {
		return nil, notApplied(err, "create request "+path)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		if progress.notConnected() {
			return nil, notApplied(err, "connect for "+path)
		}
		return nil, outcomeUnknown(err, "send "+path)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response, path)
	}
	return response, nil
}

// statusError converts a response with an error status to an error.
func statusError(response *http.Response, path string) error {
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var detail gatewayError
	_ = json.Unmarshal(text, &detail) // proxies may send bodies that are not JSON
	cause := eris.Errorf("status %d, code %d: %s", response.StatusCode, detail.Code, detail.Message)
	if detail.Code == codeNotFound {
		return fmt.Errorf("%w: %w", store.ErrLeaseNotFound, notApplied(cause, "send "+path))
	}
	if detail.Code == codeResourceExhausted || isNotAppliedStatus(response.StatusCode) {
		return notApplied(cause, "send "+path)
	}
	return outcomeUnknown(cause, "send "+path)
}

// isNotAppliedStatus reports whether a status is only sent before a request is
// executed. 503 (gRPC code 14) is not: the leader can be lost after accepting
// a write.
func isNotAppliedStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// unary sends a request and decodes its response into reply.
func (s *Store) unary(ctx context.Context, path string, message, reply any) error {
	ctx, cancel := s.withTimeout(ctx, s.timeout)
	defer cancel()
	response, err := s.post(ctx, path, message)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return outcomeUnknown(err, "read response of "+path)
	}
	if len(body) > maxReplyBytes {
		return outcomeUnknown(eris.Errorf("response exceeds %d bytes", maxReplyBytes), "read response of "+path)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return outcomeUnknown(err, "decode response of "+path)
	}
	return nil
}

// unaryRead is unary for read-only requests. All errors wrap
// store.ErrUnavailable.
func (s *Store) unaryRead(ctx context.Context, path string, message, reply any) error {
	if err := s.unary(ctx, path, message, reply); err != nil {
		return asUnavailable(err)
	}
	return nil
}

// asUnavailable replaces the write errors that cause may wrap, and their text,
// by store.ErrUnavailable.
func asUnavailable(cause error) error {
	text := cause.Error()
	for _, writeErr := range []error{store.ErrOutcomeUnknown, store.ErrNotApplied} {
		text = strings.TrimPrefix(text, writeErr.Error()+": ")
	}
	return fmt.Errorf("%w: %s", store.ErrUnavailable, text)
}

func notApplied(cause error, operation string) error {
	return fmt.Errorf("%w: %w", store.ErrNotApplied, eris.Wrap(cause, operation))
}

func outcomeUnknown(cause error, operation string) error {
	return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, eris.Wrap(cause, operation))
}
