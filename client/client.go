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

// Client sends queries and calls to one daemon. It is safe for concurrent use
// and never retries a request.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a Client for the daemon at baseURL, such as
// "http://127.0.0.1:7000". If httpClient is nil, it uses http.DefaultClient.
func New(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make a request to %s: %w", c.baseURL+path, err)
	}
	request.GetBody = nil // prevents the transport from replaying the request
	request.Header.Set("Content-Type", jsonContentType)
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("post to %s: %w", c.baseURL+path, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read the answer of %s: %w", c.baseURL+path, err)
	}
	return decodeAnswer(response, content, answer)
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
