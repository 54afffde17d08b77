package operator

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/certificates/certificatestest"
	"github.com/doorpond/doorpond/internal/elapsed/operation/operationtest"
)

// TestPauseWhileDialingWithTLS guards against failing to connect because the command's process was
// paused for longer than the dial timeout while the daemon's system accepted the connection.
func TestPauseWhileDialingWithTLS(t *testing.T) {
	const pause = dialTimeout + time.Second/2
	authority, err := certificatestest.New()
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Write(t.TempDir(), net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	listener, makeRoom := operationtest.ListenFull(t)
	address := listener.Addr().String()
	var out bytes.Buffer
	code := make(chan int, 1)
	go func() {
		command := New(Streams{In: strings.NewReader(""), Out: &out, Err: &out})
		line := []string{"doorpond", "--admin", address, "--ca", files.Authority, "--certificate", files.Certificate, "--certificate-key", files.Key, "policy", "list"}
		code <- ExitCode(command.Run(t.Context(), line), &out)
	}()
	time.Sleep(time.Second / 2) // the first connection request is dropped
	makeRoom()
	operationtest.PauseProcess(t, pause)
	server := &http.Server{Handler: (&daemon{}).handler(), TLSConfig: source.ServerConfig("http/1.1")}
	defer server.Close()
	go func() { _ = server.ServeTLS(listener, "", "") }()
	if got := <-code; got != ExitOK {
		t.Errorf("exit code %d: %s", got, out.String())
	}
}
