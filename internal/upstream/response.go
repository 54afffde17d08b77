package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 16 << 20

// maxSkippedResponses limits the number of interim and surplus responses before the
// response to a request.
const maxSkippedResponses = 8

// readResult is the response to a request.
type readResult struct {
	response *Response
	parsed   *http.Response
	// afterSurplus is true if a surplus response preceded it.
	afterSurplus bool
}

var errTooManyResponses = errors.New("too many interim or surplus responses")

// readOwnResponse reads the response to a request. It skips interim responses, and surplus
// ones to earlier requests on the connection.
func (c *connection) readOwnResponse(codec Codec, request *Request, write *requestWrite) (readResult, error) {
	var result readResult
	for range maxSkippedResponses {
		var err error
		result.parsed, err = http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return readResult{}, err
		}
		if isInterim(result.parsed.StatusCode) {
			continue
		}
		body, err := readBody(result.parsed, write)
		if err != nil {
			return readResult{}, err
		}
		result.response = &Response{Status: result.parsed.StatusCode, Header: result.parsed.Header, Body: body}
		codec.ReadResponse(result.response)
		if c.isResponseTo(request, result.response) {
			return result, nil
		}
		if !c.hasCarried(result.response.RequestID) {
			return readResult{}, fmt.Errorf("response has request ID %q", result.response.RequestID)
		}
		result.afterSurplus = true
	}
	return readResult{}, errTooManyResponses
}

// isResponseTo reports whether a response belongs to the latest request on the connection. A
// response without an ID can be told from a surplus one to an earlier request only if there
// is no earlier request.
func (c *connection) isResponseTo(request *Request, response *Response) bool {
	if response.RequestID == "" {
		return len(c.carried) == 1
	}
	return response.RequestID == request.ID
}

// isInterim reports whether a status is that of an interim response, which has no body.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

var errTooLarge = errors.New("response body exceeds the size limit")

// readBody reads a complete body. A body without a Content-Length ends with the stream,
// which must have been ended by the replica.
func readBody(response *http.Response, write *requestWrite) ([]byte, error) {
	if response.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxResponseBytes:
		return nil, errTooLarge
	case endsWithStream(response):
		return body, write.endOfStreamError()
	default:
		return body, nil
	}
}

// endsWithStream reports whether a response body without a Content-Length ends with the
// stream, not with a last chunk.
func endsWithStream(response *http.Response) bool { return len(response.TransferEncoding) == 0 }
