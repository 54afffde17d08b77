package ingress

import (
	"net/http"
	"strings"
)

// connectionHeaders concern a single connection only (RFC 9110, 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd removes from a header what concerns a single connection, and
// returns it.
func endToEnd(header http.Header) http.Header {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(header, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
	return header
}
