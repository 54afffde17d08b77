//go:build !unix

package client

import "net"

// isIdle is not supported on other systems: a request may be sent on a connection that the
// daemon has closed.
func isIdle(net.Conn, bool) bool { return true }
