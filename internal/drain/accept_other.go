//go:build !linux

package drain

import "net"

// acceptWaiting finds nothing on other systems: a connection that comes
// between the deadline and the closing of the port is reset.
func acceptWaiting(*net.TCPListener) (net.Conn, error) { return nil, nil }
