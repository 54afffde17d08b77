package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/standin/backend"
)

// Long enough for a request that is sent at once to arrive on a busy machine.
const (
	headerTimeout = 2 * time.Second
	bodyTimeout   = 4 * time.Second
)

func shortTimeouts(s *settings.Settings) {
	s.Callers.HeaderTimeout = headerTimeout
	s.Callers.BodyTimeout = bodyTimeout
}

func smallBodyLimit(s *settings.Settings) { s.Callers.MaxBodyBytes = 4096 }

func sendRaw(t *testing.T, daemon *Daemon, text string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", daemon.Addresses().Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	// the daemon may close the connection before everything is written
	_, _ = io.WriteString(connection, text)
	return connection
}

func TestBadCallersDoNotBlockOthers(t *testing.T) {
	t.Parallel()
	const attackers = 200
	running := startPlatform(t)
	short, _ := startDaemon(t, running, nil, shortTimeouts)
	small, _ := startDaemon(t, running, []*Daemon{short}, smallBodyLimit)
	waitForMembers(t, 2, short, small)
	expectCommand(t, short, operator.ExitOK, "revision 1", "policy set fast wait.timeout=20s --author ama")
	expectCommand(t, short, operator.ExitOK, "in force on all 2", "assign editors fast --author ama --wait 30s")
	post := "POST /v1/query HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
	cases := []struct {
		name   string
		target *Daemon
		text   string
		// statuses are the allowed statuses; 0 is a connection closed without a response.
		statuses []int
	}{
		{"truncated header", short, "POST /v1/query HTTP/1.1\r\nHost:", []int{0, 400, 408}},
		{"empty", short, "", []int{0, 400, 408}},
		{"truncated body", short, post + "Content-Length: 100\r\n\r\n{", []int{400}},
		{"missing body", short, post + "Content-Length: 4000\r\n\r\n", []int{400}},
		{"body over the limit", small, post + "Content-Length: 8000\r\n\r\n\"" + strings.Repeat("x", 7998) + "\"", []int{413}},
		{"chunk over the limit", small, post + "Transfer-Encoding: chunked\r\n\r\n1f40\r\n\"" + strings.Repeat("x", 7999), []int{413}},
		{"header over the limit", small, post + "X-Large: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", []int{0, 431}},
		{"not HTTP", small, "\x16\x03\x01\x02\x00\x01\x00\x01", []int{0, 400}},
		{"conflicting lengths", small, post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n{}  ", []int{400}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var connections []net.Conn
			for range attackers {
				connections = append(connections, sendRaw(t, test.target, test.text))
			}
			expectCommand(t, test.target, operator.ExitOK, "(100.0%)", "query --group editors --corpus cues good")
			for _, connection := range connections {
				if got := readStatus(connection); !contains(test.statuses, got) {
					t.Fatalf("status %d, want one of %v", got, test.statuses)
				}
			}
		})
	}
}

// readStatus returns the status of the response, or 0 if the connection is closed without
// one.
func readStatus(connection net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func contains(statuses []int, status int) bool {
	for _, candidate := range statuses {
		if candidate == status {
			return true
		}
	}
	return false
}

// The read timeout must not apply to the execution of a query.
func TestQueryOutlastsBodyTimeout(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	daemon, _ := startDaemon(t, running, nil, shortTimeouts)
	expectCommand(t, daemon, operator.ExitOK, "revision 1", "policy set slow wait.timeout=60s completeness.grace=60s --author ama")
	expectCommand(t, daemon, operator.ExitOK, "revision 2", "assign editors slow --author ama")
	for _, server := range running.Backends() {
		server.Replica.SetTiming(backend.Timing{Base: bodyTimeout + time.Second})
	}
	expectCommand(t, daemon, operator.ExitOK, "(100.0%)", "query --group editors --corpus cues good")
	expectCommand(t, daemon, operator.ExitOK, "executions", "call --group clerks --service refund --operation credit --key slow-1")
}

// The caller sends requests without reading the responses until the socket buffers are full.
func TestWriteTimeoutClosesConnection(t *testing.T) {
	t.Parallel()
	const pathBytes = 4096
	running := startPlatform(t)
	daemon, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Callers.WriteTimeout = 200 * time.Millisecond })
	expectCommand(t, daemon, operator.ExitOK, "revision 1", "policy set fast wait.timeout=5s --author ama")
	expectCommand(t, daemon, operator.ExitOK, "revision 2", "assign editors fast --author ama")
	// the buffer sizes are not reduced: whole segments would not fit into small buffers, and
	// their retransmission would delay the requests
	connection := sendRaw(t, daemon, "")
	// the response to an unknown path contains the path
	path := "/" + strings.Repeat("x", pathBytes)
	request := "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
	eventually(t, "connection is open", func() bool { return daemon.listeners.callersConnections.Count() == 1 })
	go func() {
		for { // until either side closes the connection
			if _, err := io.WriteString(connection, request); err != nil {
				return
			}
		}
	}()
	// less than the default write timeout of 30 s
	within(t, 20*time.Second, "connection is closed", func() bool { return daemon.listeners.callersConnections.Count() == 0 })
}
