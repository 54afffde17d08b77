//go:build !linux

package drain

import "net"

// acceptQueued is not supported on other systems: a connection that arrives between the
// deadline and the closing of the socket is reset.
func acceptQueued(*net.TCPListener) (net.Conn, error) { return nil, nil }
