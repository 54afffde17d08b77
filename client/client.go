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
	queryPath   = "/v1/query"
	callPath    = "/v1/call"
	maxAnswer   = 256 << 20
	jsonContent = "application/json"
)

// Client sends queries and calls to one daemon. It is safe for concurrent
// use and repeats nothing by itself.
type Client struct {
	base string
	http *http.Client
}

// New makes a Client of the daemon at a base URL such as
// "http://127.0.0.1:7000". A nil httpClient means http.DefaultClient.
func New(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: httpClient}
}

// Query searches. An error of the daemon is a *Problem.
func (c *Client) Query(ctx context.Context, query Query) (Answer, error) {
	var answer Answer
	err := c.post(ctx, queryPath, query, &answer)
	return answer, err
}

// Call runs an operation that may not be repeated. An error of the daemon is a
// *Problem; any other error says nothing about whether the operation ran, and
// the same Call may be sent again with the same key.
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make a request to %s: %w", c.base+path, err)
	}
	request.GetBody = nil // no silent replay by the transport
	request.Header.Set("Content-Type", jsonContent)
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("post to %s: %w", c.base+path, err)
	}
	defer func() { _ = response.Body.Close() }() // all that matters has been read
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("read the answer of %s: %w", c.base+path, err)
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
