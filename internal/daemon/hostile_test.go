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

// headerTimeout and bodyTimeout are an impatient daemon's. A request that is sent at once
// arrives within them on a busy machine as well.
const (
	headerTimeout = 2 * time.Second
	bodyTimeout   = 4 * time.Second
)

// impatient makes the limits on slow callers short.
func impatient(s *settings.Settings) {
	s.Callers.HeaderTimeout = headerTimeout
	s.Callers.BodyTimeout = bodyTimeout
}

// narrow makes the limit on bodies low.
func narrow(s *settings.Settings) { s.Callers.MaxBodyBytes = 4096 }

func send(t *testing.T, to *Daemon, text string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", to.Addresses().Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	// the daemon may answer and close before all is written
	_, _ = io.WriteString(connection, text)
	return connection
}

func TestSlowAndHostileCallersHoldUpNobody(t *testing.T) {
	t.Parallel()
	const many = 200
	running := startPlatform(t)
	short, _ := startDaemon(t, running, nil, impatient)
	small, _ := startDaemon(t, running, []*Daemon{short}, narrow)
	awaitMembers(t, 2, short, small)
	expect(t, short, operator.ExitOK, "revision 1", "policy set fast wait.timeout=20s --author ama")
	expect(t, short, operator.ExitOK, "in force on all 2", "assign editors fast --author ama --wait 30s")
	post := "POST /v1/query HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
	cases := []struct {
		name     string
		attacked *Daemon
		text     string
		// statuses are allowed, 0 for a connection closed without an answer.
		statuses []int
	}{
		{"half a header", short, "POST /v1/query HTTP/1.1\r\nHost:", []int{0, 400, 408}},
		{"nothing at all", short, "", []int{0, 400, 408}},
		{"half a body", short, post + "Content-Length: 100\r\n\r\n{", []int{400}},
		{"a body that is announced and never comes", short, post + "Content-Length: 4000\r\n\r\n", []int{400}},
		{"a body over the limit", small, post + "Content-Length: 8000\r\n\r\n\"" + strings.Repeat("x", 7998) + "\"", []int{413}},
		{"a chunk over the limit", small, post + "Transfer-Encoding: chunked\r\n\r\n1f40\r\n\"" + strings.Repeat("x", 7999), []int{413}},
		{"a header over the limit", small, post + "X-Large: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", []int{0, 431}},
		{"not HTTP", small, "\x16\x03\x01\x02\x00\x01\x00\x01", []int{0, 400}},
		{"two lengths", small, post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n{}  ", []int{400}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var connections []net.Conn
			for range many {
				connections = append(connections, send(t, test.attacked, test.text))
			}
			expect(t, test.attacked, operator.ExitOK, "(100.0%)", "query --group editors --corpus cues good")
			for _, connection := range connections {
				if got := statusOf(connection); !contains(test.statuses, got) {
					t.Fatalf("got status %d; want one of %v", got, test.statuses)
				}
			}
		})
	}
}

// statusOf waits for the daemon's answer, or for it to close the connection.
func statusOf(connection net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func contains(statuses []int, status int) bool {
	for _, one := range statuses {
		if one == status {
			return true
		}
	}
	return false
}

// TestAQueryMayTakeLongerThanItsBody has a query that runs for longer than the
// time allowed for reading it.
func TestAQueryMayTakeLongerThanItsBody(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	patient, _ := startDaemon(t, running, nil, impatient)
	expect(t, patient, operator.ExitOK, "revision 1", "policy set slow wait.timeout=60s completeness.grace=60s --author ama")
	expect(t, patient, operator.ExitOK, "revision 2", "assign editors slow --author ama")
	for _, server := range running.Backends() {
		server.Replica.SetTiming(backend.Timing{Base: bodyTimeout + time.Second})
	}
	expect(t, patient, operator.ExitOK, "(100.0%)", "query --group editors --corpus cues good")
	expect(t, patient, operator.ExitOK, "executions", "call --group clerks --service refund --operation credit --key slow-1")
}

// TestACallerThatDoesNotReadIsCutOff sends queries and reads no answer until
// the sockets are full.
func TestACallerThatDoesNotReadIsCutOff(t *testing.T) {
	t.Parallel()
	const pathBytes = 4096
	running := startPlatform(t)
	stuck, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Callers.WriteTimeout = 200 * time.Millisecond })
	expect(t, stuck, operator.ExitOK, "revision 1", "policy set fast wait.timeout=5s --author ama")
	expect(t, stuck, operator.ExitOK, "revision 2", "assign editors fast --author ama")
	// its buffers stay as large as the system makes them: into a small one whole segments
	// do not fit, and the requests are held up by their retransmission
	connection := send(t, stuck, "")
	// an unknown path is answered at once, with its name
	path := "/" + strings.Repeat("x", pathBytes)
	one := "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
	eventually(t, "the daemon has the connection", func() bool { return stuck.listeners.callersOpen.Count() == 1 })
	go func() {
		for { // until the connection is closed, by either side
			if _, err := io.WriteString(connection, one); err != nil {
				return
			}
		}
	}()
	// well under the bound of a daemon that does not take the setting, 30 s
	within(t, 20*time.Second, "the daemon gives up a caller that does not read", func() bool { return stuck.listeners.callersOpen.Count() == 0 })
}
