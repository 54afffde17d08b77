// Package upstream carries requests to back-end replicas over HTTP/1.1, each
// exactly once. net/http's Transport would replay a request by itself on a
// connection that broke, and would take a surplus answer for the next one; so
// connections are kept here, while net/http parses and writes.
package upstream

import (
	"net/http"
	"net/netip"
	"time"
)

// Request is one request to a replica.
type Request struct {
	// ID is the request's identifier as its caller chose it.
	ID string
	// Caller is the address that the request came from; the zero value when it is not
	// known.
	Caller netip.Addr
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers; it is shared and not changed.
	Header http.Header
	Body   []byte
}

// Response is a replica's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID is the identifier that the replica answers to.
	RequestID string
	// Signature shows which replica made the answer; empty when it is missing.
	Signature string
	// NotExecuted is true when the replica says that it has not run the request.
	NotExecuted bool
	// Misdirected is true when another process answers at the address.
	Misdirected bool
}

// Succeeded is true for a status of the class of success.
func (r *Response) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// Codec gives the headers of a protocol their meaning.
type Codec interface {
	// RequestHeader returns the header of a request to a process of the named
	// incarnation, with the time that is left.
	RequestHeader(message *Request, incarnation string, timeout time.Duration) http.Header
	// ReadResponse fills in what an answer's header says.
	ReadResponse(reply *Response)
}
