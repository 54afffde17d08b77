//go:build !unix

package client

import "net"

// hasInput is not supported on other systems: a request may be sent on a connection that the
// daemon has closed.
func hasInput(net.Conn) bool { return false }
