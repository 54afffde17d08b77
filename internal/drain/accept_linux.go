package drain

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// acceptQueued returns a connection from the kernel's accept queue, regardless of the
// listener's deadline. If the queue is empty, it shuts the socket down for new connections
// and returns nil.
func acceptQueued(listener *net.TCPListener) (net.Conn, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var acceptErr error
	err = raw.Control(func(descriptor uintptr) {
		accepted, _, acceptErr = syscall.Accept4(int(descriptor), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if acceptErr != nil {
			_ = syscall.Shutdown(int(descriptor), syscall.SHUT_RD) // the listener is closed in any case
		}
	})
	switch {
	case err != nil:
		return nil, err
	case errors.Is(acceptErr, syscall.EAGAIN):
		return nil, nil
	case acceptErr != nil:
		return nil, acceptErr
	}
	return newConn(accepted)
}

func newConn(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer file.Close() // FileConn duplicates the descriptor
	return net.FileConn(file)
}
