package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	queryPath       = "/v1/query"
	callPath        = "/v1/call"
	maxAnswerBytes  = 256 << 20
	jsonContentType = "application/json"
)

// Client sends queries and calls to one daemon. It is safe for concurrent use. It
// sends a request again only if the daemon had closed the connection before any byte
// of the request was sent on it.
type Client struct {
	baseURL string
	http    *http.Client
}

var defaultHTTPClient = &http.Client{Transport: NewTransport()}

// New returns a Client for the daemon at baseURL, such as
// "http://127.0.0.1:7000". If httpClient is nil, it uses one with the transport of
// NewTransport, which all such clients share.
func New(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = defaultHTTPClient
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: httpClient}
}

// Query sends a search query. Errors reported by the daemon are of type *Problem.
func (c *Client) Query(ctx context.Context, query Query) (Answer, error) {
	var answer Answer
	err := c.post(ctx, queryPath, query, &answer)
	return answer, err
}

// Call runs an operation at most once. Errors reported by the daemon are of type
// *Problem. After any other error it is unknown whether the operation ran; it is
// safe to send the same Call again with the same key.
func (c *Client) Call(ctx context.Context, call Call) (CallResult, error) {
	var result CallResult
	err := c.post(ctx, callPath, call, &result)
	return result, err
}

func (c *Client) post(ctx context.Context, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode the request: %w", err)
	}
	response, err := c.send(ctx, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read the answer of %s: %w", c.baseURL+path, err)
	}
	return decodeAnswer(response, content, answer)
}

// maxSends bounds the sends of a request. Each one that fails removes a closed connection from the
// transport's pool, so that the last one opens a new connection. If a new connection fails, one
// more is tried.
const maxSends = maxIdleConnsPerDaemon + 1

// send posts a request. It sends it again if it met a connection that the daemon had closed.
func (c *Client) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	for sends := 1; ; sends++ {
		sendCtx, trace := withSendTrace(ctx)
		request, err := http.NewRequestWithContext(sendCtx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
		if err != nil {
			return nil, fmt.Errorf("make a request to %s: %w", c.baseURL+path, err)
		}
		request.GetBody = nil // prevents the transport from replaying the request
		request.Header.Set("Content-Type", jsonContentType)
		response, err := c.http.Do(request)
		if err == nil {
			return response, nil
		}
		lastSend := sends == maxSends || !trace.reused && sends > 1
		if lastSend || !trace.unsent() {
			return nil, fmt.Errorf("post to %s: %w", c.baseURL+path, err)
		}
	}
}

func decodeAnswer(response *http.Response, content []byte, answer any) error {
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(content, answer); err != nil {
			return fmt.Errorf("decode the answer: %w", err)
		}
		return nil
	}
	problem := &Problem{}
	if err := json.Unmarshal(content, problem); err != nil || problem.Kind == "" {
		return fmt.Errorf("status %s without a problem document", response.Status)
	}
	return problem
}
