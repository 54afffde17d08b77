//go:build unix

package client

import (
	"errors"
	"net"
	"syscall"
)

// isIdle reports whether a connection is open and its socket holds nothing, or, if
// inputAllowed, whether it is open. It does not block and leaves the input in the socket.
func isIdle(conn net.Conn, inputAllowed bool) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	// Control and not Read, whose lock a reading goroutine holds
	err = raw.Control(func(descriptor uintptr) {
		var content [1]byte
		n, _, receiveErr := syscall.Recvfrom(int(descriptor), content[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty := errors.Is(receiveErr, syscall.EAGAIN) || errors.Is(receiveErr, syscall.EINTR)
		idle = empty || inputAllowed && receiveErr == nil && n > 0
	})
	return idle && err == nil
}
