package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// pauseProcess suspends this process with SIGSTOP.
func pauseProcess(t *testing.T, duration time.Duration) {
	t.Helper()
	script := `kill -STOP "$0" && sleep "$1"; kill -CONT "$0"`
	seconds := strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
	if err := exec.Command("sh", "-c", script, strconv.Itoa(os.Getpid()), seconds).Run(); err != nil {
		t.Error(err)
	}
}

// listenWithoutBacklog returns a listener that drops connection requests while one connection waits
// to be accepted. The system of the caller repeats them after a second.
func listenWithoutBacklog(t *testing.T) net.Listener {
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

// TestPauseWhileDialing guards against failing to connect because the caller's process was paused
// for longer than the dial timeout while the daemon's system accepted the connection.
func TestPauseWhileDialing(t *testing.T) {
	const pause = dialTimeout + time.Second/2
	listener := listenWithoutBacklog(t)
	waiting, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := New("http://"+listener.Addr().String(), &http.Client{Transport: transport}).Query(ctx, Query{Group: "gate"})
		result <- err
	}()
	time.Sleep(time.Second / 4) // the first connection request is dropped
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	pauseProcess(t, pause)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	if err := <-result; err != nil {
		t.Error(err)
	}
}
