package ingress

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopByHop removes the hop-by-hop fields from header and returns it.
func removeHopByHop(header http.Header) http.Header {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(header, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
	return header
}
