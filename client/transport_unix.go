//go:build unix

package client

import (
	"errors"
	"net"
	"syscall"
)

// hasInput reports whether the peer of an idle connection has closed or reset it, or has sent
// anything. It does not block and leaves the input in the socket.
func hasInput(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	pending := false
	// Control and not Read, for whose lock a reading goroutine would have to be waited for
	err = raw.Control(func(descriptor uintptr) {
		var content [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), content[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = !errors.Is(receiveErr, syscall.EAGAIN) && !errors.Is(receiveErr, syscall.EINTR)
	})
	return pending || err != nil
}
