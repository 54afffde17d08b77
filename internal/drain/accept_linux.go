package drain

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// acceptWaiting returns a connection that waits in the kernel, without regard
// to the listener's deadline. Where none waits it stops the listening in the
// same breath and returns nil.
func acceptWaiting(listener *net.TCPListener) (net.Conn, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		accepted, _, failure = syscall.Accept4(int(descriptor), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if failure != nil {
			_ = syscall.Shutdown(int(descriptor), syscall.SHUT_RD) // Close follows in any case
		}
	})
	switch {
	case err != nil:
		return nil, err
	case errors.Is(failure, syscall.EAGAIN):
		return nil, nil
	case failure != nil:
		return nil, failure
	}
	return connectionOf(accepted)
}

func connectionOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer file.Close() // FileConn works on a copy
	return net.FileConn(file)
}
