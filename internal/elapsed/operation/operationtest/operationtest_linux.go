// Package operationtest helps to test operations during which the process is paused.
package operationtest

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// PauseProcess suspends this process with SIGSTOP.
func PauseProcess(t *testing.T, duration time.Duration) {
	t.Helper()
	script := `kill -STOP "$0" && sleep "$1"; kill -CONT "$0"`
	seconds := strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
	if err := exec.Command("sh", "-c", script, strconv.Itoa(os.Getpid()), seconds).Run(); err != nil {
		t.Error(err)
	}
}

// backlog is the number of connections that may wait to be accepted.
const backlog = 128

// ListenFull returns a listener whose backlog is full until makeRoom is called. Till then it drops
// connection requests, which the system of the caller repeats after a second.
func ListenFull(t *testing.T) (listener net.Listener, makeRoom func()) {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(descriptor), "listener")
	t.Cleanup(func() { _ = file.Close() })
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	listener, err = net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	waiting, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = waiting.Close() })
	return listener, func() {
		if err := syscall.Listen(descriptor, backlog); err != nil {
			t.Error(err)
		}
	}
}
