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

// ListenWithoutBacklog returns a listener that drops connection requests while one connection waits
// to be accepted. The system of the caller repeats them after a second.
func ListenWithoutBacklog(t *testing.T) net.Listener {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(descriptor), "listener")
	defer file.Close() // net.FileListener duplicates it
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}
