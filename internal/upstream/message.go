// Package upstream sends requests to back-end replicas over HTTP/1.1, each at most
// once. The Transport of net/http is not used, since it may retry a request on a broken
// connection and could take a surplus response for the next one. The package manages
// its own connections and uses net/http for headers and for parsing responses.
package upstream

import (
	"net/http"
	"net/netip"
	"time"
)

// Request is a request to a replica.
type Request struct {
	// ID is the request ID chosen by the caller.
	ID string
	// Caller is the address of the caller, or the zero value if it is unknown.
	Caller netip.Addr
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers. It is shared and must not be modified.
	Header http.Header
	Body   []byte
	// Tenant is the name of the tenant that the request belongs to; empty if there is none.
	Tenant string
}

// Response is the complete response of a replica.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID is the ID of the request that the replica responds to.
	RequestID string
	// Signature identifies the replica that produced the response. It may be empty.
	Signature string
	// NotExecuted is true if the replica states that it has not executed the request.
	NotExecuted bool
	// Misdirected is true if a different process responded at the address.
	Misdirected bool
}

// Succeeded reports whether the status is in the 2xx class.
func (r *Response) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// Codec encodes and decodes the headers of a replica protocol.
type Codec interface {
	// RequestHeader returns the header of a request to the process with the given
	// incarnation. timeout is the time that remains.
	RequestHeader(message *Request, incarnation string, timeout time.Duration) http.Header
	// ReadResponse sets the fields of a response that its header determines.
	ReadResponse(response *Response)
}
